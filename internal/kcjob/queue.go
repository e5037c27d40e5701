package kcjob

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const (
	maxRecordsPerRead = 1000
	// appendRetryMs is the interval between attempts to append a job record.
	appendRetryMs = 200 * kcclock.Millisecond
	// submitTimeoutMs bounds how long a caller waits until its job is in the log:
	// twice the time of one append.
	submitTimeoutMs = 10 * kcclock.Second
	// idleShardMs is the idle time after which the state of a shard owned by
	// another instance is dropped. It is read again when a caller asks for a job.
	idleShardMs = 5 * kcclock.Minute
)

// Executor runs the request of a job through the same pipeline as direct
// requests.
type Executor interface {
	// Execute runs the request. Outcome.Error is nil if there is a complete
	// answer.
	Execute(ctx context.Context, j Job) Outcome
}

// Outcome is the result of one execution.
type Outcome struct {
	Answer    *kcapi.JobAnswer
	Execution kcapi.Execution
	Error     *kcapi.Error
}

// Ledger writes the bills of ended jobs to the log.
type Ledger interface {
	Full() bool
	AddClosed(b kcbill.Bill)
	// Has reports whether a bill is pending in the ledger and not in the log yet.
	Has(requestID string) bool
}

// Options configures a Queue.
type Options struct {
	Instance string
	// Process is a unique id of this process; it changes with every restart of the
	// instance.
	Process string
	Log     kclog.Log
	Clock   kcclock.Clock
	Shards  int
	Ledger  Ledger
	// Executor may be set after NewQueue and before Run.
	Executor Executor
	// LiveInstanceIDs returns the ids of this instance and its live peers, the
	// members for rendezvous hashing.
	LiveInstanceIDs func() []string
	// ListedInstanceIDs returns the ids of all entry instances on the instance
	// list.
	ListedInstanceIDs func() []string
	// MaxRunning bounds the jobs that this instance runs concurrently.
	MaxRunning int
	// MaxQueued bounds the jobs of one shard that have not ended.
	MaxQueued int
	// ResultRetentionMs is how long results are kept.
	ResultRetentionMs kcclock.Millis
	// AttemptTimeoutMs bounds one attempt. A job that has been running for longer,
	// plus RunnerGoneMs, is presumed lost.
	AttemptTimeoutMs kcclock.Millis
	// RunnerGoneMs is how long a runner must be missing from the instance list
	// before its jobs are started again.
	RunnerGoneMs kcclock.Millis
	// ReconcileIntervalMs is the interval between calls of Reconcile.
	ReconcileIntervalMs kcclock.Millis
}

// Queue accepts jobs, reports their state and runs those of the shards that
// this instance owns.
type Queue struct {
	opts   Options
	shards []*shard
	// goAttempt starts an attempt in its own goroutine. Tests replace it.
	goAttempt func(func())

	// reconcileMu serializes calls of Reconcile.
	reconcileMu sync.Mutex

	mu       sync.Mutex
	stopping bool
	attempts map[string]*attempt
	// billsInLedger holds the ids of jobs whose bill was passed to the ledger.
	billsInLedger kcset.Set[string]
	// unlistedSince maps runners to the time at which they were first missing from
	// the instance list.
	unlistedSince map[string]kcclock.Millis
	// attemptEnded signals that an attempt has ended.
	attemptEnded chan struct{}
}

type shard struct {
	mu         sync.Mutex
	stream     string
	nextOffset int64
	state      *ShardState
	// logNow is the log time of the last read.
	logNow kcclock.Millis
	usedAt kcclock.Millis
	// staleRequeued is true once no attempt of an earlier process of this instance
	// is recorded as running.
	staleRequeued bool
}

// NewQueue returns a Queue that has not read the log yet.
func NewQueue(opts Options) *Queue {
	q := &Queue{
		opts: opts, goAttempt: func(f func()) { go f() }, attempts: make(map[string]*attempt),
		billsInLedger: kcset.New[string](), unlistedSince: make(map[string]kcclock.Millis), attemptEnded: make(chan struct{}, 1),
	}
	for i := range opts.Shards {
		q.shards = append(q.shards, &shard{stream: Stream(i), state: NewShardState(opts.ResultRetentionMs)})
	}
	return q
}

// SetExecutor sets the executor. It must be called before Run.
func (q *Queue) SetExecutor(e Executor) { q.opts.Executor = e }

func (q *Queue) shardOf(id string) *shard { return q.shards[shardIndex(id, len(q.shards))] }

// Submit accepts a job once its record is in the log and returns its status. If
// keyed is true, the id is derived from an idempotency key and may belong to an
// earlier job, whose status is then returned. If the log becomes unavailable
// after the response to an append was lost, the job may still be accepted
// later, and the error says so.
func (q *Queue) Submit(ctx context.Context, j Job, keyed bool) (kcapi.JobStatus, *kcapi.Error) {
	s := q.shardOf(j.ID)
	if keyed {
		if err := s.catchUp(ctx, q.opts); err != nil {
			return kcapi.JobStatus{}, storeUnavailable(kcapi.NotRun, err)
		}
		if s.hasJob(j.ID) {
			return q.existingStatus(s, j)
		}
	}
	if err := q.checkAdmission(s); err != nil {
		return kcapi.JobStatus{}, err
	}
	ctx, cancel := kcclock.WithTimeout(ctx, q.opts.Clock, submitTimeoutMs)
	defer cancel()
	rec := kclog.Encode(KindJob+"-"+j.RequestID, KindJob, j)
	execution := kcapi.NotRun
	for {
		_, err := q.opts.Log.Append(ctx, s.stream, []kclog.NewRecord{rec})
		if err == nil {
			break
		}
		if errors.Is(err, kclog.ErrAnswerLost) {
			// The job may be accepted from now on, so reporting notRun could be wrong.
			execution = kcapi.Unknown
		}
		if execution == kcapi.NotRun || !q.waitAppendRetry(ctx) {
			return kcapi.JobStatus{}, storeUnavailable(execution, err)
		}
	}
	if !keyed {
		s.mu.Lock()
		defer s.mu.Unlock()
		return q.jobStatus(&Entry{Job: j}, s), nil
	}
	if err := s.catchUp(ctx, q.opts); err != nil {
		return kcapi.JobStatus{}, storeUnavailable(kcapi.Unknown, err)
	}
	return q.existingStatus(s, j)
}

// existingStatus returns the status of the job with this id. It rejects j if
// the recorded job has another body.
func (q *Queue) existingStatus(s *shard, j Job) (kcapi.JobStatus, *kcapi.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.state.Lookup(j.ID)
	if e == nil {
		return kcapi.JobStatus{}, storeUnavailable(kcapi.Unknown, kclog.ErrAnswerLost)
	}
	if e.Job.Fingerprint != j.Fingerprint {
		return kcapi.JobStatus{}, kcapi.NewError(http.StatusUnprocessableEntity, kcapi.CodeIdempotencyKeyReused,
			kcapi.NotRun, "the idempotency key was used for a job with another body")
	}
	return q.jobStatus(e, s), nil
}

func (q *Queue) checkAdmission(s *shard) *kcapi.Error {
	q.mu.Lock()
	stopping := q.stopping
	q.mu.Unlock()
	s.mu.Lock()
	unfinished := s.state.unfinishedCount()
	s.mu.Unlock()
	switch {
	case stopping:
		return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeStopping, kcapi.NotRun,
			"this instance is stopping").WithRetryAfter(kcclock.Second)
	case q.opts.Ledger.Full():
		return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeBillBacklog, kcapi.NotRun,
			"too many bills wait for the log").WithRetryAfter(kcclock.Second)
	case unfinished >= q.opts.MaxQueued:
		return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeOverloaded, kcapi.NotRun,
			"too many jobs wait").WithRetryAfter(kcclock.Minute)
	}
	return nil
}

// Status returns the status of a job to the workspace that submitted it.
func (q *Queue) Status(ctx context.Context, workspace, id string) (kcapi.JobStatus, *kcapi.Error) {
	s := q.shardOf(id)
	err := s.catchUp(ctx, q.opts)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.state.Lookup(id)
	switch {
	case e != nil && e.Job.Workspace == workspace && (err == nil || e.End != nil):
		return q.jobStatus(e, s), nil
	case err != nil:
		return kcapi.JobStatus{}, storeUnavailable(kcapi.Unknown, err)
	default:
		return kcapi.JobStatus{}, kcapi.NewError(http.StatusNotFound, kcapi.CodeNotFound, kcapi.NotRun,
			"no job "+id+"; results are kept for a limited time")
	}
}

// jobStatus returns the status of e. The mutex of s must be held, because e may
// be part of its state.
func (q *Queue) jobStatus(e *Entry, s *shard) kcapi.JobStatus {
	st := kcapi.JobStatus{
		ID: e.Job.ID, State: e.State(), RequestID: e.Job.RequestID, DeadlineMs: e.Job.Deadline, Price: e.Job.Price,
		LateExpected: s.state.expectedLate(e, q.opts.Clock.Now(), q.opts.MaxRunning),
	}
	if e.End != nil {
		st.Answer, st.Error = e.End.Answer, e.End.Error
	}
	return st
}

func (s *shard) hasJob(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Lookup(id) != nil
}

// catchUp applies every record that was in the log when the call began.
func (s *shard) catchUp(ctx context.Context, opts Options) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedAt = opts.Clock.Now()
	for {
		page, err := opts.Log.Read(ctx, s.stream, s.nextOffset, maxRecordsPerRead, 0)
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			s.state.Fold(r)
			s.nextOffset = r.Offset + 1
		}
		s.logNow = page.Now
		if s.nextOffset >= page.EndOffset || len(page.Records) == 0 {
			s.state.prune(s.logNow)
			return nil
		}
	}
}

// dropIfIdle drops the state of the shard if it has not been used for
// idleShardMs.
func (s *shard) dropIfIdle(opts Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextOffset > 0 && opts.Clock.Now() > s.usedAt+idleShardMs {
		s.nextOffset, s.state = 0, NewShardState(opts.ResultRetentionMs)
	}
}

// ForEachEnded calls f for each ended job of a stream, with the log time of its
// end.
func ForEachEnded(ctx context.Context, log kclog.Log, stream string, f func(Job, End, kcclock.Millis)) error {
	state := NewShardState(0)
	if _, err := kcbill.ReadStream(ctx, log, stream, state.Fold); err != nil {
		return err
	}
	for _, e := range state.entries {
		if e.End != nil {
			f(e.Job, *e.End, e.EndedAt)
		}
	}
	return nil
}

func (q *Queue) waitAppendRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-q.opts.Clock.After(appendRetryMs):
		return true
	}
}

func storeUnavailable(execution kcapi.Execution, err error) *kcapi.Error {
	return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeStoreUnavailable, execution,
		"the log cannot be reached: "+err.Error()).WithRetryAfter(kcclock.Second)
}
