package faults

import (
	"os"
	"os/signal"
	"syscall"
)

// prepareProcess starts the signal goroutine of the Go runtime. Nodes subscribe to SIGHUP. If a
// cell were the first to do so, that goroutine would belong to the cell's bubble, and the rest of
// the process could not use it.
func prepareProcess() {
	unused := make(chan os.Signal, 1)
	signal.Notify(unused, syscall.SIGHUP)
	signal.Stop(unused)
}
