package replicas

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/wait"
)

// search finds out whom to follow, or takes the slot.
func (s *Service) search(ctx context.Context) (next mode, from *source) {
	row, found, err := s.readSlot(ctx)
	if err != nil {
		return alone, nil
	}
	for attempt := 0; attempt < mostClaims && ctx.Err() == nil && !s.Leaving(); attempt++ {
		if found && row.holder.Life == s.Life {
			return holding, s.searchLower(ctx)
		}
		if found {
			if from = s.awaitHolder(ctx, row.holder.Address); from != nil {
				return following, from
			}
		}
		if attempt == 0 {
			s.leaveToLarger(ctx)
		}
		var won bool
		if row, won, err = s.claim(ctx, row); err != nil {
			return alone, nil
		}
		if won {
			return holding, s.searchLower(ctx)
		}
		found = true
	}
	return alone, nil
}

// searchLower gives the source of a holder whose slot is certain.
func (s *Service) searchLower(ctx context.Context) *source {
	rows, err := s.readSlots(ctx, "")
	if err != nil {
		return nil // the store is asked; the next look at the slots comes soon
	}
	return s.lower(ctx, rows)
}

// mostClaims bounds the tries of one search: each lost one means that another node has won.
const mostClaims = 3

// leaveToLarger waits a moment before a slot is taken that is empty or whose holder is gone, the longer
// the smaller the machine is: a holder serves others.
func (s *Service) leaveToLarger(ctx context.Context) {
	lacking := max(1-s.Capacity, 0)
	wait.For(ctx, time.Duration(lacking*lacking*float64(s.config.SmallWaits)))
}

// claim tries to take the slot from the holder that a row tells, or an empty one. When another was
// faster it gives the row as that wrote it.
func (s *Service) claim(ctx context.Context, row slotRow) (current slotRow, won bool, err error) {
	s.mu.Lock()
	s.claims = true // who reads the row before the claim is known here waits
	s.mu.Unlock()
	value, err := json.Marshal(holderDocument{Address: s.Address, Life: s.Life})
	if err != nil {
		return slotRow{}, false, err
	}
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	result, err := s.Rows.Commit(call, passthrough.Transaction{
		Expected: []passthrough.Expectation{{Table: tableSlots, Part: s.Zone, Key: s.slot, Version: row.version}},
		Put:      []passthrough.Row{{Table: tableSlots, Part: s.Zone, Key: s.slot, Value: value}},
	})
	events.ReplicaClaimed.Log(s.Logger, zap.String("slot", s.slot), zap.Bool("won", result.Applied), zap.String("former", row.holder.Address), zap.Error(err))
	if err != nil || result.Applied {
		return slotRow{}, result.Applied, err
	}
	for _, now := range result.Current {
		if now.Key == s.slot {
			return readHolder(now), false, nil
		}
	}
	return slotRow{}, false, errNoAnswer
}
