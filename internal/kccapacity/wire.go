package kccapacity

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
)

// wire is a server whose bytes are counted.
type wire struct {
	kcmetric.Traffic
	addr string
}

// bytes returns the bytes in both directions.
func (w *wire) bytes() float64 { return float64(w.BytesIn() + w.BytesOut()) }

// serve serves h on a loopback address until stop is called.
func serve(ctx context.Context, h http.Handler) (w *wire, stop func(), err error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	w = &wire{Traffic: kcmetric.New().Traffic("server"), addr: ln.Addr().String()}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(w.WrapListener(ln)) }()
	return w, func() { _ = srv.Close() }, nil
}
