package kcinstance_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// sendTurn sends one turn of a session. It returns the status, the version or
// the error code, and the new session token.
func sendTurn(t *testing.T, i *testInstance, token, body string) (int, string, string) {
	t.Helper()
	resp := i.postChat(t.Context(), t, body, kcapi.HeaderSession, token)
	answer := readBody(t, resp)
	if resp.StatusCode != http.StatusOK {
		_, rest, _ := strings.Cut(answer, `"code":"`)
		code, _, _ := strings.Cut(rest, `"`)
		return resp.StatusCode, code, ""
	}
	return resp.StatusCode, resp.Header.Get(kcapi.HeaderVersion), resp.Header.Get(kcapi.HeaderSession)
}

// withVersionState sets the state of the version that sessions start on; "" removes
// the version.
func withVersionState(state kcrules.State) func(*kcinstance.Options) {
	return func(o *kcinstance.Options) {
		o.Settings.SessionKeys = []kcsession.Key{{ID: "k", Secret: strings.Repeat("s", 32)}}
		v := o.Settings.Rules.Versions["small@1"]
		v.State = state
		o.Settings.Rules.Versions["small@1"] = v
		if state == "" {
			delete(o.Settings.Rules.Versions, "small@1")
		}
	}
}

// Guards against a session that moves to another version, a draining version
// that loses its sessions, and a new session on a draining or withdrawn version.
func TestSessionKeepsVersion(t *testing.T) {
	_, version, token := sendTurn(t, startInstance(t, withVersionState(kcrules.Active)), "", helloRequest)
	if version != "small@1" || token == "" {
		t.Fatalf("first turn on %s", version)
	}
	for state, want := range map[kcrules.State]string{
		kcrules.Active: "small@1", kcrules.Draining: "small@1",
		kcrules.Withdrawn: "sessionVersionWithdrawn", "": "sessionVersionWithdrawn",
	} {
		t.Run(string(state), func(t *testing.T) {
			i := startInstance(t, withVersionState(state))
			if status, got, _ := sendTurn(t, i, token, helloRequest); got != want {
				t.Errorf("status %d, %s, want %s", status, got, want)
			}
			if _, got, _ := sendTurn(
				t, i, token, strings.Replace(helloRequest, "auto", "large", 1)); got != "sessionInvalid" && want == "small@1" {
				t.Errorf("a turn that names another model got %s", got)
			}
			if _, got, _ := sendTurn(t, i, "", helloRequest); state != kcrules.Active && got != "large@1" {
				t.Errorf("a new session got %s", got)
			}
		})
	}
}

// Guards against concurrent first requests that affect each other's session:
// each response must carry a token that is bound to its own version.
func TestConcurrentFirstRequestsOfSession(t *testing.T) {
	i := startInstance(t, nil)
	var wg sync.WaitGroup
	for _, model := range []string{"small", "large"} {
		wg.Go(func() {
			body := strings.Replace(helloRequest, "auto", model, 1)
			_, first, token := sendTurn(t, i, "", body)
			for range 3 {
				var version string
				if _, version, token = sendTurn(t, i, token, helloRequest); version != first {
					t.Errorf("the session of %s continued on %s", first, version)
				}
			}
		})
	}
	wg.Wait()
}

// shortReloadClock shortens the interval between reloads of the session keys.
type shortReloadClock struct{ kcclock.System }

func (c shortReloadClock) After(d kcclock.Millis) <-chan struct{} {
	if d == 5*kcclock.Second {
		d = 1
	}
	return c.System.After(d)
}

// Guards against a key rotation that breaks live sessions, that takes effect
// only after a restart, or after which a removed key is still accepted.
func TestSessionKeysRotate(t *testing.T) {
	key := func(id string) kcsession.Key { return kcsession.Key{ID: id, Secret: strings.Repeat(id, 32)} }
	var keys atomic.Pointer[[]kcsession.Key]
	keys.Store(&[]kcsession.Key{key("a")})
	reads := make(chan struct{})
	i := startInstance(t, func(o *kcinstance.Options) {
		o.Clock = shortReloadClock{}
		o.Settings.SessionKeys = *keys.Load()
		o.ReloadSessionKeys = func() ([]kcsession.Key, error) {
			select {
			case reads <- struct{}{}:
			case <-t.Context().Done():
			}
			return *keys.Load(), nil
		}
	})
	set := func(k ...kcsession.Key) {
		keys.Store(&k)
		for range 2 { // the second read starts after the keys of the first were applied
			<-reads
		}
	}
	_, _, old := sendTurn(t, i, "", helloRequest)
	set(key("a"), key("b"))
	set(key("b"), key("a"))
	status, _, renewed := sendTurn(t, i, old, helloRequest)
	if status != http.StatusOK {
		t.Errorf("a live session got status %d after the rotation", status)
	}
	set() // an empty list is invalid: the current keys stay in use
	set(key("b"))
	if status, _, _ := sendTurn(t, i, renewed, helloRequest); status != http.StatusOK {
		t.Errorf("a renewed session got status %d after the old key was removed", status)
	}
	if status, code, _ := sendTurn(t, i, old, helloRequest); code != "sessionInvalid" {
		t.Errorf("a token of a removed key got status %d %s", status, code)
	}
}
