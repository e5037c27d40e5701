// Package kcquarantine keeps prompts away from upstreams that they would crash.
//
// A crash blames the parts of the prompts that the upstream was about to answer
// when it ended. A part that was answered lately is not to blame. A request with
// a blamed part goes out on trial: one at a time in the whole deployment, to one
// upstream. An answer clears its parts, a crash makes the next trial wait longer,
// and from the third crash on requests with the part are rejected until then.
// Instances exchange what they see, because the requests with a part come through
// all of them.
package kcquarantine

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Part is the hash of the id of a prompt part.
type Part uint64

// PartOf returns the hash of the id of a part.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// String returns the form that is written to logs and to the store.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// ParsePart decodes the form of String.
func ParsePart(s string) (Part, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	return Part(n), err
}

// MarshalText encodes the form of String.
func (p Part) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText decodes the form of String.
func (p *Part) UnmarshalText(b []byte) (err error) {
	*p, err = ParsePart(string(b))
	return err
}

// Phase is how far the upstream had got with a request when it crashed.
type Phase int

const (
	// Reading means that nothing of the response had arrived. Such a request
	// usually ran beside the one that is at fault.
	Reading Phase = iota
	// Answering means that the header had arrived, but nothing of the body, or that
	// the request ran on trial.
	Answering
)

// String returns the name that is written to logs.
func (p Phase) String() string {
	if p == Answering {
		return "answering"
	}
	return "reading"
}

// Evidence tells what one request held when its upstream crashed.
type Evidence struct {
	// Crash identifies the crash. An upstream process crashes only once, so
	// instances that see the same crash name the same one.
	Crash uint64 `json:"crash"`
	// Upstream and Request are for logs. Request is empty in what peers send.
	Upstream string `json:"upstream,omitempty"`
	Request  string `json:"request,omitempty"`
	// Workspace is the hash of the name of the workspace.
	Workspace uint64 `json:"workspace"`
	// At is the time of the crash.
	At    kcclock.Millis `json:"at"`
	Phase Phase          `json:"phase"`
	// Parts holds the parts that may be at fault: all but the last one, which
	// belongs to the request or its session.
	Parts []Part `json:"parts"`
}

const (
	// clearedForMs is how long an answer keeps a part from being blamed for a
	// single crash.
	clearedForMs = 10 * kcclock.Second
	// blockAfter is the number of crashes in a row, with Answering evidence, after
	// which requests with a part are rejected, and after which an earlier answer no
	// longer counts.
	blockAfter = 3
	// commonShare is the share of the requests above which a part is never
	// blocked, but on trial all the time. Without it, one wrong block would reject
	// most of the traffic.
	commonShare = 0.5
	// minRequests is the number of requests from which the share of a part is
	// known, shareHalfLifeMs the time in which the weight of a request halves.
	minRequests     = 20
	shareHalfLifeMs = 5 * kcclock.Second
	// episodeMs is the time within which crashes count as one: machines that fail
	// together take down several upstreams, and whatever ran on them.
	episodeMs = 250 * kcclock.Millisecond
	// readingTrialMs is the wait for a trial per crash if only Reading evidence
	// speaks against a part. Answering evidence, which explains the crash, arrives
	// within that time.
	readingTrialMs = 100 * kcclock.Millisecond
	// firstTrialMs is the wait for a trial per crash otherwise.
	firstTrialMs = 500 * kcclock.Millisecond
	// firstBlockMs is the wait for a trial after blockAfter crashes. It doubles
	// with each further one up to maxBlockMs.
	firstBlockMs = 20 * kcclock.Second
	maxBlockMs   = 10 * kcclock.Minute
	// trialSpread is the share of a wait by which the waits of instances differ.
	trialSpread = 0.5
	// trialMs bounds a trial whose instance is gone.
	trialMs = 5 * kcclock.Second
	// forgetMs is how long the last crash of a part is remembered. It is longer
	// than maxBlockMs.
	forgetMs = 30 * kcclock.Minute
)

// Options configures a Tracker.
type Options struct {
	Clock kcclock.Clock
	// Instance is the name of this instance.
	Instance string
	// OnBlocked and OnCleared, if set, are called when a part becomes blocked by
	// evidence of this instance and when a blocked part is cleared by an answer
	// that this instance saw. They must not block or call the tracker.
	OnBlocked func(Block)
	OnCleared func(Part)
	// OnTrial, if set, is called when a trial starts, which the peers should learn
	// at once. The same holds for it.
	OnTrial func()
}

// crash is what is known about one crash of an upstream.
type crash struct {
	at kcclock.Millis
	// answering is true once a request is known that the upstream was about to
	// answer. It is then at fault, and the others are not.
	answering bool
	upstream  string
	// parts holds the blamed parts by the strongest evidence against them.
	parts map[Part]Phase
}

// partCrash is one crash of a part.
type partCrash struct {
	id        uint64
	at        kcclock.Millis
	workspace uint64
	request   string
}

// suspect is a part that was in a request when an upstream crashed.
type suspect struct {
	// crashes holds the newest crashes, in order of their times.
	crashes []partCrash
	// requests counts the requests with the part.
	requests decayingCount
	// trialBy is the instance that has a request with the part on trial until
	// trialUntil.
	trialBy    string
	trialUntil kcclock.Millis
}

// Tracker holds what one instance knows about crashing parts. Its methods may be
// called concurrently.
type Tracker struct {
	opts Options

	mu       sync.Mutex
	crashes  map[uint64]*crash
	suspects map[Part]*suspect
	answered answeredParts
	outbox   outbox
	// requests counts all requests while there are suspects.
	requests decayingCount
	synced   chan struct{}
	// changed is closed when a waiting request should ask again.
	changed chan struct{}
}

// New returns a tracker that blames no part.
func New(opts Options) *Tracker {
	return &Tracker{
		opts: opts, crashes: make(map[uint64]*crash), suspects: make(map[Part]*suspect), changed: make(chan struct{}),
		synced: make(chan struct{}),
	}
}

// SharedParts returns the hashes of the parts that a request may share with
// others. ids are the ids of all parts in order.
func SharedParts(ids []string) []Part {
	if len(ids) < 2 {
		return nil
	}
	out := make([]Part, 0, min(len(ids)-1, maxPartsPerRequest))
	for _, id := range ids[:min(len(ids)-1, maxPartsPerRequest)] {
		out = append(out, PartOf(id))
	}
	return out
}

// Proven reports whether all parts were answered lately, so that a crash of their
// request says nothing about them.
func (t *Tracker) Proven(parts []Part) bool {
	now := t.opts.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return !slices.ContainsFunc(parts, func(p Part) bool {
		at, ok := t.answered.get(p)
		return !ok || now-at > clearedForMs
	})
}

// Crashed records that an upstream crashed under a request of this instance. It
// ends the trial of the parts, if this instance has one.
func (t *Tracker) Crashed(e Evidence) {
	now := t.opts.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range e.Parts {
		t.endTrial(p)
	}
	if !t.merge(e) {
		return
	}
	t.outbox.addEvidence(e, now)
	for _, p := range e.Parts {
		if at, ok := t.answered.get(p); ok && e.At-at <= clearedForMs {
			t.outbox.addAnswer(p, at, now)
		}
		if t.opts.OnBlocked != nil && t.failures(p) >= blockAfter {
			t.opts.OnBlocked(t.block(p))
		}
	}
	t.notify()
}

// merge adds evidence and reports whether it is new.
func (t *Tracker) merge(e Evidence) bool {
	if len(e.Parts) == 0 {
		return false
	}
	c := t.crashes[e.Crash]
	if c == nil {
		t.evictCrashes()
		c = &crash{at: e.At, upstream: e.Upstream, parts: make(map[Part]Phase)}
		t.crashes[e.Crash] = c
	}
	isNew := false
	for _, p := range e.Parts[:min(len(e.Parts), maxPartsPerRequest)] {
		phase, known := c.parts[p]
		if known && phase >= e.Phase {
			continue
		}
		isNew = true
		c.parts[p] = e.Phase
		c.answering = c.answering || e.Phase == Answering
		if !known {
			t.addCrash(p, partCrash{id: e.Crash, at: c.at, workspace: e.Workspace, request: e.Request})
		}
	}
	return isNew
}

func (t *Tracker) addCrash(p Part, pc partCrash) {
	s := t.suspects[p]
	if s == nil {
		t.evictSuspects()
		s = &suspect{}
		t.suspects[p] = s
	}
	i, _ := slices.BinarySearchFunc(s.crashes, pc, func(a, b partCrash) int { return cmp.Compare(a.at, b.at) })
	s.crashes = slices.Insert(s.crashes, i, pc)
	if len(s.crashes) > maxCrashesPerPart {
		i := closestToPrevious(s.crashes)
		s.crashes = slices.Delete(s.crashes, i, i+1)
	}
}

// counted returns the crashes that count against a part: those after its last
// answer that no other request explains.
func (t *Tracker) counted(p Part) []partCrash {
	s := t.suspects[p]
	if s == nil {
		return nil
	}
	answeredAt, _ := t.answered.get(p)
	return slices.DeleteFunc(slices.Clone(s.crashes), func(pc partCrash) bool {
		c := t.crashes[pc.id]
		return pc.at <= answeredAt || c != nil && c.answering && c.parts[p] != Answering
	})
}

// episodes returns the number of crashes without those that came together.
func episodes(list []partCrash) int {
	n, last := 0, kcclock.Millis(0)
	for _, pc := range list {
		if n == 0 || pc.at-last > episodeMs {
			n++
			last = pc.at
		}
	}
	return n
}

// failures returns the number of crashes in a row that speak against a part, or 0
// if it is not suspected.
func (t *Tracker) failures(p Part) int {
	list := t.counted(p)
	if len(list) == 0 {
		return 0
	}
	n := t.provenEpisodes(p, list)
	answeredAt, wasAnswered := t.answered.get(p)
	if n < blockAfter && wasAnswered && list[0].at-answeredAt <= clearedForMs {
		return 0
	}
	if n >= blockAfter && !t.isCommon(p) {
		return n
	}
	return min(max(n, 1), blockAfter-1)
}

// provenEpisodes returns the number of crashes with Answering evidence against a
// part, without those that came together.
func (t *Tracker) provenEpisodes(p Part, list []partCrash) int {
	return episodes(slices.DeleteFunc(slices.Clone(list), func(pc partCrash) bool {
		c := t.crashes[pc.id]
		return c != nil && c.parts[p] != Answering
	}))
}

// isCommon reports whether most requests hold a part.
func (t *Tracker) isCommon(p Part) bool {
	now := t.opts.Clock.Now()
	total := t.requests.at(now)
	return total >= minRequests && t.suspects[p].requests.at(now) > commonShare*total
}

// Suspects returns the number of parts that crashes blame or have blamed.
func (t *Tracker) Suspects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}

// Answered records that an upstream has begun to answer a request with these
// parts.
func (t *Tracker) Answered(parts []Part) {
	now := t.opts.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		t.clear(p, now, true)
	}
}

// clear records that a part was answered at a time. own is true if this instance
// has seen the answer.
func (t *Tracker) clear(p Part, at kcclock.Millis, own bool) {
	if known, ok := t.answered.get(p); ok && known >= at {
		return
	}
	if t.suspects[p] == nil {
		t.answered.add(p, at)
		return
	}
	before := t.failures(p)
	t.answered.add(p, at)
	t.endTrial(p)
	if before == 0 {
		return
	}
	if own {
		t.outbox.addAnswer(p, at, t.opts.Clock.Now())
		if before >= blockAfter && t.opts.OnCleared != nil {
			t.opts.OnCleared(p)
		}
	}
	t.notify()
}

// Lift clears a part on the order of an operator or of the instance that has
// seen its answer.
func (t *Tracker) Lift(p Part) {
	now := t.opts.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects[p] != nil {
		t.clear(p, now, false)
	}
}

// notify wakes the requests that wait for a trial.
func (t *Tracker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// explainedElsewhere reports whether a blocked part that a request does not hold
// was in every crash that counts against p, so that p need not be at fault. more
// is true if that part has crashes besides those.
func (t *Tracker) explainedElsewhere(p Part, request kcset.Set[Part]) (explained, more bool) {
	own := t.counted(p)
	if len(own) == 0 {
		return false, false
	}
	c := t.crashes[own[len(own)-1].id]
	if c == nil {
		return false, false
	}
	for q := range c.parts {
		if request.Has(q) || q == p {
			continue
		}
		other := t.counted(q)
		if t.provenEpisodes(q, other) < blockAfter || !containsAll(other, own) {
			continue
		}
		explained, more = true, more || len(other) > len(own)
	}
	return explained, more
}

func containsAll(list, subset []partCrash) bool {
	for _, want := range subset {
		if !slices.ContainsFunc(list, func(pc partCrash) bool { return pc.id == want.id }) {
			return false
		}
	}
	return true
}
