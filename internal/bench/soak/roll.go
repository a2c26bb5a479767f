package soak

import "context"

// rollBuilds replaces the former build by the current one on half of the nodes, reverts them, and
// then upgrades all nodes. Nodes of both builds run side by side in the meantime, while all other
// faults are injected.
func (s *soak) rollBuilds(ctx context.Context) {
	if s.options.PreviousBinary == "" {
		return
	}
	half := s.nodes[:(len(s.nodes)+1)/2]
	s.rollTo(ctx, half, s.options.Binary)
	s.rollTo(ctx, half, s.options.PreviousBinary)
	s.rollTo(ctx, s.nodes, s.options.Binary)
}

// rollTo performs planned stops of nodes, one after the other, and starts each node with the given
// build.
func (s *soak) rollTo(ctx context.Context, nodes []*nodeProcess, binary string) {
	for _, node := range nodes {
		if ctx.Err() != nil {
			return
		}
		s.recordKind("build_replaced")
		node.control.Lock()
		node.binary = binary
		node.stop()
		s.restartNode(ctx, node)
		node.control.Unlock()
	}
}
