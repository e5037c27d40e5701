package kccapacity

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
)

// countingServer is an HTTP server that counts the bytes of its connections.
type countingServer struct {
	kcmetric.Traffic
	addr string
}

// totalBytes returns the number of bytes in both directions.
func (w *countingServer) totalBytes() float64 { return float64(w.BytesIn() + w.BytesOut()) }

// startCountingServer serves h on a free loopback port until stop is called.
func startCountingServer(ctx context.Context, h http.Handler) (w *countingServer, stop func(), err error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	w = &countingServer{Traffic: kcmetric.New().Traffic("server"), addr: ln.Addr().String()}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(w.WrapListener(ln)) }()
	return w, func() { _ = srv.Close() }, nil
}
