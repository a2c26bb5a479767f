package engineconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ringstream.example/ringstream/internal/core/enginechoice"
)

// Key identifies one incarnation of an engine. The address alone does not, since another incarnation
// may use it later.
type Key struct {
	Engine  enginechoice.Incarnation
	Address string
}

// Config holds the limits of a pool.
type Config struct {
	DialTimeout    time.Duration // for opening a connection
	ProbeTimeout   time.Duration // for the probe whether an engine still listens; a retry waits for it
	UnackedTimeout time.Duration // how long sent data may stay unacknowledged before the connection is closed
	MaxIdlePerKey  int           // idle connections kept per engine
}

// DefaultConfig returns limits for engines that are a few milliseconds away.
func DefaultConfig() Config {
	return Config{DialTimeout: 400 * time.Millisecond, ProbeTimeout: 80 * time.Millisecond, UnackedTimeout: 1500 * time.Millisecond, MaxIdlePerKey: 16}
}

// Pool holds the idle connections to engines. It is safe for concurrent use.
type Pool struct {
	config Config

	mu     sync.Mutex // guards the fields below; never held during I/O
	idle   map[Key][]*conn
	open   int
	dialed int
}

// New returns an empty pool.
func New(config Config) *Pool { return &Pool{config: config, idle: make(map[Key][]*conn)} }

// Counts returns the number of open connections and the number of all connections opened so far.
func (p *Pool) Counts() (open, dialed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dialed
}

// Do sends a request to an engine and reads the head of the response. The end of ctx closes the
// connection, also while the body is read. Errors wrap ErrNotSent or ErrBroken.
func (p *Pool) Do(ctx context.Context, key Key, request Request) (*Exchange, error) {
	connection := p.get(key, request.ID)
	if connection == nil {
		var err error
		if connection, err = p.dial(ctx, key); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	return connection.send(ctx, request)
}

// ProcessEnded reports whether an engine's process has ended, which is so when its address refuses a new
// connection. It is called after an exchange with the engine broke. A connection that it opens is
// kept in the pool.
func (p *Pool) ProcessEnded(ctx context.Context, key Key) bool {
	connection, err := p.dialProbe(ctx, key)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	connection.maxIdle = defaultKeepAlive
	p.put(connection)
	return false
}

// Connected returns the engines to which the pool holds an idle connection.
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

// get returns the most recently used idle connection that is reusable and has not carried a request with
// the id, or nil if there is none.
func (p *Pool) get(key Key, requestID string) *conn {
	for {
		connection := p.take(key, requestID)
		if connection == nil {
			return nil
		}
		if time.Since(connection.idleSince) < connection.maxIdle && connection.reusable() {
			return connection
		}
		connection.close()
	}
}

// take removes and returns the most recently used idle connection that has not carried a request with the
// id, or returns nil if there is none.
func (p *Pool) take(key Key, requestID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		if connection := list[i]; !connection.carried.has(requestID) {
			p.idle[key] = slices.Delete(list, i, i+1)
			return connection
		}
	}
	return nil
}

// put adds an idle connection to the pool, or closes it if the engine has enough of them.
func (p *Pool) put(connection *conn) {
	connection.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[connection.key]
	discard := len(list) >= p.config.MaxIdlePerKey || connection.maxIdle <= 0
	if !discard {
		p.idle[connection.key] = append(list, connection)
	}
	p.mu.Unlock()
	if discard {
		connection.close()
	}
}

// closed is called once for each connection that is closed.
func (p *Pool) closed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *Pool) dial(ctx context.Context, key Key) (*conn, error) {
	dialer := &net.Dialer{Timeout: p.config.DialTimeout, Control: p.setUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", key.Address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.open++
	p.dialed++
	p.mu.Unlock()
	limited := &limitedReader{from: raw}
	return &conn{pool: p, key: key, raw: raw.(*net.TCPConn), limited: limited, reader: bufio.NewReaderSize(limited, bufferBytes)}, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT, which ends a connection whose data stays unacknowledged.
func (p *Pool) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.config.UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// AdjustForSuspension adds the length of a suspension of the machine to the idle time of all
// connections, since the engines may have closed them meanwhile.
func (p *Pool) AdjustForSuspension(gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, connection := range list {
			connection.idleSince = connection.idleSince.Add(-gap)
		}
	}
}

// Sweep closes the connections that have been idle too long and those to engines that are not live.
func (p *Pool) Sweep(live func(engine enginechoice.Incarnation) bool) {
	var expired []*conn
	p.mu.Lock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, connection := range list {
			if live(key.Engine) && time.Since(connection.idleSince) < connection.maxIdle {
				kept = append(kept, connection)
			} else {
				expired = append(expired, connection)
			}
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, connection := range expired {
		connection.close()
	}
}
