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

// nodeState is the state of a node's process as caused by the soak.
type nodeState uint8

const (
	nodeRunning  nodeState = iota
	nodeStopping           // SIGTERM was sent
	nodePaused             // SIGSTOP was sent
	nodeDead               // SIGKILL was sent, or the process has ended
)

// nodeProcess is one node that runs as a separate process behind its own proxies.
type nodeProcess struct {
	name          string
	zone          string
	folder        string
	callerAddress string // where the process listens for callers
	readyAddress  string
	peerAddress   string
	callerLink    *proxy // from callers to the node
	storeEndpoint *platformtest.Endpoint
	storeLink     *proxy // from the node to its endpoint of the store
	judge         *judge
	settings      string

	// control is held by the fault that sends signals to the process.
	control sync.Mutex
	binary  string // binary of the next start; guarded by control once the node has started
	// currentBinary is the binary of the build under test.
	currentBinary string

	mu            sync.Mutex // guards the rest
	command       *exec.Cmd
	ended         chan struct{} // closed when the process has ended
	state         nodeState
	incarnation   int       // increases with each start
	startedBinary string    // binary of this incarnation
	started       time.Time // when this incarnation started
	disturbed     time.Time // when a fault last affected the process or its links
	activeFaults  int       // number of active faults of its links
	stopSentAt    time.Time
	pausedAt      time.Time
	pausedFor     time.Duration
}

// loopbackHost returns a loopback address derived from the process id, so that concurrent soaks do
// not take ports that another soak found free for its nodes.
func loopbackHost() string {
	const hosts = 250
	number := os.Getpid()
	return fmt.Sprintf("127.7.%d.%d", 1+number/hosts%hosts, 1+number%hosts)
}

// addresses returns free addresses, each only once. The system may return an address again that was
// given to a process that does not listen on it yet.
type addresses struct{ used map[string]bool }

func (a *addresses) free() (string, error) {
	for {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(loopbackHost(), "0"))
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return "", err
		}
		if !a.used[address] {
			a.used[address] = true
			return address, nil
		}
	}
}

const settingsTemplate = `node:
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

// newNode creates a node and writes its settings. It does not start the process.
func (s *soak) newNode(number int, seed string) (*nodeProcess, error) {
	node := &nodeProcess{
		name: fmt.Sprintf("n%d", number), zone: fmt.Sprintf("z%d", number%2), binary: cmp.Or(s.options.PreviousBinary, s.options.Binary), currentBinary: s.options.Binary,
		folder: s.options.Folder, judge: s.judge, state: nodeDead,
	}
	for _, address := range []*string{&node.callerAddress, &node.readyAddress, &node.peerAddress} {
		var err error
		if *address, err = s.addresses.free(); err != nil {
			return nil, err
		}
	}
	node.storeEndpoint = s.store.Open()
	var err error
	if node.callerLink, err = newProxy(node.callerAddress); err != nil {
		return nil, err
	}
	if node.storeLink, err = newProxy(node.storeEndpoint.Address()); err != nil {
		return nil, err
	}
	if seed == "" {
		seed = node.peerAddress
	}
	node.settings = filepath.Join(node.folder, node.name+".yaml")
	text := fmt.Sprintf(settingsTemplate, node.name, node.zone, node.callerAddress, node.readyAddress, node.peerAddress, node.storeLink.address(), seed,
		confirmWithin, limitWindow, limitOverrun, limitSlack)
	return node, os.WriteFile(node.settings, []byte(text), 0o600)
}

func (n *nodeProcess) close() {
	n.callerLink.close()
	n.storeLink.close()
	n.storeEndpoint.Close()
}

// start starts the process again and appends to the same log file.
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
	n.incarnation++
	n.startedBinary = n.binary
	incarnation := n.incarnation
	n.mu.Unlock()
	go n.watch(command, ended, incarnation)
	return nil
}

// runsCurrentBuild reports whether the process runs the build under test.
func (n *nodeProcess) runsCurrentBuild() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startedBinary == n.currentBinary
}

// signalSetupTime is how long a process may run before it handles signals. A signal before that
// ends the process at once, when it has not served any request.
const signalSetupTime = 500 * time.Millisecond

// watch waits for the end of a process, and records a violation if the soak did not cause the end
// or a planned stop failed.
func (n *nodeProcess) watch(command *exec.Cmd, ended chan struct{}, incarnation int) {
	err := command.Wait()
	n.mu.Lock()
	if n.state == nodeRunning || n.state == nodePaused {
		n.judge.recordViolation("ended_by_itself", n.name, fmt.Sprintf("life %d: %v", incarnation, err))
	}
	if n.state == nodeStopping {
		var exit *exec.ExitError
		if errors.As(err, &exit) && n.runTimeBeforeStop() > signalSetupTime {
			n.judge.recordViolation("planned_stop_failed", n.name, exit.String())
		}
	}
	n.state, n.disturbed = nodeDead, time.Now()
	n.mu.Unlock()
	close(ended)
}

// runTimeBeforeStop returns how long the process could run before SIGTERM was sent. Pauses do not
// count: some processes were paused right after their start, and SIGTERM then ended them before
// they logged a line. The caller holds mu.
func (n *nodeProcess) runTimeBeforeStop() time.Duration {
	return n.stopSentAt.Sub(n.started) - n.pausedFor
}

// recordPause adds up the time for which the process is paused. The caller holds mu.
func (n *nodeProcess) recordPause(signal syscall.Signal) {
	switch signal {
	case syscall.SIGSTOP:
		n.pausedAt = time.Now()
	case syscall.SIGCONT:
		n.pausedFor += time.Since(n.pausedAt)
	}
}

// signal sends a signal to the process, unless it has ended.
func (n *nodeProcess) signal(signal syscall.Signal, state nodeState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state == nodeDead {
		return
	}
	n.state = state
	n.recordPause(signal)
	if signal == syscall.SIGTERM {
		n.stopSentAt = time.Now()
	} else {
		n.disturbed = time.Now()
	}
	_ = n.command.Process.Signal(signal)
}

// kill ends the process and waits for its end.
func (n *nodeProcess) kill() {
	n.signal(syscall.SIGKILL, nodeDead)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// stopTimeout is how long a planned stop may take.
const stopTimeout = 8 * time.Second

// stop performs a planned stop. It returns false if the process did not end within stopTimeout and
// was killed.
func (n *nodeProcess) stop() bool {
	n.signal(syscall.SIGTERM, nodeStopping)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(stopTimeout):
		n.judge.recordViolation("outlived_its_grace", n.name, stopTimeout.String())
		n.kill()
		return false
	}
}

// beginFault records a fault of the node's links that lasts until endFault.
func (n *nodeProcess) beginFault() { n.recordDisturbance(1) }

func (n *nodeProcess) endFault() { n.recordDisturbance(-1) }

func (n *nodeProcess) recordDisturbance(change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbed = time.Now()
	n.activeFaults += change
}

// condition is a snapshot of what the judge needs to know of a node.
type condition struct {
	incarnation int
	state       nodeState
	disturbed   time.Time // the current time while a fault of its links is active
	stopSentAt  time.Time
}

func (n *nodeProcess) condition() condition {
	n.mu.Lock()
	defer n.mu.Unlock()
	return condition{incarnation: n.incarnation, state: n.state, disturbed: nowIfActive(n.disturbed, n.activeFaults), stopSentAt: n.stopSentAt}
}

// responseTimeout is how long a started process may take until it answers readiness requests.
const responseTimeout = 10 * time.Second

// awaitResponding waits until the process answers a readiness request with any status.
func (n *nodeProcess) awaitResponding(ctx context.Context) bool {
	deadline := time.Now().Add(responseTimeout)
	for time.Now().Before(deadline) {
		if n.readinessStatus() != 0 {
			return true
		}
		if !wait.For(ctx, readPause) {
			return false
		}
	}
	return false
}

// isReady reports whether the node accepts requests.
func (n *nodeProcess) isReady() bool { return n.readinessStatus() == http.StatusOK }

// readinessStatus returns the status of the readiness response, or 0 if there was none.
func (n *nodeProcess) readinessStatus() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.readyAddress+"/readyz", nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// logFile returns the path of the log, which all incarnations of the process share.
func (n *nodeProcess) logFile() string { return filepath.Join(n.folder, n.name+".log") }
