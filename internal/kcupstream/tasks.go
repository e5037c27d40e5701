package kcupstream

import (
	"context"
	"sync"
)

// taskGroup counts running goroutines. Unlike with a sync.WaitGroup, new ones
// may start while a caller waits.
type taskGroup struct {
	mu        sync.Mutex
	running   int
	taskEnded chan struct{} // closed when the next task ends; nil if no caller waits
}

// run calls f in a new goroutine.
func (t *taskGroup) run(f func()) {
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	go func() {
		defer t.end()
		f()
	}()
}

func (t *taskGroup) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.taskEnded != nil {
		close(t.taskEnded)
		t.taskEnded = nil
	}
}

// wait blocks until no task runs or ctx is done.
func (t *taskGroup) wait(ctx context.Context) {
	for {
		t.mu.Lock()
		if t.running == 0 {
			t.mu.Unlock()
			return
		}
		if t.taskEnded == nil {
			t.taskEnded = make(chan struct{})
		}
		ended := t.taskEnded
		t.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
			return
		}
	}
}
