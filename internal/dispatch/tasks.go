package dispatch

import "sync"

// tasks counts goroutines that end by themselves. Unlike a sync.WaitGroup, it
// allows new goroutines during Wait, because requests that end while the service
// stops still start cancels of their engines' work.
type tasks struct {
	mutex   sync.Mutex
	running int
	idle    chan struct{} // closed when running falls to zero; nil when nothing waits
}

// Go runs a function in a new goroutine.
func (t *tasks) Go(run func()) {
	t.mutex.Lock()
	t.running++
	t.mutex.Unlock()
	go func() {
		defer t.done()
		run()
	}()
}

func (t *tasks) done() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running--
	if t.running == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// Wait blocks until no function is running.
func (t *tasks) Wait() {
	t.mutex.Lock()
	if t.running == 0 {
		t.mutex.Unlock()
		return
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mutex.Unlock()
	<-idle
}
