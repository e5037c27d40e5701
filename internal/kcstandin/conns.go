package kcstandin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

type connNumberKey struct{}

// connTracker numbers the connections of a server in the order in which they
// are opened. All connections that are open at one moment can be silenced: they
// stay open but carry no more responses, while new connections work.
type connTracker struct {
	openedCount atomic.Int64
	// lastSilenced is the highest number of a silenced connection.
	lastSilenced atomic.Int64
}

// silenceOpen permanently silences every connection that is open now.
func (c *connTracker) silenceOpen() { c.lastSilenced.Store(c.openedCount.Load()) }

// connContext numbers a new connection. It is used as http.Server.ConnContext.
func (c *connTracker) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connNumberKey{}, c.openedCount.Add(1))
}

// isSilent reports whether the connection of r has been silenced.
func (c *connTracker) isSilent(r *http.Request) bool {
	n, ok := r.Context().Value(connNumberKey{}).(int64)
	return ok && n <= c.lastSilenced.Load()
}

// hangSilent returns a handler that never responds to requests on silenced
// connections. Requests to the stand-in controls are still served.
func (c *connTracker) hangSilent(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.isSilent(r) && !strings.HasPrefix(r.URL.Path, controlPrefix) {
			hangUntilClosed(r)
		}
		h.ServeHTTP(w, r)
	})
}

// controlPrefix is the path prefix of the endpoints that control stand-ins.
const controlPrefix = "/standin/"

// hangUntilClosed never responds. It waits until the client closes the
// connection and then aborts the handler. It reads the body first because
// net/http detects a closed connection only after that.
func hangUntilClosed(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
