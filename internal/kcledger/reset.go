package kcledger

import (
	"net"
	"net/http"
)

// ResetIncomplete returns a handler that resets the connection of a caller if h panics or
// the process ends. In HTTP/1.0, a response without a length ends with its connection, so
// that a part of it looks whole otherwise.
func ResetIncomplete(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(contextKey{}).(*conn)
		if c == nil || r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		c.resetAtClose(true)
		h.ServeHTTP(w, r)
		c.resetAtClose(false)
	})
}

// resetAtClose sets whether the connection is reset when it is closed, also by the kernel
// after the end of the process.
func (c *conn) resetAtClose(reset bool) {
	linger := -1
	if reset {
		linger = 0
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(linger)
	}
}
