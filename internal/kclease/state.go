package kclease

import (
	"encoding/json"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Grant is a lease as recorded in the log. All its times are log times.
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
	// RollingBack is true once the plan has been switched to rollback.
	RollingBack bool `json:"undo,omitempty"`
	// StepDone has one element per step. Rollback resets all of them.
	StepDone []bool `json:"done"`
}

// ResourceState is the state of one resource.
type ResourceState struct {
	// CurrentLease is the newest lease, which may have ended.
	CurrentLease Grant `json:"current"`
	// PreviousLeaseEnd is the end of the lease before CurrentLease, or 0 if there
	// was none.
	PreviousLeaseEnd kcclock.Millis `json:"previousEnd"`
	// ActivePlan is nil if the resource has no unfinished plan.
	ActivePlan *PlanState `json:"plan,omitempty"`
}

// StreamState is the state derived from the records of the stream, applied in
// log order. It holds one lease and at most one plan per resource. It is not
// safe for concurrent use.
type StreamState struct {
	resources map[string]*ResourceState
	// seenRecords maps the ids of applied lease and plan records to the log time
	// until which a duplicate must be ignored.
	seenRecords map[string]kcclock.Millis
	nextOffset  int64
	logNow      kcclock.Millis
	// historyComplete is false while the records before firstKnownOffset are
	// unknown. Later records are then held in bufferedRecords until a snapshot
	// covers firstKnownOffset.
	historyComplete  bool
	firstKnownOffset int64
	bufferedRecords  []kclog.Record
	lastSnapshotAt   kcclock.Millis
}

// maxBufferedRecords bounds the records held until a snapshot arrives.
const maxBufferedRecords = 100_000

// NewStreamState returns the empty state of a stream that starts at offset 0.
func NewStreamState() *StreamState {
	b := &StreamState{historyComplete: true}
	b.restore(Snapshot{})
	return b
}

func (b *StreamState) restore(s Snapshot) {
	b.resources, b.seenRecords = s.Resources, s.SeenRecords
	if b.resources == nil {
		b.resources = make(map[string]*ResourceState)
	}
	if b.seenRecords == nil {
		b.seenRecords = make(map[string]kcclock.Millis)
	}
	b.nextOffset = s.EndOffset
}

// HandleGap discards the state after records up to offset to were trimmed
// before they were read. The state is complete again after the next snapshot
// that covers the trimmed records.
func (b *StreamState) HandleGap(_, to int64) {
	b.restore(Snapshot{})
	b.historyComplete, b.firstKnownOffset, b.bufferedRecords = false, to, nil
}

// HandlePage advances the log time to that of the page.
func (b *StreamState) HandlePage(p kclog.Page) { b.logNow = max(b.logNow, p.Now) }

// Fold applies one record. While the history is incomplete, it buffers records
// other than snapshots.
func (b *StreamState) Fold(r kclog.Record) {
	b.logNow = max(b.logNow, r.AppendedAt)
	if r.Kind == KindSnapshot {
		b.foldSnapshot(r)
		return
	}
	if !b.historyComplete {
		if len(b.bufferedRecords) < maxBufferedRecords {
			b.bufferedRecords = append(b.bufferedRecords, r)
		}
		return
	}
	b.applyRecord(r)
}

func (b *StreamState) foldSnapshot(r kclog.Record) {
	b.lastSnapshotAt = r.AppendedAt
	var s Snapshot
	if b.historyComplete {
		b.nextOffset = r.Offset + 1
		return
	}
	if json.Unmarshal(r.Body, &s) != nil || s.EndOffset < b.firstKnownOffset || len(b.bufferedRecords) >= maxBufferedRecords {
		return
	}
	b.restore(s)
	b.historyComplete = true
	for _, later := range b.bufferedRecords {
		if later.Offset >= s.EndOffset {
			b.applyRecord(later)
		}
	}
	b.bufferedRecords = nil
	b.nextOffset = r.Offset + 1
}

// Snapshot returns the current state. It shares its maps with s.
func (b *StreamState) Snapshot() Snapshot {
	return Snapshot{EndOffset: b.nextOffset, Resources: b.resources, SeenRecords: b.seenRecords}
}

func (b *StreamState) applyRecord(r kclog.Record) {
	b.nextOffset = r.Offset + 1
	switch r.Kind {
	case KindLease:
		decodeAndFold(r, b.foldLease)
	case KindRenew:
		decodeAndFold(r, func(r kclog.Record, n LeaseUpdate) {
			if g := b.leaseInForce(n.Resource, n.Fence, r.AppendedAt); g != nil {
				g.End = max(g.End, r.AppendedAt+n.DurationMs)
			}
		})
	case KindRelease:
		decodeAndFold(r, func(r kclog.Record, n LeaseUpdate) {
			if g := b.leaseInForce(n.Resource, n.Fence, r.AppendedAt); g != nil {
				g.End = r.AppendedAt
			}
		})
	case KindPlan:
		decodeAndFold(r, b.foldPlan)
	case KindProgress:
		decodeAndFold(r, b.foldProgress)
	}
}

// decodeAndFold decodes the body of r and passes it to f. A body that cannot be
// decoded has no effect.
func decodeAndFold[T any](r kclog.Record, f func(kclog.Record, T)) {
	var body T
	if json.Unmarshal(r.Body, &body) == nil {
		f(r, body)
	}
}

func (b *StreamState) foldLease(r kclog.Record, request LeaseRequest) {
	for id, deadline := range b.seenRecords {
		if deadline < r.AppendedAt {
			delete(b.seenRecords, id)
		}
	}
	if _, seen := b.seenRecords[r.ID]; seen || r.AppendedAt > request.Deadline {
		return
	}
	b.seenRecords[r.ID] = request.Deadline
	s, known := b.resources[request.Resource]
	if !known {
		s = &ResourceState{}
		b.resources[request.Resource] = s
	}
	if s.CurrentLease.End > r.AppendedAt {
		return
	}
	s.PreviousLeaseEnd = s.CurrentLease.End
	s.CurrentLease = Grant{
		ID: r.ID, Holder: request.Holder, Fence: r.Offset, Start: r.AppendedAt, End: r.AppendedAt + request.DurationMs,
	}
}

// leaseInForce returns the current lease of the resource if it has the fencing
// token fence and had not ended at the log time at. Otherwise it returns nil.
func (b *StreamState) leaseInForce(resource string, fence int64, at kcclock.Millis) *Grant {
	s, known := b.resources[resource]
	if !known || s.CurrentLease.Fence != fence || s.CurrentLease.End <= at {
		return nil
	}
	return &s.CurrentLease
}

func (b *StreamState) foldPlan(r kclog.Record, p Plan) {
	if b.leaseInForce(p.Resource, p.Fence, r.AppendedAt) == nil || b.resources[p.Resource].ActivePlan != nil {
		return
	}
	if _, seen := b.seenRecords[r.ID]; seen {
		return
	}
	// A duplicate of the plan record takes effect only under the same lease, so
	// its id is kept until an hour after the end of that lease.
	b.seenRecords[r.ID] = b.resources[p.Resource].CurrentLease.End + kcclock.Hour
	b.resources[p.Resource].ActivePlan = &PlanState{Plan: p, StepDone: make([]bool, len(p.Steps))}
}

func (b *StreamState) foldProgress(r kclog.Record, p PlanProgress) {
	if b.leaseInForce(p.Resource, p.Fence, r.AppendedAt) == nil {
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
