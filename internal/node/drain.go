package node

import (
	"context"
	"net/http"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/identity"
)

// drainOrder requests that another node begin its planned stop.
type drainOrder struct{ By identity.NodeID }

// drainTaken acknowledges a drainOrder.
type drainTaken struct{ Node identity.NodeID }

// Drain implements admin.Drainer.
func (n *Node) Drain(ctx context.Context, node identity.NodeID) error {
	if node == n.id {
		n.Stop()
		return nil
	}
	if _, known := n.bus.View().Member(node); !known {
		return apierror.New(http.StatusNotFound, apierror.CodeNotFound, "no node %q in the member list", node)
	}
	if _, err := n.bus.Call(ctx, node, drainOrder{By: n.id}); err != nil {
		return apierror.New(http.StatusBadGateway, apierror.CodeInternal, "node %q did not take the order: %v", node, err)
	}
	return nil
}

func (n *Node) handleDrainOrder(identity.NodeID, any) any {
	n.Stop()
	return drainTaken{Node: n.id}
}
