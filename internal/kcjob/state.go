package kcjob

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Entry is the state of one job.
type Entry struct {
	Job Job
	// Start is the newest attempt; its Attempt is 0 before the first one.
	Start     Start
	StartedAt kcclock.Millis
	// EarlierMayHaveRun is true if an attempt before the newest one may have run.
	// MayHaveRun is true if any attempt may have run.
	EarlierMayHaveRun bool
	MayHaveRun        bool
	// Requeued is true if the newest attempt ended because its instance was shut
	// down or restarted.
	Requeued bool
	// End is nil until the job has ended.
	End     *End
	EndedAt kcclock.Millis
	// Billed is true once the bill is in the log.
	Billed bool
}

// Startable reports whether the job has no running attempt and can be started
// now.
func (e *Entry) Startable() bool { return e.End == nil && (e.Start.Attempt == 0 || e.Requeued) }

// State returns the job state that the API reports.
func (e *Entry) State() kcapi.JobState {
	switch {
	case e.End != nil:
		return e.End.State
	case e.Startable():
		return kcapi.JobQueued
	default:
		return kcapi.JobRunning
	}
}

// newestRunWeight is the weight of the newest duration in the exponentially
// weighted moving average.
const newestRunWeight = 0.2

// ShardState is the state derived from the records of one shard, applied in log
// order. It is not safe for concurrent use.
type ShardState struct {
	entries map[string]*Entry
	// resultRetentionMs is how long an ended job is kept.
	resultRetentionMs kcclock.Millis
	// meanRunMs is the moving average of the durations of done jobs, or 0 if there
	// is none yet.
	meanRunMs float64
}

// NewShardState returns an empty state that keeps ended jobs for
// resultRetentionMs.
func NewShardState(resultMs kcclock.Millis) *ShardState {
	return &ShardState{entries: make(map[string]*Entry), resultRetentionMs: resultMs}
}

// Lookup returns the state of a job, or nil if the job is unknown.
func (b *ShardState) Lookup(id string) *Entry { return b.entries[id] }

// Fold applies one record. Records of unknown kinds or with undecodable bodies
// have no effect, so all readers derive the same state.
func (b *ShardState) Fold(r kclog.Record) {
	switch r.Kind {
	case KindJob:
		decodeAndFold(r, func(j Job) {
			if b.entries[j.ID] == nil && j.ID != "" {
				b.entries[j.ID] = &Entry{Job: j}
			}
		})
	case KindStart:
		decodeAndFold(r, func(s Start) { b.foldStart(s, r.AppendedAt) })
	case KindRequeue:
		decodeAndFold(r, func(g Requeue) {
			e := b.entries[g.ID]
			if e != nil && e.Start.Attempt == g.Attempt && e.Start.Process == g.Process {
				e.Requeued = true
				if g.NotRun {
					e.MayHaveRun = e.EarlierMayHaveRun
				}
			}
		})
	case KindEnd:
		decodeAndFold(r, func(end End) { b.foldEnd(end, r.AppendedAt) })
	case KindBilled:
		decodeAndFold(r, func(billed Billed) {
			for _, id := range billed.IDs {
				if e := b.entries[id]; e != nil && e.End != nil {
					e.Billed = true
				}
			}
		})
	}
}

func decodeAndFold[T any](r kclog.Record, apply func(T)) {
	var body T
	if json.Unmarshal(r.Body, &body) == nil {
		apply(body)
	}
}

func (b *ShardState) foldStart(s Start, at kcclock.Millis) {
	e := b.entries[s.ID]
	if e == nil || e.End != nil || s.Attempt != e.Start.Attempt+1 {
		return
	}
	e.Start, e.StartedAt, e.Requeued = s, at, false
	e.EarlierMayHaveRun, e.MayHaveRun = e.MayHaveRun, true
}

// foldEnd records the end of a job. The first end of the newest attempt counts,
// so an end without a run has no effect once the job was started. A complete
// answer of an earlier attempt whose runner was presumed lost counts as well.
func (b *ShardState) foldEnd(end End, at kcclock.Millis) {
	e := b.entries[end.ID]
	if e == nil || e.End != nil {
		return
	}
	late := end.State == kcapi.JobDone && end.Attempt > 0 && end.Attempt < e.Start.Attempt
	if end.Attempt != e.Start.Attempt && !late {
		return
	}
	if end.State == kcapi.JobDone {
		d := max(float64(at-e.StartedAt), 1)
		if b.meanRunMs == 0 {
			b.meanRunMs = d
		}
		b.meanRunMs += (d - b.meanRunMs) * newestRunWeight
	}
	e.End, e.EndedAt = &end, at
	e.Job.Body = nil
}

// prune removes billed jobs whose results have expired. now is the log time.
func (b *ShardState) prune(now kcclock.Millis) {
	for id, e := range b.entries {
		if e.Billed && e.EndedAt+b.resultRetentionMs < now {
			delete(b.entries, id)
		}
	}
}

// unbilled returns the jobs that are not billed yet, sorted by deadline.
func (b *ShardState) unbilled() []*Entry {
	var out []*Entry
	for _, e := range b.entries {
		if !e.Billed {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(x, y *Entry) int {
		return cmp.Or(cmp.Compare(x.Job.Deadline, y.Job.Deadline), cmp.Compare(x.Job.ID, y.Job.ID))
	})
	return out
}

// unfinishedCount returns the number of jobs that have not ended.
func (b *ShardState) unfinishedCount() int {
	n := 0
	for _, e := range b.entries {
		if e.End == nil {
			n++
		}
	}
	return n
}

// expectedLate reports whether a job is expected to miss its deadline. It
// assumes that jobs run in the order of their deadlines, parallel at a time,
// for the mean duration each.
func (b *ShardState) expectedLate(e *Entry, now kcclock.Millis, parallel int) bool {
	if e.End != nil {
		return false
	}
	if !e.Startable() {
		return max(e.StartedAt+kcclock.Millis(b.meanRunMs), now) > e.Job.Deadline
	}
	ahead := 0
	for _, o := range b.entries {
		if o != e && o.Startable() && o.Job.Deadline <= e.Job.Deadline {
			ahead++
		}
	}
	rounds := float64(ahead/parallel + 1)
	return now+kcclock.Millis(rounds*b.meanRunMs) > e.Job.Deadline
}
