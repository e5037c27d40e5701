package kcconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Liveness is what is known about a server.
type Liveness string

// Values of Liveness, as in logs and metrics.
const (
	Lives Liveness = "lives"
	Ended Liveness = "ended"
	// Unknown means that the server could not be asked.
	Unknown Liveness = "unknown"
)

// EndCheck finds out whether a server has ended.
type EndCheck struct {
	// Dial opens a connection to the server.
	Dial func(context.Context) (net.Conn, error)
	// SettleMs is how long a connection has to stay open, unless the server answers
	// on it.
	SettleMs kcclock.Millis
	// Probe, if set, is a request that the server answers without running anything.
	Probe []byte
	// IsServer, if set, reports whether the header of the answer to Probe is that of the
	// server. Another one may have taken its address.
	IsServer func(h http.Header) bool
}

// maxDialTimeouts is the number of connections that may time out before a server counts
// as out of reach. A machine may be silent for a second and go on.
const maxDialTimeouts = 2

// endCheckPausesMs are the pauses before the connections that are opened after one
// was closed or reset. A server at its limit of connections does that as well.
var endCheckPausesMs = []kcclock.Millis{0, 10, 30, 90}

// Run returns whether the server lives. The kernel closes the connections and
// the listener of a process one after the other, so a connection that is accepted
// says nothing by itself: it has to stay open, or the server has to answer. A
// connection that stays open without an answer is returned if there was no probe.
func (e EndCheck) Run(ctx context.Context) (found Liveness, open net.Conn) {
	timeouts := 0
	for _, pause := range endCheckPausesMs {
		if pause > 0 && kcclock.Wait(ctx, kcclock.System{}, pause) != nil {
			return Unknown, nil
		}
		nc, err := e.Dial(ctx)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return Ended, nil
		case errors.Is(err, syscall.ECONNRESET):
			found = Lives // it closes or resets all connections, as at its limit
			continue
		case err != nil:
			if timeouts++; timeouts == maxDialTimeouts || ctx.Err() != nil {
				return Unknown, nil
			}
			continue
		}
		sign, keep := e.signOfLife(ctx, nc)
		if keep {
			return sign, nc
		}
		_ = nc.Close()
		switch sign {
		case Lives, Ended:
			return sign, nil
		case "":
			found = Lives
		default:
			if timeouts++; timeouts == maxDialTimeouts || ctx.Err() != nil {
				return Unknown, nil
			}
		}
	}
	return found, nil
}

// signOfLife returns what a new connection shows about the server, or nothing if the
// server closes it, and whether the connection can carry a request. The server lives if
// it answers or keeps the connection open. Somebody on the way may end the connection as
// well.
func (e EndCheck) signOfLife(ctx context.Context, nc net.Conn) (sign Liveness, keep bool) {
	defer context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Now()) })()
	if nc.SetDeadline(time.Now().Add(e.SettleMs.Duration())) != nil {
		return "", false
	}
	if _, err := nc.Write(e.Probe); err != nil {
		return "", false
	}
	answer := &probeAnswer{Reader: nc}
	//nolint:bodyclose // the connection is closed next
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(answer, maxHeaderBytes)), nil)
	switch {
	case ctx.Err() != nil:
		return Unknown, false
	case err == nil && e.IsServer != nil && !e.IsServer(resp.Header):
		return Ended, false
	case answer.n > 0:
		return Lives, false
	case errors.Is(answer.err, os.ErrDeadlineExceeded) && nc.SetDeadline(time.Time{}) == nil:
		return Lives, len(e.Probe) == 0
	case errors.Is(answer.err, io.ErrUnexpectedEOF):
		return Unknown, false
	}
	return "", false
}

// probeAnswer keeps how far the answer to a probe got.
type probeAnswer struct {
	io.Reader
	n   int
	err error
}

// Read implements io.Reader.
func (a *probeAnswer) Read(p []byte) (int, error) {
	n, err := a.Reader.Read(p)
	a.n, a.err = a.n+n, err
	return n, err
}
