package kcentry

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcjob"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxJobBytes bounds the request of a job, which stands in one log record.
	maxJobBytes = 64 << 10
	// maxJobAnswer bounds the answer of a job that is kept.
	maxJobAnswer = 48 << 10
	// defaultJobWait is the patience of jobs that state none.
	defaultJobWait = kcclock.Hour
	// maxJobWait bounds the patience of a job. The log must retain records for
	// longer than this and the time for which results are kept together.
	maxJobWait = 24 * kcclock.Hour

	chatPath = "/v1/chat/completions"
)

// submitJob accepts a job once it is in the log.
func (s *Server) submitJob(ctx context.Context, ex *Exchange) *kcapi.Error {
	if len(ex.Body) > maxJobBytes {
		return kcapi.NewError(http.StatusRequestEntityTooLarge, kcapi.CodeBodyTooLarge, kcapi.NotRun,
			"the request of a job may have up to 65536 bytes")
	}
	var req kcapi.JobRequest
	dec := json.NewDecoder(bytes.NewReader(ex.Body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return invalid("job: " + err.Error())
	}
	key := ex.R.Header.Get(kcapi.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return invalid(kcapi.HeaderIdempotencyKey + " is too long")
	}
	sum := sha256.Sum256(ex.Body)
	job := kcjob.Job{
		ID: kcjob.NewID(ex.WorkspaceName, key, rand.Text()), RequestID: ex.ID, Workspace: ex.WorkspaceName,
		Fingerprint: hex.EncodeToString(sum[:]), Session: req.Session,
	}
	if refusal := s.jobDeadline(req, ex, &job); refusal != nil {
		return refusal
	}
	if refusal := s.quoteJob(ctx, req, &job); refusal != nil {
		return refusal
	}
	ex.Version, ex.Price = job.Version, job.Price
	status, refusal := s.JobQueue.Submit(ctx, job, key != "")
	if refusal != nil {
		return refusal
	}
	ex.W.Header().Set(kcapi.HeaderRequestID, status.RequestID)
	writeJob(ex, http.StatusAccepted, status)
	return nil
}

func (s *Server) jobDeadline(req kcapi.JobRequest, ex *Exchange, job *kcjob.Job) *kcapi.Error {
	job.Deadline = req.DeadlineMs
	if req.DeadlineMs == 0 {
		wait := req.MaxWaitMs
		if wait == 0 {
			wait = defaultJobWait
		}
		job.Deadline = ex.Received + wait
	}
	if job.Deadline <= ex.Received || job.Deadline > ex.Received+maxJobWait {
		return invalid("the deadline of a job must be in the future, and by 24 hours at most")
	}
	return nil
}

// quoteJob checks the request of a job as the direct request would be, and
// fixes its price.
func (s *Server) quoteJob(ctx context.Context, req kcapi.JobRequest, job *kcjob.Job) *kcapi.Error {
	switch {
	case (req.Call == nil) == (len(req.Chat) == 0):
		return invalid("a job has either chat or call")
	case req.Call == nil:
		job.Path, job.Body, job.Repeatable = chatPath, req.Chat, true
	default:
		op, refusal := s.operation(req.Call.Service, req.Call.Operation)
		if refusal != nil {
			return refusal
		}
		job.Service, job.Operation, job.Body = req.Call.Service, req.Call.Operation, req.Call.Body
		job.Path = "/v1/services/" + job.Service + "/" + job.Operation
		job.Version, job.Price, job.Repeatable = job.Service+"/"+job.Operation, op.Price, op.Repeatable
		return nil
	}
	ex, _ := s.jobExchange(ctx, *job)
	for _, f := range []Filter{s.jobWorkspace, s.parseChat, s.readSession, s.quote} {
		if refusal := f(ctx, ex); refusal != nil {
			return refusal
		}
	}
	if ex.Chat.Stream {
		return invalid("a job gives a whole answer; leave stream out")
	}
	job.Version, job.Price = ex.plan.First, ex.Price
	return nil
}

// jobStatus answers the state of a job to its workspace.
func (s *Server) jobStatus(ctx context.Context, ex *Exchange) *kcapi.Error {
	status, refusal := s.JobQueue.Status(ctx, ex.WorkspaceName, ex.R.PathValue("id"))
	if refusal != nil {
		return refusal
	}
	writeJob(ex, http.StatusOK, status)
	return nil
}

func writeJob(ex *Exchange, status int, st kcapi.JobStatus) {
	ex.W.Header().Set("Content-Type", "application/json")
	ex.W.WriteHeader(status)
	_ = json.NewEncoder(ex.W).Encode(st)
}

// Execute runs the request of a job through the pipeline of direct requests:
// allowed versions, limits, and the check for withdrawals before each dispatch.
func (s *Server) Execute(ctx context.Context, j kcjob.Job) kcjob.Outcome {
	ex, answer := s.jobExchange(ctx, j)
	ex.job = &j
	filters := []Filter{s.jobWorkspace, s.callService}
	if j.Service == "" {
		filters = []Filter{s.jobWorkspace, s.parseChat, s.readSession, s.quote, s.admitLimits, s.dispatchChat}
	}
	var failure *kcapi.Error
	for _, f := range filters {
		if failure = f(ctx, ex); failure != nil {
			break
		}
	}
	s.release(ex)
	s.report(ex, failure)
	if failure != nil {
		return kcjob.Outcome{Execution: failure.Execution, Error: failure}
	}
	return kcjob.Outcome{Execution: ex.Execution, Answer: answer.result(ex)}
}

// jobExchange returns an exchange for the request of a job and the writer that
// takes its answer.
func (s *Server) jobExchange(ctx context.Context, j kcjob.Job) (*Exchange, *jobWriter) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, j.Path, http.NoBody)
	if err != nil {
		panic("kcentry: path of a job: " + err.Error()) // names of operations are checked
	}
	r.Pattern = "job"
	r.SetPathValue("service", j.Service)
	r.SetPathValue("operation", j.Operation)
	r.Header.Set("Content-Type", "application/json")
	if j.Session != "" {
		r.Header.Set(kcapi.HeaderSession, j.Session)
	}
	if !j.Repeatable {
		// The claim of an operation that may not be repeated has the job as key.
		r.Header.Set(kcapi.HeaderIdempotencyKey, j.ID)
	}
	w := &jobWriter{header: make(http.Header), status: http.StatusOK}
	return &Exchange{
		W: newDeadlineWriter(w, 0), R: r, ID: j.RequestID, Received: s.Clock.Now(), Deadline: j.Deadline, Body: j.Body,
		WorkspaceName: j.Workspace, Execution: kcapi.NotRun,
	}, w
}

// jobWorkspace finds the workspace of a job, which may have been removed.
func (s *Server) jobWorkspace(_ context.Context, ex *Exchange) *kcapi.Error {
	w, ok := s.Rules.Rules().Workspaces[ex.WorkspaceName]
	if !ok {
		return kcapi.NewError(http.StatusUnauthorized, kcapi.CodeUnauthorized, kcapi.NotRun, "the workspace was removed")
	}
	ex.Workspace = w
	return nil
}

// jobWriter keeps the answer of a job in memory.
type jobWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the headers of the answer.
func (w *jobWriter) Header() http.Header { return w.header }

// WriteHeader sets the status.
func (w *jobWriter) WriteHeader(status int) { w.status = status }

// Write appends to the body.
func (w *jobWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

func (w *jobWriter) result(ex *Exchange) *kcapi.JobAnswer {
	a := &kcapi.JobAnswer{Status: w.status, Version: ex.Version, Session: w.header.Get(kcapi.HeaderSession)}
	body := bytes.TrimSpace(w.body.Bytes())
	switch {
	case len(body) > maxJobAnswer:
		a.Truncated = true
	case json.Valid(body):
		a.Body = body
	default:
		// A string cannot fail to encode.
		a.Body, _ = json.Marshal(string(body))
	}
	return a
}
