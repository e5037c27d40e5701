package kcupstream

import (
	"context"
	"sync"
)

// tasks counts running goroutines. Unlike with a sync.WaitGroup, new ones may
// start while someone waits.
type taskGroup struct {
	mu        sync.Mutex
	running   int
	taskEnded chan struct{} // closed at the next end of a task; nil if nobody waits
}

// run starts f.
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

// wait blocks until no task runs or ctx ends.
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
