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

// search finds a source to follow or takes the slot.
func (s *Service) search(ctx context.Context) (next mode, from *source) {
	row, found, err := s.readSlot(ctx)
	if err != nil {
		return alone, nil
	}
	for attempt := 0; attempt < maxClaimAttempts && ctx.Err() == nil && !s.Leaving(); attempt++ {
		if found && row.holder.Life == s.Incarnation {
			return holding, s.searchLowerHolder(ctx)
		}
		if found {
			if from = s.waitForHolder(ctx, row.holder.Address); from != nil {
				return following, from
			}
		}
		if attempt == 0 {
			s.delayClaim(ctx)
		}
		var won bool
		if row, won, err = s.claimSlot(ctx, row); err != nil {
			return alone, nil
		}
		if won {
			return holding, s.searchLowerHolder(ctx)
		}
		found = true
	}
	return alone, nil
}

// searchLowerHolder returns the source for a node that is certain to hold its slot.
func (s *Service) searchLowerHolder(ctx context.Context) *source {
	rows, err := s.readSlots(ctx, "")
	if err != nil {
		return nil // the store is read; the slots are read again soon
	}
	return s.findLowerHolder(ctx, rows)
}

// maxClaimAttempts bounds the attempts of one search. Each lost claim means that another node has
// won.
const maxClaimAttempts = 3

// delayClaim waits before a claim of a slot that is empty or whose holder is gone. Smaller
// machines wait longer, because a holder serves other nodes.
func (s *Service) delayClaim(ctx context.Context) {
	lacking := max(1-s.Capacity, 0)
	wait.For(ctx, time.Duration(lacking*lacking*float64(s.config.MaxClaimDelay)))
}

// claimSlot tries to take an empty slot, or the slot of the holder named by a row. If another
// node has changed the row meanwhile, it returns the current row.
func (s *Service) claimSlot(ctx context.Context, row slotRow) (current slotRow, won bool, err error) {
	s.mu.Lock()
	s.claiming = true // a node that reads the new row before the result is known here must wait
	s.mu.Unlock()
	value, err := json.Marshal(holderDocument{Address: s.Address, Life: s.Incarnation})
	if err != nil {
		return slotRow{}, false, err
	}
	call, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	result, err := s.Rows.Commit(call, passthrough.Transaction{
		Expected: []passthrough.Expectation{{Table: slotTable, Part: s.Zone, Key: s.slot, Version: row.version}},
		Put:      []passthrough.Row{{Table: slotTable, Part: s.Zone, Key: s.slot, Value: value}},
	})
	events.ReplicaClaimed.Log(s.Logger, zap.String("slot", s.slot), zap.Bool("won", result.Applied), zap.String("former", row.holder.Address), zap.Error(err))
	if err != nil || result.Applied {
		return slotRow{}, result.Applied, err
	}
	for _, changed := range result.Current {
		if changed.Key == s.slot {
			return parseSlotRow(changed), false, nil
		}
	}
	return slotRow{}, false, errNoAnswer
}
