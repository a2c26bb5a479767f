// Package loopbacktest runs plain TCP servers for tests.
package loopbacktest

import (
	"net"
	"testing"
)

// Serve calls handle for each connection to the returned address, each in a goroutine of its own. The connections
// stay open until the test ends, unless handle closes them. The stop function closes the listener alone.
func Serve(t *testing.T, handle func(connection *net.TCPConn)) (address string, stop func()) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	stop = func() { _ = listener.Close() } // it may be closed already
	t.Cleanup(stop)
	go func() {
		for {
			connection, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = connection.Close() }) // the handler may have closed it
			go handle(connection)
		}
	}()
	return listener.Addr().String(), stop
}
