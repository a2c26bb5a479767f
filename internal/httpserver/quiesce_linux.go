package httpserver

import (
	"net"

	"golang.org/x/sys/unix"
)

// dropNewConnections makes the kernel ignore new connections to a listener, while
// handshakes in progress complete and can be accepted. When the listener is
// closed some time later, its accept queue holds no connection that would be
// reset. It attaches a socket filter that drops segments with the SYN flag.
func dropNewConnections(listener net.Listener) error {
	socket, ok := listener.(*net.TCPListener)
	if !ok {
		return errNotTCP
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	const (
		flagsOffset = 13 // of the flags byte in the TCP header
		flagSYN     = 0x02
		wholePacket = 0xffffffff
	)
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: flagSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: wholePacket},
	}
	filter := &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, filter)
	})
	if err != nil {
		return err
	}
	return failure
}
