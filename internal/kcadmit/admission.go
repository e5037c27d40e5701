package kcadmit

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxLogLinesPerSecond bounds the log lines of one service. Each further one is only
// counted.
const maxLogLinesPerSecond = 100

// otherInstanceRetryMs lets a caller reach another instance at once.
const otherInstanceRetryMs = 100 * kcclock.Millisecond

// AdmissionOptions configures an Admission.
type AdmissionOptions struct {
	// Enabled is true if the deployment has overload control.
	Enabled bool
	Clock   kcclock.Clock
	Log     *slog.Logger
	Metrics *kcmetric.Registry
	// Room returns the room of a service, and Senders the number of instances that
	// send to its upstreams, including this one.
	Room    func(service string) kcroom.Room
	Senders func() int
}

// Admission holds requests for the services of an instance until they are admitted
// or refused. It is safe for concurrent use. The nil Admission admits every request
// at once.
type Admission struct {
	AdmissionOptions
	stopping atomic.Bool
	mu       sync.Mutex
	services map[string]*service
	// list is a copy of services that is read without mu.
	list atomic.Pointer[[]*service]
}

// service is the admission of one service.
type service struct {
	a    *Admission
	name string
	// tick is held by the one waiting request that calls Release at intervals.
	tick chan struct{}
	// waiting is the number of held requests. It is read without mu.
	waiting atomic.Int64

	mu      sync.Mutex
	ctrl    *Controller
	waiters map[uint64]chan Ticket
	// logSecond is the second in which logLines lines were written.
	logSecond kcclock.Millis
	logLines  int
}

// NewAdmission returns the admission of an instance, or nil if it is not enabled.
func NewAdmission(opts AdmissionOptions) *Admission {
	if !opts.Enabled {
		return nil
	}
	a := &Admission{AdmissionOptions: opts, services: make(map[string]*service)}
	a.list.Store(&[]*service{})
	return a
}

func (a *Admission) service(name string) *service {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s != nil {
		return s
	}
	s = &service{a: a, name: name, tick: make(chan struct{}, 1), ctrl: New(Options{}), waiters: make(map[uint64]chan Ticket)}
	s.tick <- struct{}{}
	a.services[name] = s
	list := append(append([]*service(nil), *a.list.Load()...), s)
	a.list.Store(&list)
	s.registerGauges()
	return s
}

// registerGauges registers the gauges of a service. Shares are in percent, because
// gauges are integers.
func (s *service) registerGauges() {
	for name, read := range map[string]func() float64{
		"free":            func() float64 { return float64(s.ctrl.room.Free) },
		"busy":            func() float64 { return float64(s.ctrl.room.Busy) },
		"queueable":       func() float64 { return float64(s.ctrl.room.Queueable) },
		"roomAgeMs":       func() float64 { return float64(s.ctrl.room.AgeMs) },
		"pressurePercent": func() float64 { return 100 * s.ctrl.Pressure() },
		"holdFromPercent": func() float64 { return 100 * s.ctrl.holdFrom() },
		"pacePercent":     func() float64 { return 100 * s.ctrl.Pace() },
		"waiting":         func() float64 { return float64(s.ctrl.Waiting()) },
	} {
		s.a.Metrics.RegisterGauge("admission."+s.name+"."+name, func() int64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return int64(read())
		})
	}
}

// Await returns once a request is admitted or refused, or ctx is done. id names the
// request in the log.
func (a *Admission) Await(ctx context.Context, name, id string, r Request) Ticket {
	if a == nil {
		return Ticket{}
	}
	s, room, now := a.service(name), a.Room(name), a.Clock.Now()
	s.mu.Lock()
	s.ctrl.SetSenders(a.Senders())
	t := s.ctrl.Enter(now, r, room)
	if t.Decision == Held && a.stopping.Load() {
		s.ctrl.Leave(now, t)
		t.Decision, t.Reason, t.RetryAfterMs = Refused, ReasonStopping, otherInstanceRetryMs
	}
	var done chan Ticket
	if t.Decision == Held {
		done = make(chan Ticket, 1)
		s.waiters[t.ID] = done
	}
	s.deliver(s.ctrl.Release(now, room))
	s.mu.Unlock()
	if t.Decision == Admitted {
		return t
	}
	if t.Decision == Held {
		t = s.wait(ctx, done, t)
	}
	s.report(ctx, id, r.Kind, t)
	return t
}

// wait waits for the decision on a held request. While any are held, one of them
// calls Release at intervals, which needs no goroutine of its own.
func (s *service) wait(ctx context.Context, done <-chan Ticket, t Ticket) Ticket {
	for {
		select {
		case decided := <-done:
			return decided
		case <-ctx.Done():
			return s.leave(t)
		case <-s.tick:
		}
		select {
		case decided := <-done:
			s.tick <- struct{}{}
			return decided
		case <-ctx.Done():
			s.tick <- struct{}{}
			return s.leave(t)
		case <-s.a.Clock.After(releaseIntervalMs):
		}
		s.tick <- struct{}{}
		s.release()
	}
}

// leave gives up the place of a request.
func (s *service) leave(t Ticket) Ticket {
	now := s.a.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctrl.Leave(now, t)
	delete(s.waiters, t.ID)
	s.waiting.Store(int64(s.ctrl.Waiting()))
	t.Decision, t.Reason = Refused, ReasonLeft
	t.WaitedMs = now - t.enteredAt()
	return t
}

func (s *service) release() {
	if s.waiting.Load() == 0 {
		return
	}
	room, now := s.a.Room(s.name), s.a.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.ctrl.Release(now, room))
}

// deliver hands tickets to the requests that wait for them.
func (s *service) deliver(list []Ticket) {
	for _, t := range list {
		if done := s.waiters[t.ID]; done != nil {
			delete(s.waiters, t.ID)
			done <- t
		}
	}
	s.waiting.Store(int64(s.ctrl.Waiting()))
}

// Release lets held requests of a service proceed if there is room. It is called
// when a request ends and when an upstream reports its load.
func (a *Admission) Release(name string) {
	if a == nil {
		return
	}
	for _, s := range *a.list.Load() {
		if s.name == name {
			s.release()
		}
	}
}

// ReleaseAll does the same for all services, when a report of a peer arrives.
func (a *Admission) ReleaseAll() {
	if a == nil {
		return
	}
	for _, s := range *a.list.Load() {
		s.release()
	}
}

// RetryAfter returns when the caller of a request that found all upstreams full
// should return.
func (a *Admission) RetryAfter(name string, r Request) kcclock.Millis {
	s, room := a.service(name), a.Room(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctrl.Refuse(a.Clock.Now(), r, room, ReasonShortage).RetryAfterMs
}

// EscalationShare returns the part of its usual range that the threshold for an
// escalation has: 1 without a shortage, and 0 before other requests are held.
func (a *Admission) EscalationShare(name string) float64 {
	if a == nil {
		return 1
	}
	s, room := a.service(name), a.Room(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctrl.update(a.Clock.Now(), room)
	return s.ctrl.EscalationShare()
}

// Stop refuses all held requests, and those that would be held from now on.
func (a *Admission) Stop() {
	if a == nil {
		return
	}
	a.stopping.Store(true)
	for _, s := range *a.list.Load() {
		s.mu.Lock()
		s.deliver(s.ctrl.RefuseAll(a.Clock.Now(), ReasonStopping, otherInstanceRetryMs))
		s.mu.Unlock()
	}
}

// report writes the log line of a request that was held or refused, and counts it.
func (s *service) report(ctx context.Context, id, kind string, t Ticket) {
	if t.entry != nil {
		s.a.Metrics.Count("admission.held." + kind)
		s.a.Metrics.Observe("admission.heldMs", t.WaitedMs)
	}
	if t.Decision == Refused {
		s.a.Metrics.Count("admission.refused." + t.Reason + "." + kind)
	}
	if !s.mayLog(s.a.Clock.Now()) {
		s.a.Metrics.Count("admission.linesDropped")
		return
	}
	s.a.Log.LogAttrs(ctx, slog.LevelInfo, "admission",
		slog.String("request", id), slog.String("service", s.name), slog.String("route", kind),
		slog.String("decision", t.Decision.String()), slog.String("reason", t.Reason), slog.Int64("waitedMs", int64(t.WaitedMs)),
		slog.Bool("late", t.Late), slog.Int64("retryAfterMs", int64(t.RetryAfterMs)),
		slog.Float64("pressure", round(t.Pressure)), slog.Float64("pace", round(t.Pace)), slog.Float64("share", round(t.Share)),
		slog.Int("waiting", t.Waiting), slog.Int("upstreams", t.Room.Upstreams), slog.Int("slots", t.Room.Slots),
		slog.Int("busy", t.Room.Busy), slog.Int("queueable", t.Room.Queueable), slog.Float64("holdMs", round(t.Room.HoldMs)),
		slog.Float64("prefillMs", round(t.Room.PrefillMs)), slog.Int64("roomAgeMs", int64(t.Room.AgeMs)))
}

// round leaves two digits after the point.
func round(x float64) float64 { return float64(int64(x*100)) / 100 }

func (s *service) mayLog(now kcclock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now / kcclock.Second; second != s.logSecond {
		s.logSecond, s.logLines = second, 0
	}
	s.logLines++
	return s.logLines <= maxLogLinesPerSecond
}
