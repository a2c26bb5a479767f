package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ringstream.example/ringstream/internal/wait"
	"ringstream.example/ringstream/platform/platformtest"
)

// nodeState says what the soak has done to a node's process.
type nodeState uint8

const (
	nodeRunning  nodeState = iota
	nodeStopping           // SIGTERM was sent
	nodePaused             // SIGSTOP was sent
	nodeDead               // SIGKILL was sent, or it has ended
)

// nodeProcess is one node as a process of its own, behind links of its own.
type nodeProcess struct {
	name     string
	zone     string
	folder   string
	front    string // where the process listens for callers
	ready    string
	peer     string
	link     *proxy // callers to the node
	door     *platformtest.Door
	store    *proxy // the node to its door of the store
	judge    *judge
	settings string

	// control is held by the fault that signals the process.
	control sync.Mutex
	binary  string // of the next life; guarded by control once the node has started

	mu        sync.Mutex // guards the rest
	command   *exec.Cmd
	ended     chan struct{} // closed when the process has ended
	state     nodeState
	life      int       // rises with each start
	started   time.Time // of this life
	disturbed time.Time // when a fault last struck it, or its links
	lasting   int       // faults of its links that are not over
	stopping  time.Time // when SIGTERM was last sent
	pausedAt  time.Time // when SIGSTOP was last sent
	pausedFor time.Duration
}

// ownHost gives this process an address of the loopback range, so that soaks beside each
// other do not take a port that one has found free for a node.
func ownHost() string {
	const hosts = 250
	number := os.Getpid()
	return fmt.Sprintf("127.7.%d.%d", 1+number/hosts%hosts, 1+number%hosts)
}

// addresses gives addresses that are free, each once: the system may name one again that was
// given to a process which does not listen there yet.
type addresses struct{ given map[string]bool }

func (a *addresses) free() (string, error) {
	for {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(ownHost(), "0"))
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return "", err
		}
		if !a.given[address] {
			a.given[address] = true
			return address, nil
		}
	}
}

const settingsText = `node:
  id: %q
  zone: %q
  region: "r1"
log:
  level: info
  format: json
  output: stdout
pass_through:
  address: %q
  ready_address: %q
  peer_address: %q
  store_address: %q
  seeds: [%q]
  keys:
    strict: true
    confirm_within: %v
  limits:
    window: %v
    overrun: %v
    slack_requests: %v
`

// newNode writes a node's settings; start starts it.
func (s *soak) newNode(number int, seed string) (*nodeProcess, error) {
	node := &nodeProcess{
		name: fmt.Sprintf("n%d", number), zone: fmt.Sprintf("z%d", number%2), binary: cmp.Or(s.options.Former, s.options.Binary),
		folder: s.options.Folder, judge: s.judge, state: nodeDead,
	}
	for _, address := range []*string{&node.front, &node.ready, &node.peer} {
		var err error
		if *address, err = s.addresses.free(); err != nil {
			return nil, err
		}
	}
	node.door = s.store.Open()
	var err error
	if node.link, err = newProxy(node.front); err != nil {
		return nil, err
	}
	if node.store, err = newProxy(node.door.Address()); err != nil {
		return nil, err
	}
	if seed == "" {
		seed = node.peer
	}
	node.settings = filepath.Join(node.folder, node.name+".yaml")
	text := fmt.Sprintf(settingsText, node.name, node.zone, node.front, node.ready, node.peer, node.store.address(), seed,
		confirmWithin, limitWindow, limitOverrun, limitSlack)
	return node, os.WriteFile(node.settings, []byte(text), 0o600)
}

func (n *nodeProcess) close() {
	n.link.close()
	n.store.close()
	n.door.Close()
}

// start starts the process anew; its log goes on in the same file.
func (n *nodeProcess) start() error {
	log, err := os.OpenFile(n.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()                                                      //nolint:errcheck // the process has its own descriptor
	command := exec.CommandContext(context.Background(), n.binary, "node") //nolint:gosec // the binary that the soak was told to run
	command.Env = append(os.Environ(), "RINGSTREAM_SETTINGS="+n.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.command, n.ended, n.state, n.disturbed = command, ended, nodeRunning, time.Now()
	n.started, n.pausedFor = n.disturbed, 0
	n.life++
	life := n.life
	n.mu.Unlock()
	go n.watch(command, ended, life)
	return nil
}

// startingTime is how long a process may run until it hears signals; before
// that it ends at once, and has served nobody.
const startingTime = 500 * time.Millisecond

// watch notes the end of a process; one that nobody asked for breaks a promise.
func (n *nodeProcess) watch(command *exec.Cmd, ended chan struct{}, life int) {
	err := command.Wait()
	n.mu.Lock()
	if n.state == nodeRunning || n.state == nodePaused {
		n.judge.violate("ended_by_itself", n.name, fmt.Sprintf("life %d: %v", life, err))
	}
	if n.state == nodeStopping {
		var exit *exec.ExitError
		if errors.As(err, &exit) && n.ranUntilStop() > startingTime {
			n.judge.violate("planned_stop_failed", n.name, exit.String())
		}
	}
	n.state, n.disturbed = nodeDead, time.Now()
	n.mu.Unlock()
	close(ended)
}

// ranUntilStop is how long the process could run before it was told to stop: not while it was paused,
// as some were at once after their start, and then ended by SIGTERM without a line of their log. The
// caller holds mu.
func (n *nodeProcess) ranUntilStop() time.Duration {
	return n.stopping.Sub(n.started) - n.pausedFor
}

// notePause counts the time in which the process is paused. The caller holds mu.
func (n *nodeProcess) notePause(signal syscall.Signal) {
	switch signal {
	case syscall.SIGSTOP:
		n.pausedAt = time.Now()
	case syscall.SIGCONT:
		n.pausedFor += time.Since(n.pausedAt)
	}
}

// signal sends a signal to the process that the soak started.
func (n *nodeProcess) signal(signal syscall.Signal, state nodeState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state == nodeDead {
		return
	}
	n.state = state
	n.notePause(signal)
	if signal == syscall.SIGTERM {
		n.stopping = time.Now()
	} else {
		n.disturbed = time.Now()
	}
	_ = n.command.Process.Signal(signal)
}

// kill ends the process and waits for that.
func (n *nodeProcess) kill() {
	n.signal(syscall.SIGKILL, nodeDead)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// stopGrace is how long a planned stop may take.
const stopGrace = 8 * time.Second

// stop ends the process as planned; false when the grace ran out, after which
// it is killed.
func (n *nodeProcess) stop() bool {
	n.signal(syscall.SIGTERM, nodeStopping)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(stopGrace):
		n.judge.violate("outlived_its_grace", n.name, stopGrace.String())
		n.kill()
		return false
	}
}

// beginFault notes a fault of the node's links that lasts until endFault.
func (n *nodeProcess) beginFault() { n.disturb(1) }

func (n *nodeProcess) endFault() { n.disturb(-1) }

func (n *nodeProcess) disturb(lasting int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbed = time.Now()
	n.lasting += lasting
}

// condition is what the judge needs to know of a node at a moment.
type condition struct {
	life      int
	state     nodeState
	disturbed time.Time // now, while a fault of its links lasts
	stopping  time.Time
}

func (n *nodeProcess) condition() condition {
	n.mu.Lock()
	defer n.mu.Unlock()
	return condition{life: n.life, state: n.state, disturbed: orNow(n.disturbed, n.lasting), stopping: n.stopping}
}

// runningWithin is how long a process may take to answer at all.
const runningWithin = 10 * time.Second

// awaitRunning waits until the process answers whether it is ready, with whatever word.
func (n *nodeProcess) awaitRunning(ctx context.Context) bool {
	until := time.Now().Add(runningWithin)
	for time.Now().Before(until) {
		if n.readiness() != 0 {
			return true
		}
		if !wait.For(ctx, readPause) {
			return false
		}
	}
	return false
}

// isReady asks the node whether it takes callers.
func (n *nodeProcess) isReady() bool { return n.readiness() == http.StatusOK }

// readiness gives the status of the node's answer; 0: none came.
func (n *nodeProcess) readiness() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	question, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/readyz", nil)
	if err != nil {
		return 0
	}
	answer, err := http.DefaultClient.Do(question)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// logFile is where all lives of the process write their log.
func (n *nodeProcess) logFile() string { return filepath.Join(n.folder, n.name+".log") }
