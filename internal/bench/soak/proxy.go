package soak

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// linkFault is what a proxy does with the bytes that cross it.
type linkFault uint8

const (
	linkWell     linkFault = iota
	linkDelayed            // each piece waits
	linkReset              // connections are reset, new ones too
	linkCutOut             // nothing reaches the server; it is held up
	linkCutIn              // nothing reaches the caller; it is held up
	linkSilenced           // neither
	linkHeld               // what the server says comes late, in order
)

var linkNames = [...]string{"well", "delayed", "reset", "cut_out", "cut_in", "silenced", "held"}

func (f linkFault) String() string { return linkNames[f] }

const linkDelay = 60 * time.Millisecond

// proxy is a loopback link to a server.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex // guards the rest
	fault   linkFault
	held    time.Duration // how late linkHeld has a piece come
	changed chan struct{} // closed at the next change of fault
	open    map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &proxy{listener: listener, target: target, changed: make(chan struct{}), open: make(map[net.Conn]bool)}
	go link.accept()
	return link, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(linkReset)
}

// set changes the fault; linkReset ends the open connections.
func (p *proxy) set(fault linkFault) { p.change(fault, 0) }

// hold has what the server says come late, until the fault changes.
func (p *proxy) hold(late time.Duration) { p.change(linkHeld, late) }

func (p *proxy) change(fault linkFault, held time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.held = fault, held
	close(p.changed)
	p.changed = make(chan struct{})
	if fault != linkReset {
		return
	}
	for connection := range p.open {
		reset(connection)
	}
}

func reset(connection net.Conn) {
	if link, ok := connection.(*net.TCPConn); ok {
		_ = link.SetLinger(0)
	}
	_ = connection.Close()
}

func (p *proxy) state() (linkFault, time.Duration, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.held, p.changed
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(caller)
	}
}

func (p *proxy) join(caller net.Conn) {
	if fault, _, _ := p.state(); fault == linkReset {
		reset(caller)
		return
	}
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		reset(caller) // a dead port resets
		return
	}
	p.note(caller, server, true)
	defer p.note(caller, server, false)
	var both sync.WaitGroup
	both.Go(func() { p.carry(server, caller, linkCutOut) })
	both.Go(func() { p.carry(caller, server, linkCutIn) })
	both.Wait()
	_ = caller.Close()
	_ = server.Close()
}

func (p *proxy) note(caller, server net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range []net.Conn{caller, server} {
		if open {
			p.open[connection] = true
		} else {
			delete(p.open, connection)
		}
	}
}

const (
	pieceBytes = 16 << 10
	// piecesAhead bounds what is read while the bytes before it are held up.
	piecesAhead = 64
)

// piece is what one read gave.
type piece struct {
	bytes []byte
	read  time.Time
	err   error // set on the last one
}

// carry takes bytes one way, and the end with them; a reset crosses as one.
func (p *proxy) carry(to, from net.Conn, cut linkFault) {
	pieces := make(chan piece, piecesAhead)
	done := make(chan struct{})
	defer close(done)
	go readPieces(from, pieces, done)
	for next := range pieces {
		if !p.wait(cut, next.read) {
			reset(to)
			return
		}
		if len(next.bytes) > 0 {
			if _, failed := to.Write(next.bytes); failed != nil {
				reset(from)
				return
			}
		}
		if next.err != nil {
			endWrite(to, next.err)
			return
		}
	}
}

// readPieces reads to the end, also while what was read before is held up.
func readPieces(from net.Conn, pieces chan<- piece, done <-chan struct{}) {
	defer close(pieces)
	buffer := make([]byte, pieceBytes)
	for {
		count, err := from.Read(buffer)
		select {
		case pieces <- piece{bytes: slices.Clone(buffer[:count]), read: time.Now(), err: err}:
		case <-done:
			return
		}
		if err != nil {
			return
		}
	}
}

func endWrite(to net.Conn, err error) {
	if link, ok := to.(*net.TCPConn); ok && err.Error() == "EOF" {
		_ = link.CloseWrite()
		return
	}
	reset(to)
}

// wait holds bytes up as the fault says; false when the link was reset.
func (p *proxy) wait(cut linkFault, read time.Time) bool {
	for {
		fault, held, changed := p.state()
		switch fault {
		case linkReset:
			return false
		case linkDelayed:
			time.Sleep(linkDelay)
			return true
		case cut, linkSilenced:
			<-changed
		case linkHeld:
			if cut != linkCutIn || awaitChange(changed, held-time.Since(read)) {
				return true
			}
		default:
			return true
		}
	}
}

// awaitChange waits for a change of the fault; true when the time was up before one.
func awaitChange(changed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
		return false
	case <-timer.C:
		return true
	}
}
