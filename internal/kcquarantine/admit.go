package kcquarantine

import (
	"context"
	"math"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Action tells what to do with a request.
type Action int

const (
	// Send means that no part of the request is suspected.
	Send Action = iota
	// Trial means that the request may be sent to one upstream. The caller must
	// call EndTrial, Answered or Crashed.
	Trial
	// Wait means that the request may be on trial later.
	Wait
	// Reject means that a part of the request is blocked.
	Reject
)

// String returns the name that is written to logs.
func (a Action) String() string { return [...]string{"send", "trial", "wait", "reject"}[a] }

// Decision is the answer to a request.
type Decision struct {
	Action Action
	// Part is the part that the decision is about, Failures the number of crashes
	// in a row that speak against it.
	Part     Part
	Failures int
	// WaitMs is the time until the next trial. TrialRuns is true if it is that until
	// the end of a trial which runs, which usually ends much sooner.
	WaitMs    kcclock.Millis
	TrialRuns bool
	// Changed is closed when the decision may have changed.
	Changed <-chan struct{}
}

// Request is what a decision depends on.
type Request struct {
	Parts     []Part
	Workspace uint64
	// Crashed is true if an upstream has crashed when it was about to answer the
	// request. Then its parts are suspected even if they were answered lately.
	Crashed bool
}

// CountRequest counts a new request. The counts tell which parts most requests
// hold.
func (t *Tracker) CountRequest(parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return
	}
	now := t.opts.Clock.Now()
	t.requests.add(now)
	for _, p := range parts {
		if s := t.suspects[p]; s != nil {
			s.requests.add(now)
		}
	}
}

// Admit decides whether a request may be sent. It answers loads with few requests
// that crash their upstreams among many that do not, and evidence that is some ten
// milliseconds old.
func (t *Tracker) Admit(r Request) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.decide(r)
	if d.Action == Trial {
		t.startTrial(r, t.opts.Clock.Now())
	}
	return d
}

// Check returns what Admit would decide, without starting a trial. It is for
// requests that have to queue before they are sent.
func (t *Tracker) Check(r Request) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decide(r)
}

func (t *Tracker) decide(r Request) Decision {
	var d Decision
	if len(t.suspects) == 0 {
		return d
	}
	now, held := t.opts.Clock.Now(), kcset.New(r.Parts...)
	for _, p := range r.Parts {
		n, at := t.nextTrial(p, r, held)
		if n == 0 {
			continue
		}
		runs := t.suspects[p].trialUntil > max(at, now)
		if runs {
			at = t.suspects[p].trialUntil
		}
		if wait := max(at-now, 0); d.Failures == 0 || wait > d.WaitMs {
			d.Part, d.Failures, d.WaitMs, d.TrialRuns = p, n, wait, runs
		}
	}
	switch {
	case d.Failures == 0:
		return d
	case d.WaitMs == 0:
		d.Action = Trial
	case d.Failures >= blockAfter:
		d.Action = Reject
	default:
		d.Action = Wait
	}
	d.Changed = t.changed
	return d
}

// Await waits until a request may be sent, and returns a decision that is not Wait.
// It waits for *leftMs at most, of which it takes what it has waited, and rejects
// at once a request that it would have to hold for longer. The end of a trial may
// come at any time, so it is waited for.
func (t *Tracker) Await(ctx context.Context, r Request, leftMs *kcclock.Millis) Decision {
	for {
		d := t.Admit(r)
		if d.Action != Wait {
			return d
		}
		tooLong := d.WaitMs > *leftMs && (!d.TrialRuns || *leftMs <= 0)
		if tooLong || ctx.Err() != nil {
			d.Action = Reject
			return d
		}
		start := t.opts.Clock.Now()
		select {
		case <-d.Changed:
		case <-t.opts.Clock.After(min(d.WaitMs, *leftMs)):
		case <-ctx.Done():
		}
		*leftMs -= t.opts.Clock.Now() - start
	}
}

// nextTrial returns the number of crashes that speak against a part of a request
// and the time from which the request may be on trial. The number is 0 if the
// part is not suspected. held holds the parts of the request.
func (t *Tracker) nextTrial(p Part, r Request, held kcset.Set[Part]) (failures int, at kcclock.Millis) {
	n := t.suspicion(p, r)
	if n == 0 {
		return 0, 0
	}
	explained, more := t.explainedElsewhere(p, held)
	if more {
		return 0, 0
	}
	list := t.counted(p)
	last := list[len(list)-1]
	if n >= blockAfter && (explained || ofOneOtherWorkspace(list, r.Workspace)) {
		// The part was never seen without a worse one, or never in a request of
		// this workspace.
		n = 1
	}
	return n, last.at + t.trialDelay(p, n)
}

// suspicion returns the number of crashes that speak against a part of a request.
func (t *Tracker) suspicion(p Part, r Request) int {
	n := t.failures(p)
	if n == 0 && r.Crashed && len(t.counted(p)) > 0 {
		return 1
	}
	return n
}

// ofOneOtherWorkspace reports whether all crashes came from requests of one
// workspace that is not this one.
func ofOneOtherWorkspace(list []partCrash, workspace uint64) bool {
	return !slices.ContainsFunc(list, func(pc partCrash) bool {
		return pc.workspace == workspace || pc.workspace != list[0].workspace
	})
}

// trialDelay returns the time between the last crash of a part and its next trial
// at this instance. It differs between instances, so that one of them is first and
// the others hear of its trial.
func (t *Tracker) trialDelay(p Part, failures int) kcclock.Millis {
	var delay kcclock.Millis
	switch {
	case failures >= blockAfter:
		delay = min(firstBlockMs<<min(failures-blockAfter, maxCrashesPerPart), maxBlockMs)
	case t.onlyReading(p):
		delay = readingTrialMs * kcclock.Millis(failures)
	default:
		delay = firstTrialMs * kcclock.Millis(failures)
	}
	fraction := float64(kcset.RendezvousHash(p.String(), t.opts.Instance)) / math.MaxUint64
	return delay + kcclock.Millis(trialSpread*fraction*float64(delay))
}

// onlyReading reports whether all that speaks against a part are requests whose
// answer had not begun.
func (t *Tracker) onlyReading(p Part) bool {
	return !slices.ContainsFunc(t.counted(p), func(pc partCrash) bool {
		c := t.crashes[pc.id]
		return c == nil || c.parts[p] == Answering
	})
}

func (t *Tracker) startTrial(r Request, now kcclock.Millis) {
	for _, p := range r.Parts {
		s := t.suspects[p]
		if s == nil || t.suspicion(p, r) == 0 {
			continue
		}
		s.trialBy, s.trialUntil = t.opts.Instance, now+trialMs
		t.outbox.addTrial(p, s.trialUntil, now)
	}
	if t.opts.OnTrial != nil {
		t.opts.OnTrial()
	}
}

const (
	// waitShare is the share of its time for which a request waits for its trial,
	// maxWaitMs the longest time: that until the trial after a second crash. A sound
	// request is answered late then, but it is.
	waitShare = 0.25
	maxWaitMs = 1500 * kcclock.Millisecond
	// minRetryMs is the shortest time after which the caller of a suspected request
	// is told to return.
	minRetryMs = 2 * kcclock.Second
)

// MaxWait returns how long a request with this much time left may wait for its
// trial.
func MaxWait(remaining kcclock.Millis) kcclock.Millis {
	return min(kcclock.Millis(waitShare*float64(remaining)), maxWaitMs)
}

// RetryAfter returns the time after which the caller of a rejected request may
// return.
func (d Decision) RetryAfter() kcclock.Millis { return max(d.WaitMs, minRetryMs) }

// EndTrial ends a trial that showed nothing: the request was not run, or its
// caller left.
func (t *Tracker) EndTrial(parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		t.endTrial(p)
	}
	t.notify()
}

// endTrial ends the trial of a part if it is one of this instance.
func (t *Tracker) endTrial(p Part) {
	s := t.suspects[p]
	if s == nil || s.trialBy != t.opts.Instance {
		return
	}
	t.outbox.addTrial(p, 0, t.opts.Clock.Now())
	s.trialBy, s.trialUntil = "", 0
}
