//go:build !linux

package httpserver

import "net"

// dropNewConnections is implemented for Linux only.
func dropNewConnections(net.Listener) error { return errNotTCP }
