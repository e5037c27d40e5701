package kcinstance

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"log/slog"
	"net"
	"net/http"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcentry"
	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kctls"
)

// headerLimitFactor is the ratio of net/http's header limit to the configured
// one. Requests between the two limits get a JSON error; net/http answers
// larger ones with plain text.
const headerLimitFactor = 4

// listener configures the HTTP server of one address.
type listener struct {
	name     string
	addr     string
	handler  http.Handler
	tlsFiles kctls.Files
	limits   kcentry.Limits
	// boundWholeRequest makes the server itself bound the size of the body and
	// the time for headers and body together. The handler of the caller listener
	// bounds the body instead, so that it can answer with a JSON error.
	boundWholeRequest bool
	log               *slog.Logger
	// ledger bounds what the callers make the process hold; nil does not.
	ledger *kcledger.Ledger
	// countBytes wraps the listener to count its traffic; nil does not count.
	countBytes func(net.Listener) net.Listener
}

// listenAndServe listens on the address and serves in the background until the
// server is closed. It returns the server and the address that it listens on.
// An error of the server is sent to serveErrors.
func (l listener) listenAndServe(ctx context.Context, serveErrors chan<- error) (*http.Server, string, error) {
	config, err := l.tlsFiles.ServerConfig()
	if err != nil {
		return nil, "", errs.New("%s listener: %v", l.name, err)
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", l.addr)
	if err != nil {
		return nil, "", errs.New("cannot listen on %q: %v; choose a free address in the settings", l.addr, err)
	}
	limits := l.limits.WithDefaults()
	srv := &http.Server{
		Handler: l.handler, ReadHeaderTimeout: limits.HeaderTimeoutMs.Duration(),
		IdleTimeout: limits.IdleTimeoutMs.Duration(), MaxHeaderBytes: headerLimitFactor * limits.MaxHeaderBytes,
		ErrorLog: log.New(serverErrorLog{l.log, l.name}, "", 0), Protocols: new(http.Protocols),
	}
	srv.Protocols.SetHTTP1(true)
	if l.boundWholeRequest {
		srv.Handler = http.MaxBytesHandler(l.handler, limits.MaxBodyBytes)
		srv.ReadTimeout = (limits.HeaderTimeoutMs + limits.BodyTimeoutMs).Duration()
		srv.WriteTimeout = srv.ReadTimeout + limits.WriteTimeoutMs.Duration()
	}
	addr := ln.Addr().String()
	if l.countBytes != nil {
		ln = l.countBytes(ln)
	}
	if l.ledger != nil {
		l.ledger.Attach(srv)
		srv.Handler = kcledger.ResetIncomplete(srv.Handler)
		ln = l.ledger.Listener(ln)
	}
	if config != nil {
		ln = tls.NewListener(ln, config)
	}
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			serveErrors <- errs.Wrap(err)
		}
	}()
	return srv, addr, nil
}

// serverErrorLog logs the errors that net/http reports, such as failed TLS
// handshakes.
type serverErrorLog struct {
	log  *slog.Logger
	name string
}

// Write logs one line.
func (e serverErrorLog) Write(p []byte) (int, error) {
	e.log.Warn("listenerError", "listener", e.name, "error", string(p))
	return len(p), nil
}
