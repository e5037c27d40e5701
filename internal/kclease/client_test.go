package kclease_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kclease"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against running out of memory when an engine reports a state without
// end.
func TestEngineStateSizeIsBounded(t *testing.T) {
	sent := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 64<<10)
		for i := range part {
			part[i] = ' '
		}
		for sent = 0; sent < 64<<20; sent += len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	defer srv.Close()
	e := &kclease.HTTPEngineClient{HTTP: srv.Client(), Clock: kcclock.System{}, TimeoutMs: 60_000}
	if _, err := e.ReadState(t.Context(), srv.Listener.Addr().String()); err == nil {
		t.Error("an engine state of 64 MiB was accepted")
	}
	srv.Close()
	if sent >= 64<<20 {
		t.Errorf("the client read %d bytes of an engine state", sent)
	}
}
