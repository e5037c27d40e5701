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
	// maxJobRequestBytes bounds the request of a job, which is stored in one log record.
	maxJobRequestBytes = 64 << 10
	// maxJobResponseBytes bounds the response body of a job that is stored.
	maxJobResponseBytes = 48 << 10
	// defaultJobWaitMs is the maximum wait of jobs that specify none.
	defaultJobWaitMs = kcclock.Hour
	// maxJobWaitMs bounds the maximum wait of a job. The retention of the log must
	// exceed the sum of this and the time for which results are kept.
	maxJobWaitMs = 24 * kcclock.Hour

	chatPath = "/v1/chat/completions"
)

// submitJob accepts a job. It responds once the job is recorded in the log.
func (s *Server) submitJob(ctx context.Context, ex *Exchange) *kcapi.Error {
	if len(ex.Body) > maxJobRequestBytes {
		return kcapi.NewError(http.StatusRequestEntityTooLarge, kcapi.CodeBodyTooLarge, kcapi.NotRun,
			"the request of a job may have up to 65536 bytes")
	}
	var req kcapi.JobRequest
	dec := json.NewDecoder(bytes.NewReader(ex.Body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return invalidRequestError("job: " + err.Error())
	}
	key := ex.R.Header.Get(kcapi.HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return invalidRequestError(kcapi.HeaderIdempotencyKey + " is too long")
	}
	sum := sha256.Sum256(ex.Body)
	job := kcjob.Job{
		ID: kcjob.NewID(ex.WorkspaceName, key, rand.Text()), RequestID: ex.ID, Workspace: ex.WorkspaceName,
		Fingerprint: hex.EncodeToString(sum[:]), Session: req.Session,
	}
	if refusal := s.setJobDeadline(req, ex, &job); refusal != nil {
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
	writeJobStatus(ex, http.StatusAccepted, status)
	return nil
}

// setJobDeadline sets the deadline of the job from the requested deadline or the
// maximum wait.
func (s *Server) setJobDeadline(req kcapi.JobRequest, ex *Exchange, job *kcjob.Job) *kcapi.Error {
	job.Deadline = req.DeadlineMs
	if req.DeadlineMs == 0 {
		wait := req.MaxWaitMs
		if wait == 0 {
			wait = defaultJobWaitMs
		}
		job.Deadline = ex.Received + wait
	}
	if job.Deadline <= ex.Received || job.Deadline > ex.Received+maxJobWaitMs {
		return invalidRequestError("the deadline of a job must be in the future, and by 24 hours at most")
	}
	return nil
}

// quoteJob validates the request of a job like a direct request and fixes its
// price.
func (s *Server) quoteJob(ctx context.Context, req kcapi.JobRequest, job *kcjob.Job) *kcapi.Error {
	switch {
	case (req.Call == nil) == (len(req.Chat) == 0):
		return invalidRequestError("a job has either chat or call")
	case req.Call == nil:
		job.Path, job.Body, job.Repeatable = chatPath, req.Chat, true
	default:
		op, refusal := s.findOperation(req.Call.Service, req.Call.Operation)
		if refusal != nil {
			return refusal
		}
		job.Service, job.Operation, job.Body = req.Call.Service, req.Call.Operation, req.Call.Body
		job.Path = "/v1/services/" + job.Service + "/" + job.Operation
		job.Version, job.Price, job.Repeatable = job.Service+"/"+job.Operation, op.Price, op.Idempotent
		return nil
	}
	ex, _ := s.newJobExchange(ctx, *job)
	for _, f := range []Filter{s.setJobWorkspace, s.parseChat, s.verifySession, s.quotePrice} {
		if refusal := f(ctx, ex); refusal != nil {
			return refusal
		}
	}
	if ex.Chat.Stream {
		return invalidRequestError("a job gives a whole answer; leave stream out")
	}
	job.Version, job.Price = ex.plan.First, ex.Price
	return nil
}

// jobStatus returns the state of a job to its workspace.
func (s *Server) jobStatus(ctx context.Context, ex *Exchange) *kcapi.Error {
	status, refusal := s.JobQueue.Status(ctx, ex.WorkspaceName, ex.R.PathValue("id"))
	if refusal != nil {
		return refusal
	}
	writeJobStatus(ex, http.StatusOK, status)
	return nil
}

func writeJobStatus(ex *Exchange, status int, st kcapi.JobStatus) {
	ex.W.Header().Set("Content-Type", "application/json")
	ex.W.WriteHeader(status)
	_ = json.NewEncoder(ex.W).Encode(st)
}

// Execute runs the request of a job through the filters of direct requests, with
// the checks of allowed versions and rate limits, and of withdrawn versions
// before each dispatch.
func (s *Server) Execute(ctx context.Context, j kcjob.Job) kcjob.Outcome {
	ex, buffered := s.newJobExchange(ctx, j)
	ex.job = &j
	filters := []Filter{s.setJobWorkspace, s.callService}
	if j.Service == "" {
		filters = []Filter{s.setJobWorkspace, s.parseChat, s.verifySession, s.quotePrice, s.enforceLimits, s.dispatchChat}
	}
	var failure *kcapi.Error
	for _, f := range filters {
		if failure = f(ctx, ex); failure != nil {
			break
		}
	}
	s.releaseLimits(ex)
	s.logRequest(ex, failure)
	if failure != nil {
		return kcjob.Outcome{Execution: failure.Execution, Error: failure}
	}
	return kcjob.Outcome{Execution: ex.Execution, Answer: buffered.response(ex)}
}

// newJobExchange returns an exchange for the request of a job and the writer that
// buffers its response.
func (s *Server) newJobExchange(ctx context.Context, j kcjob.Job) (*Exchange, *jobResponseWriter) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, j.Path, http.NoBody)
	if err != nil {
		panic("kcentry: create request of job: " + err.Error()) // operation names are validated
	}
	r.Pattern = "job"
	r.SetPathValue("service", j.Service)
	r.SetPathValue("operation", j.Operation)
	r.Header.Set("Content-Type", "application/json")
	if j.Session != "" {
		r.Header.Set(kcapi.HeaderSession, j.Session)
	}
	if !j.Repeatable {
		// The job id is the idempotency key for the claim of a non-idempotent operation.
		r.Header.Set(kcapi.HeaderIdempotencyKey, j.ID)
	}
	w := &jobResponseWriter{header: make(http.Header), status: http.StatusOK}
	return &Exchange{
		W: newDeadlineWriter(w, 0), R: r, ID: j.RequestID, upstreamSuffix: "-" + rand.Text(), Received: s.Clock.Now(),
		Deadline: j.Deadline, Body: j.Body, WorkspaceName: j.Workspace, Execution: kcapi.NotRun,
	}, w
}

// setJobWorkspace looks up the workspace of a job. It may have been removed since
// the job was accepted.
func (s *Server) setJobWorkspace(_ context.Context, ex *Exchange) *kcapi.Error {
	w, ok := s.Rules.Rules().Workspaces[ex.WorkspaceName]
	if !ok {
		return kcapi.NewError(http.StatusUnauthorized, kcapi.CodeUnauthorized, kcapi.NotRun, "the workspace was removed")
	}
	ex.Workspace = w
	return nil
}

// jobResponseWriter buffers the response of a job in memory.
type jobResponseWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the response headers.
func (w *jobResponseWriter) Header() http.Header { return w.header }

// WriteHeader sets the response status.
func (w *jobResponseWriter) WriteHeader(status int) { w.status = status }

// Write appends to the response body.
func (w *jobResponseWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

// response returns the buffered response. A body that is not JSON is encoded as
// a JSON string, and one over maxJobResponseBytes is omitted.
func (w *jobResponseWriter) response(ex *Exchange) *kcapi.JobAnswer {
	a := &kcapi.JobAnswer{Status: w.status, Version: ex.Version, Session: w.header.Get(kcapi.HeaderSession)}
	body := bytes.TrimSpace(w.body.Bytes())
	switch {
	case len(body) > maxJobResponseBytes:
		a.Truncated = true
	case json.Valid(body):
		a.Body = body
	default:
		// Encoding a string cannot fail.
		a.Body, _ = json.Marshal(string(body))
	}
	return a
}
