package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/events"
)

// acceptRetryDelay is the pause after a failed accept. It prevents a busy loop while
// the process lacks file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// listen accepts connections until the listener closes.
func (n *Node) listen(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed) || n.ctx.Err() != nil:
			return
		case err != nil:
			events.AcceptFailed.Log(n.logger, zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case n.connectionSlots <- struct{}{}:
		default:
			_ = conn.Close()
			n.traffic.dropped.Add(1)
			continue
		}
		if !n.spawn(func() { n.serveAccepted(conn); <-n.connectionSlots }) {
			_ = conn.Close()
		}
	}
}

// serveAccepted completes the handshake on an accepted connection and serves it until it ends.
func (n *Node) serveAccepted(conn net.Conn) {
	w, greeting, err := n.accept(conn)
	if err != nil {
		if errors.Is(err, errHandshakeRejected) || n.tls != nil {
			events.PeerRefused.Log(n.logger, zap.String("address", conn.RemoteAddr().String()), zap.Error(err))
		}
		return
	}
	switch greeting.Purpose {
	case purposeLink:
		n.serveLink(w, greeting.From, false)
	case purposeDirect:
		n.serveDirect(w, greeting.From.ID)
	case purposeStream:
		n.serveStream(w, greeting.From.ID)
	default:
		w.close()
	}
}

// connect executes a Connect effect: it dials a node and serves the link until it ends.
func (n *Node) connect(effect membership.Connect) {
	ctx, cancel := context.WithTimeout(n.ctx, n.config.DialTimeout)
	defer cancel()
	failed := membership.DialFailed{Expected: effect.ID, Address: effect.Address}
	w, found, err := n.dial(ctx, effect.Address, purposeLink)
	if err != nil {
		n.step(failed)
		return
	}
	if found.ID == n.identity.ID || (effect.ID != "" && effect.ID != found.ID) {
		failed.Found = found.ID
		w.close()
		n.step(failed)
		return
	}
	if !n.serveLink(w, found, true) {
		n.step(failed)
	}
}

// serveLink serves a link until it ends. It returns false if the link was not added, for example because
// another link to the node is kept.
func (n *Node) serveLink(w *wire, peer membership.Member, dialed bool) bool {
	link := newConnection(n, peer.ID, purposeLink, dialed)
	link.attach(w)
	if !n.addLink(link, peer) {
		w.close()
		return false
	}
	link.serve()
	n.removeLink(link)
	return true
}

// addLink makes a connection the link to its node. If both nodes dial each other, both
// keep the connection that the node with the lower id dialed. Otherwise a newer
// connection replaces the older one.
func (n *Node) addLink(link *connection, peer membership.Member) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil || peer.ID == n.identity.ID {
		return false
	}
	dialedByLower := func(c *connection) bool { return c.dialed == (n.identity.ID < c.peer) }
	old := n.links[link.peer]
	if old != nil && dialedByLower(old) && !dialedByLower(link) {
		return false
	}
	n.links[link.peer] = link
	if old != nil {
		old.close(ErrConnectionLost)
	}
	n.perform(n.machine.Step(time.Now(), membership.LinkUp{Peer: peer, Dialed: link.dialed}))
	return true
}

// removeLink removes a link that has ended, unless another one has replaced it.
func (n *Node) removeLink(link *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[link.peer] != link {
		return
	}
	delete(n.links, link.peer)
	n.perform(n.machine.Step(time.Now(), membership.LinkDown{Peer: link.peer}))
}

// receivedOnLink reports a message on a link to the membership machine. message is nil
// if it is not a membership message; the machine then learns only that the peer sent something.
func (n *Node) receivedOnLink(link *connection, message membership.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[link.peer] == link {
		n.perform(n.machine.Step(time.Now(), membership.Received{From: link.peer, Message: message}))
	}
}

// probe executes a Probe effect: it checks by a handshake whether a node is alive.
func (n *Node) probe(effect membership.Probe) {
	ctx, cancel := context.WithTimeout(n.ctx, n.config.ProbeTimeout)
	defer cancel()
	w, found, err := n.dial(ctx, effect.Address, purposeProbe)
	if err == nil {
		w.close()
	}
	n.step(membership.ProbeDone{ID: effect.ID, Answered: err == nil && found.ID == effect.ID})
}

// serveDirect serves an accepted direct connection until it ends.
func (n *Node) serveDirect(w *wire, from identity.NodeID) {
	c := newConnection(n, from, purposeDirect, false)
	c.attach(w)
	n.connectionsMu.Lock()
	stopping := n.stopping
	if !stopping {
		n.accepted[c] = struct{}{}
	}
	n.connectionsMu.Unlock()
	if stopping {
		w.close()
		return
	}
	c.serve()
	n.connectionsMu.Lock()
	delete(n.accepted, c)
	n.connectionsMu.Unlock()
}

// directTo returns the pooled direct connection to a node. If there is none, directTo
// starts to dial; frames wait in the connection's queue meanwhile.
func (n *Node) directTo(member membership.Member) (*connection, error) {
	n.connectionsMu.Lock()
	defer n.connectionsMu.Unlock()
	if n.stopping {
		return nil, ErrUnreachable
	}
	if c := n.direct[member.ID]; c != nil {
		return c, nil
	}
	c := newConnection(n, member.ID, purposeDirect, true)
	n.direct[member.ID] = c
	n.group.Add(1)
	go func() {
		defer n.group.Done()
		n.runDirect(c, member.PeerAddress)
	}()
	return c, nil
}

// runDirect dials a pooled direct connection, serves it and removes it from the pool when it ends.
func (n *Node) runDirect(c *connection, address string) {
	cause := ErrUnreachable
	ctx, cancel := context.WithTimeout(n.ctx, n.config.DialTimeout)
	w, found, err := n.dial(ctx, address, purposeDirect)
	cancel()
	switch {
	case err != nil:
	case found.ID != c.peer:
		w.close()
		cause = ErrUnknownMember
	case c.attach(w):
		c.serve()
	}
	n.connectionsMu.Lock()
	if n.direct[c.peer] == c {
		delete(n.direct, c.peer)
	}
	n.connectionsMu.Unlock()
	c.close(cause)
}

// sweep closes idle direct connections and removes the flood histories of former members.
func (n *Node) sweep() {
	idleBefore := time.Now().Add(-n.config.IdleTimeout).UnixNano()
	n.connectionsMu.Lock()
	var idle []*connection
	for _, c := range n.direct {
		if c.lastUsed.Load() < idleBefore && !c.hasPendingCalls() {
			idle = append(idle, c)
			delete(n.direct, c.peer)
		}
	}
	n.connectionsMu.Unlock()
	for _, c := range idle {
		c.close(ErrConnectionLost)
	}
	view := n.View()
	n.seen.retain(func(origin identity.NodeID) bool {
		_, known := view.Member(origin)
		return known
	})
}

// closeMember closes all direct connections and streams to a dead node.
func (n *Node) closeMember(id identity.NodeID) {
	n.connectionsMu.Lock()
	var lost []*connection
	if c := n.direct[id]; c != nil {
		lost = append(lost, c)
		delete(n.direct, id)
	}
	for c := range n.accepted {
		if c.peer == id {
			lost = append(lost, c)
		}
	}
	var streams []*stream
	for open := range n.streams {
		if open.peer == id {
			streams = append(streams, open)
		}
	}
	n.connectionsMu.Unlock()
	for _, c := range lost {
		c.close(ErrConnectionLost)
	}
	for _, open := range streams {
		open.abort()
	}
}

// trackStream registers an open stream. It returns false if the node is stopping.
func (n *Node) trackStream(open *stream) bool {
	n.connectionsMu.Lock()
	defer n.connectionsMu.Unlock()
	if n.stopping {
		return false
	}
	n.streams[open] = struct{}{}
	return true
}

// untrackStream removes a stream that trackStream registered.
func (n *Node) untrackStream(open *stream) {
	n.connectionsMu.Lock()
	defer n.connectionsMu.Unlock()
	delete(n.streams, open)
}
