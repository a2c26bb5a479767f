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
	linkHealthy  linkFault = iota
	linkDelayed            // each chunk is delayed
	linkReset              // open and new connections are reset
	linkCutOut             // bytes to the server are held back
	linkCutIn              // bytes to the caller are held back
	linkSilenced           // bytes in both directions are held back
	linkHeld               // bytes to the caller are delayed, in order
)

var linkNames = [...]string{"well", "delayed", "reset", "cut_out", "cut_in", "silenced", "held"}

func (f linkFault) String() string { return linkNames[f] }

const linkDelay = 60 * time.Millisecond

// proxy is a loopback proxy of a server.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex // guards the rest
	fault   linkFault
	delay   time.Duration // of each chunk under linkHeld
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

// refuse makes the address refuse connections. The open ones go on.
func (p *proxy) refuse() { _ = p.listener.Close() }

// set changes the fault. linkReset also resets the open connections.
func (p *proxy) set(fault linkFault) { p.change(fault, 0) }

// delayAnswers delays what the server sends until the fault changes.
func (p *proxy) delayAnswers(delay time.Duration) { p.change(linkHeld, delay) }

func (p *proxy) change(fault linkFault, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.delay = fault, delay
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
	return p.fault, p.delay, p.changed
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(caller)
	}
}

func (p *proxy) serve(caller net.Conn) {
	if fault, _, _ := p.state(); fault == linkReset {
		reset(caller)
		return
	}
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		reset(caller) // as a port does on which nothing listens
		return
	}
	p.track(caller, server, true)
	defer p.track(caller, server, false)
	var both sync.WaitGroup
	both.Go(func() { p.forward(server, caller, linkCutOut) })
	both.Go(func() { p.forward(caller, server, linkCutIn) })
	both.Wait()
	_ = caller.Close()
	_ = server.Close()
}

func (p *proxy) track(caller, server net.Conn, open bool) {
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
	chunkBytes = 16 << 10
	// maxBufferedChunks bounds the chunks that are read while earlier bytes are held back.
	maxBufferedChunks = 64
)

// chunk is the result of one read.
type chunk struct {
	bytes []byte
	read  time.Time
	err   error // set in the last chunk
}

// forward copies bytes in one direction, including the end of the stream. A reset is forwarded as a
// reset.
func (p *proxy) forward(to, from net.Conn, cut linkFault) {
	chunks := make(chan chunk, maxBufferedChunks)
	done := make(chan struct{})
	defer close(done)
	go readChunks(from, chunks, done)
	for next := range chunks {
		if !p.awaitPassage(cut, next.read) {
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
			closeWrite(to, next.err)
			return
		}
	}
}

// readChunks reads until the end of the stream, also while earlier chunks are held back.
func readChunks(from net.Conn, chunks chan<- chunk, done <-chan struct{}) {
	defer close(chunks)
	buffer := make([]byte, chunkBytes)
	for {
		count, err := from.Read(buffer)
		select {
		case chunks <- chunk{bytes: slices.Clone(buffer[:count]), read: time.Now(), err: err}:
		case <-done:
			return
		}
		if err != nil {
			return
		}
	}
}

func closeWrite(to net.Conn, err error) {
	if link, ok := to.(*net.TCPConn); ok && err.Error() == "EOF" {
		_ = link.CloseWrite()
		return
	}
	reset(to)
}

// awaitPassage holds a chunk back as the fault requires. It returns false if the link was reset.
func (p *proxy) awaitPassage(cut linkFault, read time.Time) bool {
	for {
		fault, delay, changed := p.state()
		switch fault {
		case linkReset:
			return false
		case linkDelayed:
			time.Sleep(linkDelay)
			return true
		case cut, linkSilenced:
			<-changed
		case linkHeld:
			if cut != linkCutIn || awaitChange(changed, delay-time.Since(read)) {
				return true
			}
		default:
			return true
		}
	}
}

// awaitChange waits for a change of the fault. It returns true if the limit passed first.
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
