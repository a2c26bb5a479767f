package slots

import (
	"context"
	"errors"
	"time"

	"ringstream.example/ringstream/internal/core/grant"
	"ringstream.example/ringstream/internal/wait"
)

// errMembersNotKnown says that who counts a tenant's requests does not know yet how many
// nodes the limit is divided among.
var errMembersNotKnown = errors.New("slots: the nodes that share the tenant's limit are not known")

// membersPause is the pause between two asks while the nodes are not known: a node that
// starts in a fleet at work lists them some tenths of a second after its engines.
const membersPause = 50 * time.Millisecond

// waitForMembers is wait, and asks again until the request's patience ends while the nodes
// that share its tenant's limit are not known. Then it gives ErrLimitNotKnown.
func (s *Service) waitForMembers(ctx context.Context, request Request, lane grant.Lane, ask grant.Ask) (answered, error) {
	for {
		told, err := s.wait(ctx, request, lane, ask)
		if !errors.Is(err, errMembersNotKnown) {
			return told, err
		}
		if time.Until(request.PlaceAt) <= membersPause {
			return answered{}, ErrLimitNotKnown
		}
		if !wait.For(ctx, membersPause) {
			return answered{}, ctx.Err()
		}
		ask.ID = s.NewID()
	}
}

// liveNodes gives how many nodes share the limits; 0: not known. A node that leaves is one of
// them until it is gone: it serves the connections that it has. Without those that left, four nodes
// that stopped in turn let 183 requests through in 5 s where 141 were allowed.
func (s *Service) liveNodes() int {
	if !s.MembersKnown() {
		return 0
	}
	return max(s.LiveNodes(), 1)
}
