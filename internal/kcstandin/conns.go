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

// connections numbers the connections of a server, so that those that are open
// at one moment can go silent for good while new ones work.
type connTracker struct {
	openedCount   atomic.Int64
	lastSilenced atomic.Int64
}

// silence makes every connection that is open now silent for good.
func (c *connTracker) silenceOpen() { c.lastSilenced.Store(c.openedCount.Load()) }

// connContext is an http.Server.ConnContext.
func (c *connTracker) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connNumberKey{}, c.openedCount.Add(1))
}

// silent reports whether the connection of r is silent.
func (c *connTracker) isSilent(r *http.Request) bool {
	n, ok := r.Context().Value(connNumberKey{}).(int64)
	return ok && n <= c.lastSilenced.Load()
}

// wrap takes requests on silent connections and never answers them. The
// stand-in controls keep working.
func (c *connTracker) hangSilent(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.isSilent(r) && !strings.HasPrefix(r.URL.Path, controlPrefix) {
			hangUntilClosed(r)
		}
		h.ServeHTTP(w, r)
	})
}

// controlPrefix starts the paths of the stand-in controls.
const controlPrefix = "/standin/"

// hang reads the request, waits until the caller gives up and breaks the
// connection. The server notices a closed connection only after the body has
// been read.
func hangUntilClosed(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
