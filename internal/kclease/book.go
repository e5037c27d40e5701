package kclease

import (
	"encoding/json"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Grant is a lease as the log shows it. Times are those of the log.
type Grant struct {
	// ID is the id of the lease record.
	ID     string         `json:"id"`
	Holder string         `json:"holder"`
	Fence  int64          `json:"fence"`
	Start  kcclock.Millis `json:"start"`
	End    kcclock.Millis `json:"end"`
}

// PlanState is an unfinished plan and its progress.
type PlanState struct {
	Plan Plan `json:"plan"`
	// Undo is true after the plan was turned around.
	RollingBack bool `json:"undo,omitempty"`
	// Done has an element for each step.
	StepDone []bool `json:"done"`
}

// ResourceState is the state of one resource.
type ResourceState struct {
	// Current is the newest lease, which may have ended.
	CurrentLease Grant `json:"current"`
	// PreviousLeaseEnd is the end of the lease before it; 0 if there was none.
	PreviousLeaseEnd kcclock.Millis `json:"previousEnd"`
	// Plan is nil if no plan is unfinished.
	ActivePlan *PlanState `json:"plan,omitempty"`
}

// StreamState folds the stream. It is not safe for concurrent use. It holds one
// lease and at most one plan per resource.
type StreamState struct {
	resources map[string]*ResourceState
	// seen holds the ids of lease records with their deadlines, so that a
	// duplicate has no effect.
	seen map[string]kcclock.Millis
	next int64
	now  kcclock.Millis
	// complete is false while records before start are unknown; later records
	// wait in buffered for a snapshot that covers start.
	complete bool
	start    int64
	buffered []kclog.Record
	snapped  kcclock.Millis
}

// maxBuffered bounds the records that wait for a snapshot.
const maxBuffered = 100_000

// NewStreamState returns an empty book of a stream that starts at offset 0.
func NewStreamState() *StreamState {
	b := &StreamState{complete: true}
	b.load(Snapshot{})
	return b
}

func (b *StreamState) load(s Snapshot) {
	b.resources, b.seen = s.Resources, s.SeenRecords
	if b.resources == nil {
		b.resources = make(map[string]*ResourceState)
	}
	if b.seen == nil {
		b.seen = make(map[string]kcclock.Millis)
	}
	b.next = s.EndOffset
}

// HandleGap forgets everything. The book is complete again after the next snapshot
// that covers what was trimmed.
func (b *StreamState) HandleGap(_, to int64) {
	b.load(Snapshot{})
	b.complete, b.start, b.buffered = false, to, nil
}

// HandlePage takes over the time of the log.
func (b *StreamState) HandlePage(p kclog.Page) { b.now = max(b.now, p.Now) }

// Fold applies one record.
func (b *StreamState) Fold(r kclog.Record) {
	b.now = max(b.now, r.AppendedAt)
	if r.Kind == KindSnapshot {
		b.foldSnapshot(r)
		return
	}
	if !b.complete {
		if len(b.buffered) < maxBuffered {
			b.buffered = append(b.buffered, r)
		}
		return
	}
	b.apply(r)
}

func (b *StreamState) foldSnapshot(r kclog.Record) {
	b.snapped = r.AppendedAt
	var s Snapshot
	if b.complete {
		b.next = r.Offset + 1
		return
	}
	if json.Unmarshal(r.Body, &s) != nil || s.EndOffset < b.start || len(b.buffered) >= maxBuffered {
		return
	}
	b.load(s)
	b.complete = true
	for _, later := range b.buffered {
		if later.Offset >= s.EndOffset {
			b.apply(later)
		}
	}
	b.buffered = nil
	b.next = r.Offset + 1
}

// Snapshot returns the fold so far.
func (b *StreamState) Snapshot() Snapshot {
	return Snapshot{EndOffset: b.next, Resources: b.resources, SeenRecords: b.seen}
}

func (b *StreamState) apply(r kclog.Record) {
	b.next = r.Offset + 1
	switch r.Kind {
	case KindLease:
		fold(r, b.foldLease)
	case KindRenew:
		fold(r, func(r kclog.Record, n LeaseUpdate) {
			if g := b.heldBy(n.Resource, n.Fence, r.AppendedAt); g != nil {
				g.End = max(g.End, r.AppendedAt+n.DurationMs)
			}
		})
	case KindRelease:
		fold(r, func(r kclog.Record, n LeaseUpdate) {
			if g := b.heldBy(n.Resource, n.Fence, r.AppendedAt); g != nil {
				g.End = r.AppendedAt
			}
		})
	case KindPlan:
		fold(r, b.foldPlan)
	case KindProgress:
		fold(r, b.foldProgress)
	}
}

// fold decodes the body of r. A body that cannot be decoded has no effect.
func fold[T any](r kclog.Record, f func(kclog.Record, T)) {
	var body T
	if json.Unmarshal(r.Body, &body) == nil {
		f(r, body)
	}
}

func (b *StreamState) foldLease(r kclog.Record, q LeaseRequest) {
	for id, deadline := range b.seen {
		if deadline < r.AppendedAt {
			delete(b.seen, id)
		}
	}
	if _, seen := b.seen[r.ID]; seen || r.AppendedAt > q.Deadline {
		return
	}
	b.seen[r.ID] = q.Deadline
	s, known := b.resources[q.Resource]
	if !known {
		s = &ResourceState{}
		b.resources[q.Resource] = s
	}
	if s.CurrentLease.End > r.AppendedAt {
		return
	}
	s.PreviousLeaseEnd = s.CurrentLease.End
	s.CurrentLease = Grant{
		ID: r.ID, Holder: q.Holder, Fence: r.Offset, Start: r.AppendedAt, End: r.AppendedAt + q.DurationMs,
	}
}

// heldBy returns the lease of the resource if it has the fencing number and
// had not ended at the given time.
func (b *StreamState) heldBy(resource string, fence int64, at kcclock.Millis) *Grant {
	s, known := b.resources[resource]
	if !known || s.CurrentLease.Fence != fence || s.CurrentLease.End <= at {
		return nil
	}
	return &s.CurrentLease
}

func (b *StreamState) foldPlan(r kclog.Record, p Plan) {
	if b.heldBy(p.Resource, p.Fence, r.AppendedAt) == nil || b.resources[p.Resource].ActivePlan != nil {
		return
	}
	if _, seen := b.seen[r.ID]; seen {
		return
	}
	// A duplicate of the record can only count under the same lease.
	b.seen[r.ID] = b.resources[p.Resource].CurrentLease.End + kcclock.Hour
	b.resources[p.Resource].ActivePlan = &PlanState{Plan: p, StepDone: make([]bool, len(p.Steps))}
}

func (b *StreamState) foldProgress(r kclog.Record, p PlanProgress) {
	if b.heldBy(p.Resource, p.Fence, r.AppendedAt) == nil {
		return
	}
	s := b.resources[p.Resource]
	if s.ActivePlan == nil || s.ActivePlan.Plan.ID != p.Plan {
		return
	}
	switch p.Event {
	case EventStep:
		if p.Step >= 0 && p.Step < len(s.ActivePlan.StepDone) {
			s.ActivePlan.StepDone[p.Step] = true
		}
	case EventRollback:
		if !s.ActivePlan.RollingBack {
			s.ActivePlan.RollingBack, s.ActivePlan.StepDone = true, make([]bool, len(s.ActivePlan.StepDone))
		}
	case EventEnd:
		s.ActivePlan = nil
	}
}
