package kcgate_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
)

// Guards against cutting off a stream that pauses for longer than permitted, where
// no other upstream may resume it: the caller would lose an answer that is only
// late.
func TestSlowStreamThatCannotBeResumedIsNotCut(t *testing.T) {
	paused, cut := make(chan struct{}), make(chan struct{})
	serve := func(_ int, req *http.Request, _ string, w net.Conn) bool {
		switch {
		case strings.HasPrefix(req.URL.Path, "/slow/"):
			if !stream(w, req, "", event(1)) {
				return false
			}
			close(paused)
			<-cut
			return write(w, chunk(event(2))) && write(w, lastChunk)
		case req.Header.Get("Last-Event-Id") == "":
			// A stream that may be resumed is cut after the same pause. It shows
			// that the pause of the other one was long enough.
			_ = stream(w, req, "", event(1)) && awaitClose(w)
			return false
		}
		close(cut)
		return stream(w, req, "", event(2)) && write(w, lastChunk)
	}
	slow, resumable := route("slow", kctable.Streaming), route("resumable", kctable.Streaming)
	slow.Resumable = false
	slow.MaxEventGapMs, resumable.MaxEventGapMs = 20, 20
	f := newFixture(t, []kctable.Route{slow, resumable}, newEngine(t, serve), newEngine(t, serve))
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-paused
		if _, body, err := f.request(t, "/resumable/x"); err != nil || body != event(1)+event(2) {
			t.Errorf("%q, %v: want the stream to resume at the other upstream", body, err)
		}
	}()
	_, body, err := f.request(t, "/slow/x", "Request-Id", "q2")
	if err != nil || body != event(1)+event(2) {
		t.Errorf("%q, %v: want the whole stream", body, err)
	}
	<-done
}
