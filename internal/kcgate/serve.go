package kcgate

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Reasons for rejected requests, as in logs and metrics.
const (
	reasonNoConfig          = "noConfiguration"
	reasonNoRoute           = "noRoute"
	reasonUnknownKey        = "unknownKey"
	reasonStaleKeys         = "staleKeys"
	reasonBadRequest        = "badRequest"
	reasonTooLarge          = "tooLarge"
	reasonBodyTimeout       = "bodyLate"
	reasonMemory            = "memory"
	reasonNoUpstream        = "noUpstream"
	reasonNoRegion          = "noRegion"
	reasonUpstreamsFull     = "upstreamsFull"
	reasonUpstreamsPaused   = "upstreamsPaused"
	reasonUpstreamsCold     = "upstreamsCold"
	reasonTimeout           = "timeout"
	reasonUnknownExecution  = "unknownExecution"
	reasonVersionStopped    = "sessionVersionStopped"
	reasonStopping          = "stopping"
	reasonCallerLeft        = "callerLeft"
	reasonTruncated         = "cutOff"
	reasonTimeoutBeforeSend = "timeoutBeforeSend"
	reasonQuarantined       = "quarantined"
)

// Retry delays proposed to callers, and limits of time and size.
const (
	// otherInstanceRetryMs lets a caller reach another instance at once.
	otherInstanceRetryMs = 100 * kcclock.Millisecond
	// configRetryMs is roughly the time to read the first configuration if the
	// store is slow.
	configRetryMs = 500 * kcclock.Millisecond
	// upstreamsFullRetryMs is roughly the time in which a sixteenth of the
	// running requests of an engine ends.
	upstreamsFullRetryMs = 700 * kcclock.Millisecond
	// defaultCallerTimeoutMs is used if the caller states no timeout.
	defaultCallerTimeoutMs = 30 * kcclock.Second
	// callerWriteTimeoutMs bounds a write to a caller that does not read.
	callerWriteTimeoutMs = 10 * kcclock.Second
	// noTimeout removes the deadline of reads and writes.
	noTimeout kcclock.Millis = -1
	// defaultMaxBodyBytes bounds request bodies if the configuration does not. It
	// is the usual limit of HTTP servers in front of applications.
	defaultMaxBodyBytes = 1 << 20
)

var (
	errRouteTimeout   = errs.New("the timeout of the route has passed")
	errCallerDeadline = errs.New("the deadline of the caller has passed")
)

// exchange is the processing of one request and its response.
type exchange struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	rc    *http.ResponseController
	meta  *RequestMeta
	table *kctable.Table
	route *kctable.Route
	// workspace is empty on public routes.
	workspace string
	// regions are the regions whose upstreams may run the request.
	regions    kctable.Regions
	rank       int
	service    string
	body       []byte
	receivedAt kcclock.Millis
	// deadline is the earlier of the caller's and the route's deadline.
	deadline kcclock.Millis
	// configAge is the age of the configuration at admission.
	configAge kcclock.Millis
	attempts  attemptLog
	// quarantine is the state of the request if its prompt has shared parts.
	quarantine quarantineState
	// decision tells how the version of the last picked upstream was chosen.
	decision versionDecision
	// sessionPinned is true once the session is pinned to a version.
	sessionPinned bool
	// retryReserved is true if a retry was charged to the budget and not used
	// yet.
	retryReserved bool
	// events is the number of events of the last attempt.
	events int
	// attemptSlow is true if the last attempt took much longer than usual.
	// latencyKnown is true if there were enough samples to tell.
	attemptSlow, latencyKnown bool
	// attemptVerySlow is true if it took several times as long as that.
	attemptVerySlow bool
	// slowRecorded is true once attemptSlow was added to the evidence of a rollout.
	slowRecorded bool
	// headerWritten is true once the headers of the response are written.
	headerWritten bool
	status        int
	reason        string
	// firstEventAt is when the first event was sent to the caller.
	firstEventAt kcclock.Millis
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, rc: http.NewResponseController(w), receivedAt: g.Clock.Now()}
	draining, rejecting := g.drain.enter()
	if draining {
		w.Header().Set("Connection", "close")
	}
	defer g.drain.exit()
	defer x.logRequest()
	if x.admit(rejecting) {
		x.forward()
	}
}

// admit checks the request and reads its body. It reports whether the request may
// be forwarded; if not, it has been answered.
func (x *exchange) admit(rejecting bool) bool {
	g := x.g
	ask, err := g.Codec.DecodeRequest(x.r)
	if err != nil {
		x.meta = &RequestMeta{}
		return x.reject(http.StatusBadRequest, reasonBadRequest, 0)
	}
	x.meta = ask
	if rejecting {
		return x.reject(http.StatusServiceUnavailable, reasonStopping, otherInstanceRetryMs)
	}
	if !g.startup.awaitReady(x.r.Context(), g.Clock) {
		return x.reject(http.StatusServiceUnavailable, reasonNoConfig, configRetryMs)
	}
	x.table = g.Table()
	age, fresh := g.keysFresh()
	x.configAge = age
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	route, ok := x.table.MatchRoute(x.r.Host, path)
	if !ok {
		return x.reject(http.StatusNotFound, reasonNoRoute, 0)
	}
	x.route, x.rank, x.regions = route, route.Priority, route.Regions
	if limit := x.table.Limits.MaxHeaderBytes; limit > 0 && headerSize(x.r.Header) > limit {
		return x.reject(http.StatusRequestHeaderFieldsTooLarge, reasonTooLarge, 0)
	}
	if !x.checkKey(fresh) {
		return false
	}
	x.setDeadline()
	if !x.readBody() {
		return false
	}
	if g.drain.isRejecting() {
		// The body has arrived so late that the request might not end before the
		// instance does.
		return x.reject(http.StatusServiceUnavailable, reasonStopping, otherInstanceRetryMs)
	}
	return true
}

// checkKey checks the API key. It reports whether it is valid; if not, the request
// has been answered.
func (x *exchange) checkKey(fresh bool) bool {
	if !x.table.KeysRequired || x.route.Public {
		return true
	}
	ws, known := x.table.Workspaces[x.meta.APIKey]
	switch {
	case !fresh:
		return x.reject(http.StatusServiceUnavailable, reasonStaleKeys, otherInstanceRetryMs)
	case !known:
		return x.reject(http.StatusUnauthorized, reasonUnknownKey, 0)
	}
	x.workspace = ws.Name
	if ws.HasPriority {
		x.rank = ws.Priority
	}
	if x.regions, known = x.route.Regions.Intersect(ws.Regions); !known {
		return x.reject(http.StatusServiceUnavailable, reasonNoRegion, 0)
	}
	return true
}

// headerSize returns the size of headers in bytes in the encoding of HTTP/1.1.
func headerSize(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return int64(n)
}

func (x *exchange) setDeadline() {
	patience := x.meta.CallerTimeoutMs
	if patience <= 0 {
		patience = defaultCallerTimeoutMs
	}
	x.deadline = x.receivedAt + patience
	if x.route.TimeoutMs > 0 {
		x.deadline = min(x.deadline, x.receivedAt+x.route.TimeoutMs)
	}
}

// readBody reads the whole body, so that it can be sent again and so that the
// server notices when the caller disconnects.
func (x *exchange) readBody() bool {
	limit := x.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		return x.reject(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
	}
	if x.r.ContentLength == 0 {
		return true
	}
	remaining := x.deadline - x.g.Clock.Now()
	x.setTimeout(x.rc.SetReadDeadline, remaining)
	most := limit
	if x.r.ContentLength > 0 {
		most = x.r.ContentLength
	}
	body, err := kcledger.CallerOf(x.r.Context()).ReadBody(http.MaxBytesReader(x.w, x.r.Body, limit), most)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, kcledger.ErrShort):
		x.w.Header().Set("Connection", "close")
		return x.reject(http.StatusServiceUnavailable, reasonMemory, otherInstanceRetryMs)
	case errors.As(err, &tooLarge):
		return x.reject(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
	case err != nil && x.g.Clock.Now() >= x.deadline:
		x.w.Header().Set("Connection", "close")
		return x.reject(http.StatusRequestTimeout, reasonBodyTimeout, 0)
	case err != nil:
		x.w.Header().Set("Connection", "close")
		return x.reject(http.StatusBadRequest, reasonBadRequest, 0)
	}
	x.setTimeout(x.rc.SetReadDeadline, noTimeout)
	x.body = body
	return true
}

// forward sends the request to upstreams within its deadline.
func (x *exchange) forward() {
	ctx, cancel := x.deadlineContext()
	defer cancel()
	ctx, stop := x.g.drain.untilStop(ctx)
	defer stop()
	x.service = x.route.SelectService(hashFraction(x.meta.ID))
	x.awaitRolloutState(ctx)
	x.g.countRequest(x.service)
	defer func() {
		if x.sessionPinned {
			x.g.Rollouts.finishRequest(x.session())
		}
	}()
	defer x.g.Admission.Release(x.service)
	x.initQuarantine(ctx)
	defer x.endTrial()
	if x.awaitAdmission(ctx, x.firstModel(), nil, false) {
		x.sendUntilAnswered(ctx)
	}
}

// awaitRolloutState waits for the rollout state and the sessions that an instance
// needs to choose a version if it saw an order late. If they do not arrive in
// time, the request is served without them.
func (x *exchange) awaitRolloutState(ctx context.Context) {
	g := x.g
	if g.Rollouts.stateMissing(x.service) {
		awaitUntil(ctx, g.Clock, g.Rollouts.statesLoaded, g.startup.startedAt+startupWaitMs)
	}
	if known, until := g.Rollouts.awaitSessions(x.session()); known != nil {
		awaitUntil(ctx, g.Clock, known, until)
	}
}

// deadlineContext returns a context that ends at the deadline or when the caller
// disconnects. Its cause tells which.
func (x *exchange) deadlineContext() (context.Context, context.CancelFunc) {
	cause := errCallerDeadline
	if x.route.TimeoutMs > 0 && x.deadline == x.receivedAt+x.route.TimeoutMs {
		cause = errRouteTimeout
	}
	remaining := (x.deadline - x.g.Clock.Now()).Duration()
	return context.WithTimeoutCause(x.r.Context(), remaining, cause)
}

// reject answers with a status of the gateway itself. It always returns false, so
// that admit can return the result.
func (x *exchange) reject(status int, reason string, retryAfter kcclock.Millis) bool {
	x.reason = reason
	if x.headerWritten {
		// A part of the response is sent. Only an aborted connection tells the
		// caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	x.status = status
	x.g.Codec.SetRejectionHeader(x.w.Header(), x.meta.ID, retryAfter)
	x.g.Metrics.CountRefusal(reason)
	x.writeHeader(status, 0)
	return false
}

// fail ends a request without a response from an upstream. The status is derived
// from the attempts: it is 503 only if none of them may have run.
func (x *exchange) fail(ctx context.Context, reason string, retryAfter kcclock.Millis) {
	if x.r.Context().Err() != nil {
		x.reason = reasonCallerLeft
		panic(http.ErrAbortHandler)
	}
	late := ctx.Err() != nil
	if errors.Is(context.Cause(ctx), errStopping) {
		late, reason, retryAfter = false, reasonStopping, otherInstanceRetryMs
	}
	switch {
	case !x.attempts.mayHaveRun() && late:
		x.reject(http.StatusServiceUnavailable, reasonTimeoutBeforeSend, retryAfter)
	case !x.attempts.mayHaveRun():
		x.reject(http.StatusServiceUnavailable, reason, retryAfter)
	case late:
		x.reject(http.StatusGatewayTimeout, reasonTimeout, 0)
	default:
		x.reject(http.StatusBadGateway, reasonUnknownExecution, 0)
	}
}

// setTimeout sets the deadline for reads from or writes to the caller.
func (x *exchange) setTimeout(set func(time.Time) error, timeout kcclock.Millis) {
	var until time.Time
	if timeout != noTimeout {
		until = time.Now().Add(max(timeout, 0).Duration())
	}
	if err := set(until); err != nil {
		// The connection is closing, which the read or write reports as well.
		x.g.Log.Warn("cannot set the deadline of a connection", "request", x.meta.ID, "error", err)
	}
}

// writeHeader writes the status and headers.
func (x *exchange) writeHeader(status int, length int) {
	h := x.w.Header()
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
	if length >= 0 {
		h["Content-Length"] = []string{itoa(length)}
	}
	x.setTimeout(x.rc.SetWriteDeadline, callerWriteTimeoutMs)
	x.status = status
	x.headerWritten = true
	x.w.WriteHeader(status)
}
