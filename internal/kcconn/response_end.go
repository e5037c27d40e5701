package kcconn

import (
	"context"
	"net"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// endSettleMs is how long a new connection to a server has to stay open without an
// answer before the end of a response without framing counts as its end.
const endSettleMs = 250 * kcclock.Millisecond

// ErrPathEnded means that a connection has ended on the way to a server, which says
// nothing about the server.
var ErrPathEnded = errs.New("the path to the upstream ended")

var (
	errCrashedAtEnd  = errs.New("the upstream has ended with a response without framing")
	errNotAskedAtEnd = errs.New("a response without framing may be incomplete: %w before the upstream was asked", ErrPathEnded)
)

// CheckEnd returns an error if the body of a response may be incomplete although its
// connection was closed cleanly: it has no framing, and the server has ended, as planned
// or not, or could not be asked. A whole response looks the same if its server ends right
// after it. probePath and serverID are those of Pool.Liveness.
func (r *Response) CheckEnd(ctx context.Context, probePath, serverID string) error {
	if r.Framed() {
		return nil
	}
	r.serverAtEnd = r.pool.Liveness(ctx, r.conn.addr, probePath, serverID)
	if r.pool.opts.OnUnframedEnd != nil {
		r.pool.opts.OnUnframedEnd(viaOf(r.conn.Conn), r.serverAtEnd)
	}
	switch r.serverAtEnd {
	case Lives:
		return nil
	case Ended:
		return errCrashedAtEnd
	}
	return errNotAskedAtEnd
}

// Path describes how the response has come, for logs: the peer that has passed its
// connection on, and what CheckEnd has found. It is empty for most responses.
func (r *Response) Path() string {
	path := ""
	if via := viaOf(r.conn.Conn); via != "" {
		path = ",via=" + via
	}
	if r.serverAtEnd != "" {
		path += ",unframed,server=" + string(r.serverAtEnd)
	}
	return path
}

// viaOf returns the address of the peer that passes a connection on, or "".
func viaOf(nc net.Conn) string {
	if t, ok := nc.(interface{ Via() string }); ok {
		return t.Via()
	}
	return ""
}
