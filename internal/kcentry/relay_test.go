package kcentry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcchat"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
)

// Guards against a stream that fails or uses unbounded memory because its events
// are held for the check of a cascade.
func TestHeldStreamOverLimitIsRelayedUnchecked(t *testing.T) {
	signer, err := kcsession.NewSigner([]kcsession.Key{{ID: "k", Secret: strings.Repeat("s", 32)}})
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Options: Options{Sessions: signer, Limits: Limits{MaxResponseBytes: 100}}}
	rec := httptest.NewRecorder()
	ex := &Exchange{
		ID: "req", W: newDeadlineWriter(rec, time.Hour), Chat: &kcchat.Request{Stream: true},
		R: httptest.NewRequest(http.MethodPost, "/", http.NoBody),
	}
	r := &relay{s: s, ex: ex, attemptID: "req-0", holdUntilChecked: true}
	for n, want := range []int{0, 2, 3} {
		if err := r.handleEvent([]byte(`{"id":"req-0","choices":[],"padding":"` + strings.Repeat("x", 40) + `"}`)); err != nil {
			t.Fatal(err)
		}
		if got := strings.Count(rec.Body.String(), `data: {"id":"req"`); got != want {
			t.Errorf("%d events relayed after event %d, want %d", got, n, want)
		}
	}
}
