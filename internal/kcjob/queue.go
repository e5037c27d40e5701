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
	recordsPerRead = 1000
	// appendRetryMs is the time between two tries to append.
	appendRetryMs = 200 * kcclock.Millisecond
	// submitTimeoutMs bounds the wait of a caller until its job is in the log: twice the
	// time of one append.
	submitTimeoutMs = 10 * kcclock.Second
	// idleShardMs is the time after which the fold of a shard that others own is
	// dropped; it is read again when a caller asks.
	idleShardMs = 5 * kcclock.Minute
)

// Executor runs the request of a job through the pipeline of direct requests.
type Executor interface {
	// Execute runs the request. Error is nil if there is a whole answer.
	Execute(ctx context.Context, j Job) Outcome
}

// Outcome is the result of one run.
type Outcome struct {
	Answer    *kcapi.JobAnswer
	Execution kcapi.Execution
	Error     *kcapi.Error
}

// Ledger writes the bills of ended jobs.
type Ledger interface {
	Full() bool
	AddClosed(b kcbill.Bill)
	// Has reports whether a bill still waits for the log.
	Has(requestID string) bool
}

// Options configures a Queue.
type Options struct {
	Instance string
	// Process is unique per start of the instance.
	Process string
	Log     kclog.Log
	Clock   kcclock.Clock
	Shards  int
	Ledger  Ledger
	// Executor may be set after NewQueue and before Run.
	Executor Executor
	// Live returns the ids of this instance and its live peers, the members of
	// the rendezvous hash.
	LiveInstanceIDs func() []string
	// Listed returns the ids of all entry instances on the list.
	ListedInstanceIDs func() []string
	// MaxRunning bounds the jobs that this instance runs at a time.
	MaxRunning int
	// MaxQueued bounds the jobs of one shard that have not ended.
	MaxQueued int
	// ResultRetentionMs is the time for which results are kept.
	ResultRetentionMs kcclock.Millis
	// AttemptTimeoutMs bounds one attempt. A job that has been running for longer is
	// taken for lost.
	AttemptTimeoutMs kcclock.Millis
	// RunnerGoneMs is how long a runner must be off the list before its jobs are
	// started again.
	RunnerGoneMs kcclock.Millis
	// ReconcileIntervalMs is the time between two steps.
	ReconcileIntervalMs kcclock.Millis
}

// Queue accepts jobs, answers for their state, and runs those of the shards
// that this instance owns.
type Queue struct {
	opts   Options
	shards []*shard
	// spawn runs an attempt; tests replace it.
	goAttempt func(func())

	// reconcileMu is held during a step.
	reconcileMu sync.Mutex

	mu       sync.Mutex
	stopping bool
	attempts map[string]*attempt
	// billing has the ids of jobs whose bill was given to the ledger.
	billsInLedger kcset.Set[string]
	// unlistedSince has the time at which a runner was first missing on the list.
	unlistedSince map[string]kcclock.Millis
	// finished has a token when an attempt has ended.
	attemptEnded chan struct{}
}

type shard struct {
	mu         sync.Mutex
	stream     string
	nextOffset int64
	state      *ShardState
	// now is the time of the log service at the last read.
	logNow kcclock.Millis
	usedAt kcclock.Millis
	// adopted is true once no attempt of an earlier process of this instance
	// runs any more.
	staleRequeued bool
}

// NewQueue returns a queue that has read nothing yet.
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

// SetExecutor sets the executor before Run.
func (q *Queue) SetExecutor(e Executor) { q.opts.Executor = e }

func (q *Queue) shardOf(id string) *shard { return q.shards[shardIndex(id, len(q.shards))] }

// Submit accepts a job once its record is in the log and returns its status.
// If keyed is true, the id follows from an idempotency key and may be that of
// an earlier job, which is then returned. If the log goes down after an answer
// was lost, the job may be accepted later, and the error says so.
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
			// The job may be accepted from now on, so that notRun could be wrong.
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

// same returns the job that holds the id, which must have the same body.
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
	queued := s.state.unfinishedCount()
	s.mu.Unlock()
	switch {
	case stopping:
		return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeStopping, kcapi.NotRun,
			"this instance is stopping").WithRetryAfter(kcclock.Second)
	case q.opts.Ledger.Full():
		return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeBillBacklog, kcapi.NotRun,
			"too many bills wait for the log").WithRetryAfter(kcclock.Second)
	case queued >= q.opts.MaxQueued:
		return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeOverloaded, kcapi.NotRun,
			"too many jobs wait").WithRetryAfter(kcclock.Minute)
	}
	return nil
}

// Status returns the state of a job to the workspace that sent it.
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

// status describes e; the lock of its shard is held if e is in its book.
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

// catchUp folds every record that was in the log when the call began.
func (s *shard) catchUp(ctx context.Context, opts Options) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedAt = opts.Clock.Now()
	for {
		page, err := opts.Log.Read(ctx, s.stream, s.nextOffset, recordsPerRead, 0)
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

// forget drops the fold if nobody has used it for a while.
func (s *shard) dropIfIdle(opts Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextOffset > 0 && opts.Clock.Now() > s.usedAt+idleShardMs {
		s.nextOffset, s.state = 0, NewShardState(opts.ResultRetentionMs)
	}
}

// ForEachEnded calls f for each job in a stream that has ended, with the time of its
// end.
func ForEachEnded(ctx context.Context, log kclog.Log, stream string, f func(Job, End, kcclock.Millis)) error {
	book := NewShardState(0)
	if _, err := kcbill.ReadStream(ctx, log, stream, book.Fold); err != nil {
		return err
	}
	for _, e := range book.entries {
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
