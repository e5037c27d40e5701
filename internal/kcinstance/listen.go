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

// headerFactor is how much larger the header limit of net/http is than the
// configured one. Requests between the two limits get a JSON error; net/http
// answers larger ones with plain text.
const headerFactor = 4

// listener is one address that the instance serves.
type listener struct {
	name    string
	addr    string
	handler http.Handler
	files   kctls.Files
	limits  kcentry.Limits
	// wholeBody bounds the time for headers and body together. The caller
	// listener bounds the body itself, to answer with a JSON error.
	wholeBody bool
	log       *slog.Logger
	// count wraps the listener to count its bytes; nil does not count.
	count func(net.Listener) net.Listener
}

// start listens and serves until the server is closed. It returns the address
// that it listens on. An error of the server goes to failed.
func (l listener) start(ctx context.Context, failed chan<- error) (*http.Server, string, error) {
	config, err := l.files.ServerConfig()
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
		IdleTimeout: limits.IdleTimeoutMs.Duration(), MaxHeaderBytes: headerFactor * limits.MaxHeaderBytes,
		ErrorLog: log.New(serverErrors{l.log, l.name}, "", 0), Protocols: new(http.Protocols),
	}
	srv.Protocols.SetHTTP1(true)
	if l.wholeBody {
		srv.Handler = http.MaxBytesHandler(l.handler, limits.MaxBodyBytes)
		srv.ReadTimeout = (limits.HeaderTimeoutMs + limits.BodyTimeoutMs).Duration()
		srv.WriteTimeout = srv.ReadTimeout + limits.WriteTimeoutMs.Duration()
	}
	addr := ln.Addr().String()
	if l.count != nil {
		ln = l.count(ln)
	}
	if config != nil {
		ln = tls.NewListener(ln, config)
	}
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			failed <- errs.Wrap(err)
		}
	}()
	return srv, addr, nil
}

// serverErrors logs what net/http reports, such as failed TLS handshakes.
type serverErrors struct {
	log  *slog.Logger
	name string
}

// Write logs one line.
func (e serverErrors) Write(p []byte) (int, error) {
	e.log.Warn("listenerError", "listener", e.name, "error", string(p))
	return len(p), nil
}
