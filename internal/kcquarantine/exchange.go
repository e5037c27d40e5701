package kcquarantine

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Answer tells that a part was answered at a time.
type Answer struct {
	Part Part
	At   kcclock.Millis
}

// TrialState tells that a request with a part is on trial until a time, which is
// 0 once the trial has ended.
type TrialState struct {
	Part  Part
	Until kcclock.Millis
}

// Report is what an instance tells its peers. Reports add to each other and may
// be lost, repeated or late.
type Report struct {
	Instance string
	Evidence []Evidence
	Answers  []Answer
	Trials   []TrialState
	// Complete is true for the answer to an instance that has just started: it
	// holds all that the sender knows against parts.
	Complete bool
}

// Block is a part whose requests are rejected, with the evidence.
type Block struct {
	Part Part `json:"part"`
	// Failures is the number of crashes in a row.
	Failures int `json:"failures"`
	// NextTrialAt is the time from which one request may be sent again.
	NextTrialAt kcclock.Millis `json:"nextTrialAt"`
	Evidence    []Evidence     `json:"evidence"`
}

// Shifted returns a copy whose times are on a clock that is ahead by d.
func (b Block) Shifted(d kcclock.Millis) Block {
	b.NextTrialAt += d
	b.Evidence = slices.Clone(b.Evidence)
	for i := range b.Evidence {
		b.Evidence[i].At += d
	}
	return b
}

// LogValue lists the crashes: upstream, time before the last crash in
// milliseconds, phase, and the request if it was one of this instance.
func (b Block) LogValue() slog.Value {
	var text strings.Builder
	for i, e := range b.Evidence {
		if i > 0 {
			text.WriteByte(';')
		}
		fmt.Fprintf(&text, "%s,-%dms,%s,%s", e.Upstream, b.Evidence[len(b.Evidence)-1].At-e.At, e.Phase, e.Request)
	}
	return slog.StringValue(text.String())
}

// resendAfterMs are the times after which an entry is sent again, because reports
// may be lost.
var resendAfterMs = [...]kcclock.Millis{200 * kcclock.Millisecond, 500 * kcclock.Millisecond}

// answerSpreadMs spreads the answers of many instances to the evidence of one, so
// that most of them see the answer of another instance first.
const answerSpreadMs = 60 * kcclock.Millisecond

// pending is an entry that is sent several times.
type pending[T any] struct {
	value  T
	sendAt kcclock.Millis
	sends  int
}

func newPending[T any](v T, sendAt kcclock.Millis) *pending[T] {
	return &pending[T]{value: v, sendAt: sendAt}
}

// outbox holds what is to be sent to the peers. Its lists are bounded.
type outbox struct {
	evidence []*pending[Evidence]
	answers  map[Part]*pending[Answer]
	trials   map[Part]*pending[TrialState]
}

// maxPending bounds each list of an outbox.
const maxPending = 64

func (o *outbox) addEvidence(e Evidence, now kcclock.Millis) {
	if len(o.evidence) >= maxPending {
		o.evidence = slices.Delete(o.evidence, 0, 1)
	}
	o.evidence = append(o.evidence, newPending(e, now))
}

func (o *outbox) addAnswer(p Part, at, sendAt kcclock.Millis) {
	if o.answers == nil {
		o.answers = make(map[Part]*pending[Answer])
	}
	if len(o.answers) < maxPending || o.answers[p] != nil {
		o.answers[p] = newPending(Answer{p, at}, sendAt)
	}
}

func (o *outbox) addTrial(p Part, until, now kcclock.Millis) {
	if o.trials == nil {
		o.trials = make(map[Part]*pending[TrialState])
	}
	if len(o.trials) < maxPending || o.trials[p] != nil {
		o.trials[p] = newPending(TrialState{p, until}, now)
	}
}

// take returns the value if it is due, and whether it is to be sent again later.
func (e *pending[T]) take(now kcclock.Millis) (due, again bool) {
	if now < e.sendAt {
		return false, true
	}
	if e.sends == len(resendAfterMs) {
		return true, false
	}
	e.sendAt = now + resendAfterMs[e.sends]
	e.sends++
	return true, true
}

// Outgoing returns what is to be sent to the peers now. ok is false if there is
// nothing.
func (t *Tracker) Outgoing() (r Report, ok bool) {
	now := t.opts.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Instance = t.opts.Instance
	t.outbox.evidence = slices.DeleteFunc(t.outbox.evidence, func(e *pending[Evidence]) bool {
		due, again := e.take(now)
		if due {
			r.Evidence = append(r.Evidence, e.value)
		}
		return !again
	})
	r.Answers = takeDue(t.outbox.answers, now)
	r.Trials = takeDue(t.outbox.trials, now)
	return r, len(r.Evidence)+len(r.Answers)+len(r.Trials) > 0
}

func takeDue[T any](entries map[Part]*pending[T], now kcclock.Millis) (out []T) {
	for p, e := range entries {
		due, again := e.take(now)
		if due {
			out = append(out, e.value)
		}
		if !again {
			delete(entries, p)
		}
	}
	return out
}

// Merge adds the report of a peer.
func (t *Tracker) Merge(r Report) {
	now := t.opts.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	cleared := kcset.New[Part]()
	for _, a := range r.Answers {
		cleared.Add(a.Part)
		if own := t.outbox.answers[a.Part]; own != nil && own.value.At <= a.At+episodeMs {
			delete(t.outbox.answers, a.Part)
		}
		t.clear(a.Part, min(a.At, now), false)
	}
	for _, e := range r.Evidence {
		if t.merge(e) {
			changed = true
			t.answerEvidence(e, cleared, now)
		}
	}
	changed = t.mergeTrials(r, now) || changed
	if r.Complete {
		t.markSynced()
	}
	if changed {
		t.notify()
	}
}

// mergeTrials applies the trials of a peer and reports whether one has ended.
func (t *Tracker) mergeTrials(r Report, now kcclock.Millis) (ended bool) {
	for _, tr := range r.Trials {
		s := t.suspects[tr.Part]
		if s == nil {
			continue
		}
		switch {
		case tr.Until > 0 && (s.trialBy == "" || s.trialBy == r.Instance || s.trialUntil <= now):
			s.trialBy, s.trialUntil = r.Instance, min(tr.Until, now+trialMs)
		case tr.Until == 0 && s.trialBy == r.Instance:
			s.trialBy, s.trialUntil, ended = "", 0, true
		}
	}
	return ended
}

// answerEvidence tells the peers which parts of a crashed request were answered
// here around that time. The sender has told about those in cleared itself, so
// that hundreds of instances do not answer for a part that all of them know.
func (t *Tracker) answerEvidence(e Evidence, cleared kcset.Set[Part], now kcclock.Millis) {
	for _, p := range e.Parts {
		if at, ok := t.answered.get(p); ok && !cleared.Has(p) && e.At-at <= clearedForMs {
			delay := kcclock.Millis(kcset.RendezvousHash(p.String(), t.opts.Instance) % uint64(answerSpreadMs))
			t.outbox.addAnswer(p, at, now+delay)
		}
	}
}

// Snapshot returns all that speaks against parts, and the answers that have cleared
// some lately.
func (t *Tracker) Snapshot() Report {
	now := t.opts.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Instance: t.opts.Instance, Complete: true}
	for p, s := range t.suspects {
		if t.failures(p) == 0 {
			if at, ok := t.answered.get(p); ok && now-at <= clearedForMs {
				r.Answers = append(r.Answers, Answer{p, at})
			}
			continue
		}
		for _, pc := range t.counted(p) {
			r.Evidence = append(r.Evidence, t.evidence(p, pc))
		}
		if s.trialUntil > now {
			r.Trials = append(r.Trials, TrialState{p, s.trialUntil})
		}
	}
	return r
}

// Synced is closed once the instance knows what its peers know, or has none.
func (t *Tracker) Synced() <-chan struct{} { return t.synced }

// MarkSynced closes Synced.
func (t *Tracker) MarkSynced() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markSynced()
}

func (t *Tracker) markSynced() {
	select {
	case <-t.synced:
	default:
		close(t.synced)
	}
}

// Restore adds a block that another instance, or an earlier process of this one,
// has stored.
// It reports whether it changes anything.
func (t *Tracker) Restore(b Block) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, changed := t.opts.Clock.Now(), false
	for _, e := range b.Evidence {
		if now-e.At <= forgetMs {
			e.At = min(e.At, now)
			changed = t.merge(e) || changed
		}
	}
	if changed {
		t.notify()
	}
	return changed
}

// Blocks returns the blocked parts in the order of their hashes.
func (t *Tracker) Blocks() []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Block
	for p := range t.suspects {
		if t.failures(p) >= blockAfter {
			out = append(out, t.block(p))
		}
	}
	slices.SortFunc(out, func(a, b Block) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

func (t *Tracker) block(p Part) Block {
	list, n := t.counted(p), t.failures(p)
	b := Block{Part: p, Failures: n, NextTrialAt: list[len(list)-1].at + t.trialDelay(p, n)}
	for _, pc := range list {
		b.Evidence = append(b.Evidence, t.evidence(p, pc))
	}
	return b
}

// evidence returns what a crash says against a part.
func (t *Tracker) evidence(p Part, pc partCrash) Evidence {
	e := Evidence{Crash: pc.id, Workspace: pc.workspace, Request: pc.request, At: pc.at, Phase: Answering, Parts: []Part{p}}
	if c := t.crashes[pc.id]; c != nil {
		e.Upstream, e.Phase = c.upstream, c.parts[p]
	}
	return e
}
