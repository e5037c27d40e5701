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
	"github.com/kingcuprail/kingcuprail/internal/kctls"
)

// headerLimitFactor is how much larger the header limit of net/http is than the
// configured one. Requests between the two limits get a JSON error; net/http
// answers larger ones with plain text.
const headerLimitFactor = 4

// listener is one address that the instance serves.
type listener struct {
	name    string
	addr    string
	handler http.Handler
	tlsFiles   kctls.Files
	limits  kcentry.Limits
	// boundWholeRequest bounds the time for headers and body together. The caller
	// listener bounds the body itself, to answer with a JSON error.
	boundWholeRequest bool
	log       *slog.Logger
	// count wraps the listener to count its bytes; nil does not count.
	countBytes func(net.Listener) net.Listener
}

// start listens and serves until the server is closed. It returns the address
// that it listens on. An error of the server goes to failed.
func (l listener) listenAndServe(ctx context.Context, serveErrors chan<- error) (*http.Server, string, error) {
	config, err := l.tlsFiles.Server()
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

// serverErrorLog logs what net/http reports, such as failed TLS handshakes.
type serverErrorLog struct {
	log  *slog.Logger
	name string
}

// Write logs one line.
func (e serverErrorLog) Write(p []byte) (int, error) {
	e.log.Warn("listenerError", "listener", e.name, "error", string(p))
	return len(p), nil
}
