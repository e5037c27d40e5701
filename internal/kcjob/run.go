package kcjob

import (
	"context"
	"net/http"
	"strconv"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// attempt is the execution of a job by this process. It is kept until its end
// is in the log.
type attempt struct {
	job   Job
	start Start
	// earlierMayHaveRun is true if an earlier attempt may have run.
	earlierMayHaveRun bool
	cancel            context.CancelFunc
	// end is nil while the attempt runs.
	end *End
	// requeue is set if a shutdown ended the attempt.
	requeue *Requeue
}

// Run calls Reconcile until ctx ends, at every interval and whenever an attempt
// has ended. It then closes the returned channel.
func (q *Queue) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			q.Reconcile(ctx)
			select {
			case <-ctx.Done():
			case <-q.attemptEnded:
			case <-q.opts.Clock.After(q.opts.ReconcileIntervalMs):
			}
		}
	}()
	return done
}

// Reconcile reads the owned shards, decides which jobs to start, end or mark as
// billed, appends the decisions with one append per shard, and launches the
// attempts whose start record came first.
func (q *Queue) Reconcile(ctx context.Context) {
	q.reconcileMu.Lock()
	defer q.reconcileMu.Unlock()
	live := q.opts.LiveInstanceIDs()
	q.updateUnlistedSince()
	for _, s := range q.shards {
		owned := kcset.Owner(s.stream, live) == q.opts.Instance && !q.isStopping()
		if !owned && s.staleRequeued && !q.hasAttempts(s) {
			s.dropIfIdle(q.opts)
			continue
		}
		if s.catchUp(ctx, q.opts) != nil {
			continue
		}
		recs := append(q.endedAttemptRecords(s), q.requeueStaleAttempts(s)...)
		if owned {
			recs = append(recs, q.ownerRecords(s)...)
		}
		if len(recs) == 0 {
			q.launchAttempts(ctx, s)
			continue
		}
		// After a failed append, the next read shows which records took effect.
		_, _ = q.opts.Log.Append(ctx, s.stream, recs)
		if s.catchUp(ctx, q.opts) == nil {
			q.launchAttempts(ctx, s)
		}
	}
}

// ownerRecords returns the records that the owner of a shard appends: starts,
// ends of jobs past their deadline, and marks of written bills.
func (q *Queue) ownerRecords(s *shard) []kclog.NewRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.opts.Clock.Now()
	freeSlots := q.opts.MaxRunning - len(q.attempts)
	var recs []kclog.NewRecord
	var billed Billed
	for _, e := range s.state.unbilled() {
		switch {
		case e.End != nil:
			if q.ensureBilled(e) {
				billed.IDs = append(billed.IDs, e.Job.ID)
			}
		case e.Start.Attempt > 0 && !e.Requeued && !q.isRunnerLost(e, now):
		case now >= e.Job.Deadline:
			recs = append(recs, endRecord(deadlineEnd(e.Job, e.Start.Attempt, e.MayHaveRun)))
		case freeSlots > 0:
			freeSlots--
			st := Start{ID: e.Job.ID, Attempt: e.Start.Attempt + 1, Instance: q.opts.Instance, Process: q.opts.Process}
			id := KindStart + "-" + st.ID + "-" + strconv.Itoa(st.Attempt) + "-" + st.Process
			recs = append(recs, kclog.Encode(id, KindStart, st))
		}
	}
	if len(billed.IDs) > 0 {
		recs = append(recs, kclog.Encode(KindBilled+"-"+billed.IDs[0], KindBilled, billed))
	}
	return recs
}

// ensureBilled passes the bill of an ended job to the ledger and reports
// whether the bill is in the log.
func (q *Queue) ensureBilled(e *Entry) bool {
	switch {
	case q.opts.Ledger.Has(e.Job.RequestID):
		return false
	case q.billsInLedger.Has(e.Job.ID):
		q.billsInLedger.Remove(e.Job.ID)
		return true
	case !q.opts.Ledger.Full():
		q.billsInLedger.Add(e.Job.ID)
		q.opts.Ledger.AddClosed(Bill(e.Job, *e.End, e.EndedAt))
	}
	return false
}

// isRunnerLost reports whether the runner of a started job is presumed lost.
// q.mu must be held.
func (q *Queue) isRunnerLost(e *Entry, now kcclock.Millis) bool {
	if e.Start.Process == q.opts.Process {
		return false
	}
	since, gone := q.unlistedSince[e.Start.Instance]
	return e.Start.Instance == q.opts.Instance || gone && now >= since+q.opts.RunnerGoneMs ||
		now > e.StartedAt+q.opts.AttemptTimeoutMs+q.opts.RunnerGoneMs
}

// updateUnlistedSince tracks since when runners are missing from the instance
// list.
func (q *Queue) updateUnlistedSince() {
	listed := kcset.New(q.opts.ListedInstanceIDs()...)
	now := q.opts.Clock.Now()
	missing := make(map[string]kcclock.Millis)
	for _, s := range q.shards {
		s.mu.Lock()
		for _, e := range s.state.entries {
			if id := e.Start.Instance; id != "" && e.End == nil && !listed.Has(id) {
				missing[id] = now
			}
		}
		s.mu.Unlock()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range missing {
		if since, known := q.unlistedSince[id]; known {
			missing[id] = since
		}
	}
	q.unlistedSince = missing
}

// launchAttempts starts the attempts of this process that are in the log and
// have not been started yet.
func (q *Queue) launchAttempts(ctx context.Context, s *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range s.state.unbilled() {
		runsHere := e.Start.Process == q.opts.Process && e.State() == kcapi.JobRunning
		if a := q.attempts[e.Job.ID]; !runsHere || a != nil && a.start.Attempt == e.Start.Attempt {
			continue
		}
		runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		a := &attempt{job: e.Job, start: e.Start, earlierMayHaveRun: e.EarlierMayHaveRun, cancel: cancel}
		q.attempts[e.Job.ID] = a
		if q.stopping {
			a.requeue = newRequeue(a, true)
			cancel()
			continue
		}
		q.goAttempt(func() { q.runAttempt(runCtx, a) })
	}
}

// runAttempt executes the request until it has an end. Errors with Retry-After
// are retried until the deadline where a retry is safe.
func (q *Queue) runAttempt(ctx context.Context, a *attempt) {
	defer a.cancel()
	ctx, cancel := kcclock.WithTimeout(ctx, q.opts.Clock, q.opts.AttemptTimeoutMs)
	defer cancel()
	end, ran := deadlineEnd(a.job, a.start.Attempt, a.earlierMayHaveRun), false
	for q.opts.Clock.Now() < a.job.Deadline {
		out := q.opts.Executor.Execute(ctx, a.job)
		ran = ran || out.Execution != kcapi.NotRun
		end = attemptEnd(a, out, ran)
		if !retryable(a.job, out) || q.isStopping() || !q.waitFor(ctx, out.Error.RetryAfter) {
			break
		}
	}
	q.mu.Lock()
	if q.stopping && (a.job.Repeatable || !ran) && end.State == kcapi.JobFailed {
		a.requeue = newRequeue(a, !ran)
	} else {
		a.end = &end
	}
	q.mu.Unlock()
	select {
	case q.attemptEnded <- struct{}{}:
	default:
	}
}

func (q *Queue) waitFor(ctx context.Context, d kcclock.Millis) bool {
	select {
	case <-ctx.Done():
		return false
	case <-q.opts.Clock.After(d):
		return true
	}
}

// retryable reports whether a retry within the attempt can help and is safe.
func retryable(j Job, out Outcome) bool {
	return out.Error != nil && out.Error.RetryAfter > 0 && (j.Repeatable || out.Execution == kcapi.NotRun)
}

func attemptEnd(a *attempt, out Outcome, ran bool) End {
	e := End{ID: a.job.ID, Attempt: a.start.Attempt, State: kcapi.JobDone, Execution: out.Execution, Answer: out.Answer}
	if out.Error == nil {
		return e
	}
	refusal := *out.Error
	e.State, e.Answer, e.Error = kcapi.JobFailed, nil, &refusal
	if e.Execution == kcapi.NotRun && (ran || a.earlierMayHaveRun) {
		// The error describes only the last try.
		e.Execution, refusal.Execution = kcapi.Unknown, kcapi.Unknown
	}
	return e
}

// deadlineEnd returns the end of a job whose deadline has passed. attempt is
// the newest attempt, or 0 if there was none.
func deadlineEnd(j Job, attempt int, mayHaveRun bool) End {
	e := End{ID: j.ID, Attempt: attempt, State: kcapi.JobExpired, Execution: kcapi.NotRun}
	reason := "the deadline passed before the job was started"
	if mayHaveRun {
		e.State, e.Execution = kcapi.JobFailed, kcapi.Unknown
		reason = "the deadline passed before the job had an answer"
	}
	e.Error = kcapi.NewError(http.StatusGatewayTimeout, kcapi.CodeDeadlineExceeded, e.Execution, reason)
	return e
}

func newRequeue(a *attempt, notRun bool) *Requeue {
	return &Requeue{ID: a.job.ID, Attempt: a.start.Attempt, Process: a.start.Process, NotRun: notRun}
}

func endRecord(e End) kclog.NewRecord {
	return kclog.Encode(KindEnd+"-"+e.ID+"-"+strconv.Itoa(e.Attempt)+"-"+string(e.State), KindEnd, e)
}

// requeueStaleAttempts returns records that requeue the attempts of earlier
// processes of this instance. While the instance is listed, other instances do
// not presume these attempts lost.
func (q *Queue) requeueStaleAttempts(s *shard) []kclog.NewRecord {
	if s.staleRequeued {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var recs []kclog.NewRecord
	for _, e := range s.state.unbilled() {
		if e.Start.Instance != q.opts.Instance || e.Start.Process == q.opts.Process || e.State() != kcapi.JobRunning {
			continue
		}
		g := Requeue{ID: e.Job.ID, Attempt: e.Start.Attempt, Process: e.Start.Process}
		recs = append(recs, requeueRecord(g))
	}
	s.staleRequeued = len(recs) == 0
	return recs
}

func requeueRecord(g Requeue) kclog.NewRecord {
	return kclog.Encode(KindRequeue+"-"+g.ID+"-"+strconv.Itoa(g.Attempt), KindRequeue, g)
}

// endedAttemptRecords returns the records of attempts that have ended, and
// drops the attempts whose end is in the log.
func (q *Queue) endedAttemptRecords(s *shard) []kclog.NewRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	var recs []kclog.NewRecord
	for id, a := range q.attempts {
		if q.shardOf(id) != s || a.end == nil && a.requeue == nil {
			continue
		}
		e := s.state.Lookup(id)
		newest := e != nil && e.Start.Attempt == a.start.Attempt
		switch {
		case e == nil || e.End != nil || newest && e.Requeued || !newest && (a.end == nil || a.end.State != kcapi.JobDone):
			delete(q.attempts, id)
		case a.requeue != nil:
			recs = append(recs, requeueRecord(*a.requeue))
		default:
			recs = append(recs, endRecord(*a.end))
		}
	}
	return recs
}

func (q *Queue) hasAttempts(s *shard) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range q.attempts {
		if q.shardOf(id) == s {
			return true
		}
	}
	return false
}

func (q *Queue) isStopping() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stopping
}

// Stop drains the queue before a shutdown. Queued jobs are already in the log,
// running jobs that may be repeated are canceled and requeued, and the others
// are finished. It returns the number of attempts that are left when ctx ends.
func (q *Queue) Stop(ctx context.Context) int {
	q.mu.Lock()
	q.stopping = true
	for _, a := range q.attempts {
		if a.job.Repeatable {
			a.cancel()
		}
	}
	q.mu.Unlock()
	for {
		q.Reconcile(ctx)
		q.Reconcile(ctx) // drops the attempts whose end the first call appended
		q.mu.Lock()
		left := len(q.attempts)
		q.mu.Unlock()
		if left == 0 || ctx.Err() != nil {
			return left
		}
		select {
		case <-ctx.Done():
		case <-q.attemptEnded:
		case <-q.opts.Clock.After(q.opts.ReconcileIntervalMs):
		}
	}
}
