package soak

import "context"

// rollBuilds replaces the build that the nodes began with by the other one: at half of them,
// back again, and at all. Nodes of both run beside each other meanwhile, and are struck by all
// other faults.
func (s *soak) rollBuilds(ctx context.Context) {
	if s.options.Former == "" {
		return
	}
	half := s.nodes[:(len(s.nodes)+1)/2]
	s.rollTo(ctx, half, s.options.Binary)
	s.rollTo(ctx, half, s.options.Former)
	s.rollTo(ctx, s.nodes, s.options.Binary)
}

// rollTo stops nodes as planned, one after the other, and starts each with another build.
func (s *soak) rollTo(ctx context.Context, nodes []*nodeProcess, binary string) {
	for _, node := range nodes {
		if ctx.Err() != nil {
			return
		}
		s.note("build_replaced")
		node.control.Lock()
		node.binary = binary
		node.stop()
		s.again(ctx, node)
		node.control.Unlock()
	}
}
