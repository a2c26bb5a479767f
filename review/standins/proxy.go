package main

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes TCP connections on to a target. It can make the connections that are open fall silent: they stay open, and
// nothing passes any more in either direction. New connections work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex // guards links
	links map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	caller, server net.Conn
	silent         atomic.Bool
}

// newProxy starts a proxy on a free port of a host.
func newProxy(host, target string) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	made := &proxy{listener: listener, target: target, links: make(map[*link]bool)}
	go made.accept()
	return made, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(caller)
	}
}

func (p *proxy) serve(caller net.Conn) {
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	opened := &link{caller: caller, server: server}
	p.mu.Lock()
	p.links[opened] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Add(2)
	go func() { defer group.Done(); opened.pass(server, caller) }()
	go func() { defer group.Done(); opened.pass(caller, server) }()
	group.Wait()
	if opened.silent.Load() {
		return // it stays as it is until close
	}
	p.mu.Lock()
	delete(p.links, opened)
	p.mu.Unlock()
	_, _ = caller.Close(), server.Close()
}

// pass copies one direction. What a silent link receives is dropped.
func (l *link) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if l.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if count > 0 {
			if _, failed := to.Write(buffer[:count]); failed != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, isTCP := to.(*net.TCPConn); isTCP {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

func reset(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// silence makes the open connections fall silent for good, and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for opened := range p.links {
		opened.silent.Store(true)
	}
	return len(p.links)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for opened := range p.links {
		_, _ = opened.caller.Close(), opened.server.Close()
	}
}
