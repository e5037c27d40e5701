package kcentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcchat"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// crashIDSpanMs is the time within which the crashes of an engine count as one:
	// less than an engine takes to start.
	crashIDSpanMs = kcclock.Second
	// crashCheckTimeoutMs bounds the connection that tells whether an engine still
	// listens.
	crashCheckTimeoutMs = 500 * kcclock.Millisecond
)

// chatQuarantine tells how a chat request stands to crashes of engines.
type chatQuarantine struct {
	s  *Server
	ex *Exchange
	kcquarantine.Request
	// waitLeftMs is how long the request may still wait for its trial.
	waitLeftMs kcclock.Millis
	// onTrial is true while the request runs on trial, trialOver once a crash has
	// ended its trial, answered once an engine has begun to answer.
	onTrial, trialOver, answered bool
}

// newChatQuarantine takes the messages of a request for the parts of its prompt. The
// last message belongs to the request itself.
func (s *Server) newChatQuarantine(ex *Exchange) *chatQuarantine {
	q := &chatQuarantine{s: s, ex: ex, waitLeftMs: kcquarantine.MaxWait(ex.Deadline - s.Clock.Now())}
	q.Parts = kcquarantine.SharedParts(messageIDs(ex.Chat.Messages))
	q.Workspace = xxhash.Sum64String(ex.WorkspaceName)
	s.Quarantine.CountRequest(q.Parts)
	return q
}

func messageIDs(messages []kcchat.Message) []string {
	out := make([]string, len(messages))
	for i, m := range messages {
		out[i] = m.Role + "\n" + string(m.Content)
	}
	return out
}

// check returns the refusal of a request that need not queue because a part of it is
// blocked.
func (q *chatQuarantine) check() *kcapi.Error {
	if d := q.s.Quarantine.Check(q.Request); d.Action == kcquarantine.Reject {
		return q.refuse(d)
	}
	return nil
}

// await waits until the request may be sent, as far as crashes of engines are
// concerned.
func (q *chatQuarantine) await(ctx context.Context) *kcapi.Error {
	if len(q.Parts) == 0 || q.onTrial || q.answered {
		return nil
	}
	d := q.s.Quarantine.Await(ctx, q.Request, &q.waitLeftMs)
	if d.Action == kcquarantine.Send {
		return nil
	}
	q.onTrial = d.Action == kcquarantine.Trial
	if !q.onTrial {
		return q.refuse(d)
	}
	q.logDecision(d)
	return nil
}

func (q *chatQuarantine) logDecision(d kcquarantine.Decision) {
	q.s.Metrics.Count("quarantine." + d.Action.String())
	q.s.Log.Info("quarantine", "request", q.ex.ID, "workspace", q.ex.WorkspaceName, "part", d.Part, "crashes", d.Failures,
		"nextTrialMs", d.WaitMs, "outcome", d.Action)
}

func (q *chatQuarantine) refuse(d kcquarantine.Decision) *kcapi.Error {
	q.logDecision(d)
	return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeQuarantined, q.ex.Execution,
		"a message of the request has crashed "+strconv.Itoa(d.Failures)+" engines").WithRetryAfter(d.RetryAfter())
}

// recordAnswer records that an engine has begun to answer.
func (q *chatQuarantine) recordAnswer() {
	if len(q.Parts) > 0 && !q.answered {
		q.answered, q.onTrial = true, false
		q.s.Quarantine.Answered(q.Parts)
	}
}

// recordFailure blames the request if its engine has crashed before the first
// event: it no longer listens, or it has restarted and lost the run.
func (q *chatQuarantine) recordFailure(ctx context.Context, r *relay, m kcmember.Member, err error) {
	if len(q.Parts) == 0 || q.answered || errors.Is(err, errCheckFailed) || isRefusal(err) {
		return
	}
	phase := kcquarantine.Reading
	if r.headerArrived || q.onTrial {
		phase = kcquarantine.Answering
	} else if q.s.Quarantine.Proven(q.Parts) {
		return
	}
	if !errors.Is(err, kcupstream.ErrUnknownRequest) && !refusesConnections(ctx, m.Addr) {
		return
	}
	now := q.s.Clock.Now()
	q.trialOver = q.onTrial
	q.Crashed = q.Crashed || phase == kcquarantine.Answering
	q.s.Metrics.Count("quarantine.crash")
	q.s.Log.Warn("upstream crashed under a request", "request", q.ex.ID, "workspace", q.ex.WorkspaceName, "upstream", m.ID,
		"phase", phase, "trial", q.onTrial)
	q.s.Quarantine.Crashed(kcquarantine.Evidence{
		Crash:    xxhash.Sum64String(m.ID + "\n" + strconv.FormatInt(int64(now/crashIDSpanMs), 10)),
		Upstream: m.ID, Request: q.ex.ID, Workspace: q.Workspace, At: now, Phase: phase, Parts: q.Parts,
	})
}

// end ends a trial that showed nothing.
func (q *chatQuarantine) end() {
	if q.onTrial && !q.trialOver {
		q.s.Quarantine.EndTrial(q.Parts)
	}
}

// isRefusal reports whether an attempt ended without being sent, or with a status of
// the engine.
func isRefusal(err error) bool {
	var refusal *kcapi.Error
	var status *kcupstream.StatusError
	return errors.As(err, &refusal) || errors.As(err, &status)
}

// refusesConnections reports whether no server listens at addr.
func refusesConnections(ctx context.Context, addr string) bool {
	d := net.Dialer{Timeout: crashCheckTimeoutMs.Duration()}
	conn, err := d.DialContext(context.WithoutCancel(ctx), "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
