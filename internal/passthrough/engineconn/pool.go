package engineconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// Key names one incarnation of an engine: an address may be used again by another.
type Key struct {
	Engine  enginechoice.Incarnation
	Address string
}

// Config bounds the pool.
type Config struct {
	DialTime    time.Duration // for a connection to come up
	EndedTime   time.Duration // for the answer whether an engine still listens; a retry waits for it
	UnackedTime time.Duration // a silent peer's connection ends after this
	IdlePerKey  int           // idle connections kept for one engine
}

// DefaultConfig suits engines a few milliseconds away.
func DefaultConfig() Config {
	return Config{DialTime: 400 * time.Millisecond, EndedTime: 80 * time.Millisecond, UnackedTime: 1500 * time.Millisecond, IdlePerKey: 16}
}

// Pool keeps the idle connections. It is safe for concurrent use.
type Pool struct {
	config Config

	mu     sync.Mutex // guards the rest; never held during I/O but a peek
	idle   map[Key][]*conn
	open   int
	dialed int
}

// New makes an empty pool.
func New(config Config) *Pool { return &Pool{config: config, idle: make(map[Key][]*conn)} }

// Counts gives the open connections, and how many were opened so far.
func (p *Pool) Counts() (open, dialed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dialed
}

// Do sends a request to an engine and reads the head of its answer. The
// exchange's body ends when ctx does. Errors wrap ErrNotSent or ErrBroken.
func (p *Pool) Do(ctx context.Context, key Key, request Request) (*Exchange, error) {
	connection := p.take(key)
	if connection == nil {
		var err error
		if connection, err = p.dial(ctx, key); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	return connection.send(ctx, request)
}

// Ended says whether an engine's process has ended, asked after an exchange with it
// broke: nothing listens at its address any more. A connection that comes up is kept.
func (p *Pool) Ended(ctx context.Context, key Key) bool {
	ctx, cancel := context.WithTimeout(ctx, p.config.EndedTime)
	defer cancel()
	connection, err := p.dial(ctx, key)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	connection.idleMost = keepDefault
	p.put(connection)
	return false
}

// Connected gives the engines to which an idle connection is kept.
func (p *Pool) Connected() map[enginechoice.Incarnation]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	engines := make(map[enginechoice.Incarnation]bool, len(p.idle))
	for key, list := range p.idle {
		if len(list) > 0 {
			engines[key.Engine] = true
		}
	}
	return engines
}

// take gives an idle connection that is still sound, the last used first.
func (p *Pool) take(key Key) *conn {
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		connection := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.mu.Unlock()
		if time.Since(connection.idleFrom) < connection.idleMost && connection.quiet() {
			return connection
		}
		connection.close()
	}
}

func (p *Pool) put(connection *conn) {
	connection.idleFrom = time.Now()
	p.mu.Lock()
	list := p.idle[connection.key]
	full := len(list) >= p.config.IdlePerKey || connection.idleMost <= 0
	if !full {
		p.idle[connection.key] = append(list, connection)
	}
	p.mu.Unlock()
	if full {
		connection.close()
	}
}

func (p *Pool) closed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *Pool) dial(ctx context.Context, key Key) (*conn, error) {
	dialer := &net.Dialer{Timeout: p.config.DialTime, Control: p.endUnacked}
	raw, err := dialer.DialContext(ctx, "tcp", key.Address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.open++
	p.dialed++
	p.mu.Unlock()
	return &conn{pool: p, key: key, raw: raw.(*net.TCPConn), reader: bufio.NewReaderSize(raw, bufferBytes)}, nil
}

func (p *Pool) endUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.config.UnackedTime.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Suspended takes note that the machine was suspended: idle connections have rested for
// that much longer, and the engine may have closed them.
func (p *Pool) Suspended(gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, connection := range list {
			connection.idleFrom = connection.idleFrom.Add(-gap)
		}
	}
}

// Sweep closes connections that have been idle too long, and all of engines
// that live says are gone.
func (p *Pool) Sweep(live func(engine enginechoice.Incarnation) bool) {
	var drop []*conn
	p.mu.Lock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, connection := range list {
			if live(key.Engine) && time.Since(connection.idleFrom) < connection.idleMost {
				kept = append(kept, connection)
			} else {
				drop = append(drop, connection)
			}
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, connection := range drop {
		connection.close()
	}
}
