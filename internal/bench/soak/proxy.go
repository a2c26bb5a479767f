package soak

import (
	"context"
	"net"
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
)

var linkNames = [...]string{"well", "delayed", "reset", "cut_out", "cut_in", "silenced"}

func (f linkFault) String() string { return linkNames[f] }

const linkDelay = 60 * time.Millisecond

// proxy is a loopback link to a server.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex // guards the rest
	fault   linkFault
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
func (p *proxy) set(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
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

func (p *proxy) state() (linkFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
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
	if fault, _ := p.state(); fault == linkReset {
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

const pieceBytes = 16 << 10

// carry takes bytes one way, and the end with them; a reset crosses as one.
func (p *proxy) carry(to, from net.Conn, cut linkFault) {
	piece := make([]byte, pieceBytes)
	for {
		count, err := from.Read(piece)
		if !p.wait(cut) {
			reset(to)
			return
		}
		if count > 0 {
			if _, failed := to.Write(piece[:count]); failed != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			endWrite(to, err)
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
func (p *proxy) wait(cut linkFault) bool {
	for {
		fault, changed := p.state()
		switch fault {
		case linkReset:
			return false
		case linkDelayed:
			time.Sleep(linkDelay)
			return true
		case cut, linkSilenced:
			<-changed
		default:
			return true
		}
	}
}
