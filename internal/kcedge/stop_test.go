package kcedge

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
)

// Guards against cutting off a request that was read just before the listeners
// are closed.
func TestRequestReadBeforeTheEndIsAnswered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	read, closing := make(chan struct{}), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(read)
		select {
		case <-closing:
			w.WriteHeader(http.StatusServiceUnavailable)
		case <-r.Context().Done(): // the connection was closed
		}
	})}
	s.RegisterOnShutdown(func() { close(closing) })
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + ln.Addr().String())
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		answered <- err
	}()
	<-read
	e := &Edge{Options: Options{Log: slog.New(slog.DiscardHandler)}}
	e.closeServers([]*http.Server{s})
	if err := <-answered; err != nil {
		t.Errorf("a request that was read got no answer: %v", err)
	}
	<-served
}
