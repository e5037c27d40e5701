package kcgate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Reasons of refusals, as in logs and metrics.
const (
	reasonNoConfig    = "noConfiguration"
	reasonNoRoute     = "noRoute"
	reasonUnknownKey  = "unknownKey"
	reasonStaleKeys   = "staleKeys"
	reasonBadRequest  = "badRequest"
	reasonTooLarge    = "tooLarge"
	reasonBodyLate    = "bodyLate"
	reasonNoUpstream  = "noUpstream"
	reasonFull        = "upstreamsFull"
	reasonTimeout     = "timeout"
	reasonUnknown     = "unknownExecution"
	reasonStopped     = "sessionVersionStopped"
	reasonStopping    = "stopping"
	reasonCallerLeft  = "callerLeft"
	reasonCutOff      = "cutOff"
	reasonEarlierTime = "timeoutBeforeSend"
)

// Waits that are proposed to callers.
const (
	// elsewhereMs lets a caller reach another instance at once.
	elsewhereMs = 100 * kcclock.Millisecond
	// configRetryMs is about the time to read the first configuration where the
	// store answers late.
	configRetryMs = 500 * kcclock.Millisecond
	// fullRetryMs is about the time in which a sixteenth of the running
	// requests of an engine ends.
	fullRetryMs = 700 * kcclock.Millisecond
	// defaultPatienceMs is used for callers and routes that state no time.
	defaultPatienceMs = 30 * kcclock.Second
	// writeMs bounds a write to a caller that does not read.
	writeMs = 10 * kcclock.Second
	// noBound lifts the bound of reads and writes.
	noBound kcclock.Millis = -1
	// defaultBodyBytes bounds bodies where the configuration does not: the
	// usual limit of HTTP servers in front of applications.
	defaultBodyBytes = 1 << 20
)

var (
	errRouteTimeout = errs.New("the timeout of the route has passed")
	errPatience     = errs.New("the deadline of the caller has passed")
)

// exchange is one request on its way through the gate.
type exchange struct {
	g     *Gate
	w     http.ResponseWriter
	r     *http.Request
	rc    *http.ResponseController
	ask   *Ask
	table *kctable.Table
	route *kctable.Route
	// workspace is empty on public routes.
	workspace string
	rank      int
	service   string
	body      []byte
	received  kcclock.Millis
	// deadline is the earlier of the caller's and the route's.
	deadline kcclock.Millis
	// configAge is the age of the configuration at admission.
	configAge kcclock.Millis
	sends     sendRecord
	// permit is what decided the version of the last choice.
	permit permit
	// entered is true once the session is noted at a version.
	entered bool
	// reserved is true if a repeat was taken from the budget and not used.
	reserved bool
	// events is the number of events of the last try.
	events int
	// slow is true if the last try took much longer than usual, and timed if
	// that could be told.
	slow, timed bool
	// started is true once the head of the answer was written.
	started bool
	status  int
	reason  string
	// firstEvent is when the first event went out.
	firstEvent kcclock.Millis
}

// ServeHTTP answers one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, rc: http.NewResponseController(w), received: g.Clock.Now()}
	leaving, closed := g.stop.enter()
	if leaving {
		w.Header().Set("Connection", "close")
	}
	defer g.stop.exit()
	defer x.report()
	if x.admit(closed) {
		x.run()
	}
}

// admit matches the request and reads its body. It reports whether the request
// may be sent; otherwise it has been answered.
func (x *exchange) admit(closed bool) bool {
	g := x.g
	ask, err := g.Codec.Ask(x.r)
	if err != nil {
		x.ask = &Ask{}
		return x.refuse(http.StatusBadRequest, reasonBadRequest, 0)
	}
	x.ask = ask
	if closed {
		return x.refuse(http.StatusServiceUnavailable, reasonStopping, elsewhereMs)
	}
	if !g.start.await(x.r.Context(), g.Clock) {
		return x.refuse(http.StatusServiceUnavailable, reasonNoConfig, configRetryMs)
	}
	x.table = g.Table()
	age, fresh := g.keysFresh()
	x.configAge = age
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	route, ok := x.table.MatchRoute(x.r.Host, path)
	if !ok {
		return x.refuse(http.StatusNotFound, reasonNoRoute, 0)
	}
	x.route, x.rank = route, route.Priority
	if limit := x.table.Limits.MaxHeaderBytes; limit > 0 && headSize(x.r.Header) > limit {
		return x.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonTooLarge, 0)
	}
	if x.table.KeysRequired && !route.Public {
		ws, known := x.table.Workspaces[ask.Key]
		switch {
		case !fresh:
			return x.refuse(http.StatusServiceUnavailable, reasonStaleKeys, elsewhereMs)
		case !known:
			return x.refuse(http.StatusUnauthorized, reasonUnknownKey, 0)
		}
		x.workspace = ws.Name
		if ws.HasPriority {
			x.rank = ws.Priority
		}
	}
	x.setDeadline()
	return x.readBody()
}

// headSize returns the size of headers in bytes, as HTTP/1.1 writes them.
func headSize(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return int64(n)
}

func (x *exchange) setDeadline() {
	patience := x.ask.PatienceMs
	if patience <= 0 {
		patience = defaultPatienceMs
	}
	x.deadline = x.received + patience
	if x.route.TimeoutMs > 0 {
		x.deadline = min(x.deadline, x.received+x.route.TimeoutMs)
	}
}

// readBody reads the whole body, so that it can be sent again and so that the
// server notices when the caller leaves.
func (x *exchange) readBody() bool {
	limit := x.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		return x.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
	}
	if x.r.ContentLength == 0 {
		return true
	}
	left := x.deadline - x.g.Clock.Now()
	x.bound(x.rc.SetReadDeadline, left)
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return x.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
	case err != nil && x.g.Clock.Now() >= x.deadline:
		x.w.Header().Set("Connection", "close")
		return x.refuse(http.StatusRequestTimeout, reasonBodyLate, 0)
	case err != nil:
		x.w.Header().Set("Connection", "close")
		return x.refuse(http.StatusBadRequest, reasonBadRequest, 0)
	}
	x.bound(x.rc.SetReadDeadline, noBound)
	x.body = body
	return true
}

// run sends the request within its deadline.
func (x *exchange) run() {
	ctx, cancel := x.untilDeadline()
	defer cancel()
	x.service = x.route.SelectService(point(x.ask.ID))
	x.awaitOrder(ctx)
	x.g.countFirst(x.service)
	defer func() {
		if x.entered {
			x.g.Orders.leave(x.session())
		}
	}()
	x.attempts(ctx)
}

// awaitOrder waits for what an instance that has seen an order late has to know
// for the version of a session. Without it, the request is served all the same.
func (x *exchange) awaitOrder(ctx context.Context) {
	g := x.g
	if g.Orders.unread(x.service) {
		awaitUntil(ctx, g.Clock, g.Orders.stateRead, g.start.began+startMs)
	}
	if known, until := g.Orders.await(x.session()); known != nil {
		awaitUntil(ctx, g.Clock, known, until)
	}
}

// untilDeadline returns a context that ends at the deadline or when the caller
// leaves. Its cause tells which.
func (x *exchange) untilDeadline() (context.Context, context.CancelFunc) {
	cause := errPatience
	if x.route.TimeoutMs > 0 && x.deadline == x.received+x.route.TimeoutMs {
		cause = errRouteTimeout
	}
	left := (x.deadline - x.g.Clock.Now()).Duration()
	return context.WithTimeoutCause(x.r.Context(), left, cause)
}

// refuse answers with a status of our own. It returns false for the use as a
// result of admit.
func (x *exchange) refuse(status int, reason string, retryAfter kcclock.Millis) bool {
	x.reason = reason
	if x.started {
		// A part of the answer is out; only a broken connection tells the
		// caller that it is not whole.
		panic(http.ErrAbortHandler)
	}
	x.status = status
	x.g.Codec.Refuse(x.w.Header(), x.ask.ID, retryAfter)
	x.g.Metrics.CountRefusal(reason)
	x.writeHead(status, 0)
	return false
}

// fail ends a request that has no answer. The status follows from the record
// of its sends: 503 only if none of them ran.
func (x *exchange) fail(ctx context.Context, reason string, retryAfter kcclock.Millis) {
	if x.r.Context().Err() != nil {
		x.reason = reasonCallerLeft
		panic(http.ErrAbortHandler)
	}
	late := ctx.Err() != nil
	switch {
	case !x.sends.mayHaveRun() && late:
		x.refuse(http.StatusServiceUnavailable, reasonEarlierTime, retryAfter)
	case !x.sends.mayHaveRun():
		x.refuse(http.StatusServiceUnavailable, reason, retryAfter)
	case late:
		x.refuse(http.StatusGatewayTimeout, reasonTimeout, 0)
	default:
		x.refuse(http.StatusBadGateway, reasonUnknown, 0)
	}
}

// bound limits the time of reads from or writes to the caller.
func (x *exchange) bound(set func(time.Time) error, left kcclock.Millis) {
	var until time.Time
	if left != noBound {
		until = time.Now().Add(max(left, 0).Duration())
	}
	if err := set(until); err != nil {
		// The connection is closing, which the read or write reports as well.
		x.g.Log.Warn("time limit of a connection not set", "request", x.ask.ID, "error", err)
	}
}

// writeHead writes the status and headers.
func (x *exchange) writeHead(status int, length int) {
	h := x.w.Header()
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
	if length >= 0 {
		h["Content-Length"] = []string{itoa(length)}
	}
	x.bound(x.rc.SetWriteDeadline, writeMs)
	x.status = status
	x.started = true
	x.w.WriteHeader(status)
}
