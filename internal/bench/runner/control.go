package runner

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"ringstream.example/ringstream/internal/bench/fleet"
	"ringstream.example/ringstream/internal/bench/report"
	"ringstream.example/ringstream/internal/wait"
)

// idleMeasureTime is how long the cost of an idle fleet is measured.
const idleMeasureTime = 2 * time.Second

// measureIdle measures what the process uses without load and divides it by the number of nodes.
// The result is an upper bound of the cost of a node, because it includes the stand-ins.
func measureIdle(ctx context.Context, running *fleet.Fleet, nodes int) report.Control {
	const megabyte = 1 << 20
	before, bytes, started := processorTime(), running.PeerBytes(), time.Now()
	wait.For(ctx, idleMeasureTime)
	used, elapsed := processorTime()-before, time.Since(started)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	held := float64(memory.HeapInuse + memory.StackInuse)
	return report.Control{
		CorePercent:    100 * used.Seconds() / elapsed.Seconds() / float64(nodes),
		RSSMegabytes:   held / megabyte / float64(nodes),
		BytesPerSecond: float64(running.PeerBytes()-bytes) / elapsed.Seconds() / float64(running.Nodes()),
	}
}

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
