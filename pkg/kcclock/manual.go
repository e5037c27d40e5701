package kcclock

import "sync"

type timer struct {
	at   Millis
	done chan struct{}
}

// Manual is a clock for tests that moves only when Advance is called. The zero
// value is ready to use and is at time 0.
type Manual struct {
	mu         sync.Mutex
	now        Millis
	timers     []timer
	timerAdded chan struct{}
}

// NewManual returns a manual clock at the given time.
func NewManual(now Millis) *Manual { return &Manual{now: now} }

// Now returns the current time of the clock.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that is closed once the clock has been advanced by at
// least d milliseconds.
func (m *Manual) After(d Millis) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	done := make(chan struct{})
	if d <= 0 {
		close(done)
		return done
	}
	m.timers = append(m.timers, timer{at: m.now + d, done: done})
	if m.timerAdded != nil {
		close(m.timerAdded)
		m.timerAdded = nil
	}
	return done
}

// Advance moves the clock by d milliseconds and closes the channels of After
// whose time has come.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	pending := m.timers[:0]
	for _, w := range m.timers {
		if w.at <= m.now {
			close(w.done)
			continue
		}
		pending = append(pending, w)
	}
	m.timers = pending
}

// AwaitWaiters blocks until at least n channels of After are pending, so that a
// test advances the clock only after the code under test has started to wait.
func (m *Manual) AwaitWaiters(n int) {
	for {
		m.mu.Lock()
		if len(m.timers) >= n {
			m.mu.Unlock()
			return
		}
		if m.timerAdded == nil {
			m.timerAdded = make(chan struct{})
		}
		timerAdded := m.timerAdded
		m.mu.Unlock()
		<-timerAdded
	}
}
