package kcinstance_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
)

// start runs n instances before one platform and returns their base URLs.
func start(t *testing.T, n int) (*kcstandin.Platform, []string) {
	t.Helper()
	p, urls, _ := startFleet(t, n)
	return p, urls
}

func post(t *testing.T, url, key, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+kcsettings.DemoKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// Guards against a second run when the load balancer sends a repeat to another
// instance.
func TestOperationRunsOnceAcrossInstances(t *testing.T) {
	p, urls := start(t, 3)
	for range 2 {
		for _, u := range urls {
			status, body := post(t, u+"/v1/services/orders/place", "order-1", `{"dish":"stew"}`)
			if status != http.StatusOK {
				t.Fatalf("status %d: %s", status, body)
			}
		}
	}
	effects := kcstandin.Effects(p.OrdersService)
	if len(effects) != 1 || effects[0].Count != 1 {
		t.Fatalf("effects %+v, want one with count 1", effects)
	}
}

// Guards against an answer that is cut when the connection to the engine
// breaks or goes silent in the middle of a stream.
func TestAnswerIsWholeAfterBrokenConnection(t *testing.T) {
	p, urls := start(t, 1)
	for _, e := range p.Engines {
		e.SetFaults(kcstandin.EngineFaults{BreakAfter: 2})
	}
	status, body := post(t, urls[0]+"/v1/chat/completions", "",
		`{"model":"auto","messages":[{"role":"user","content":"one two three four five"}]}`)
	if status != http.StatusOK || !strings.Contains(body, "You said: one two three four five") {
		t.Fatalf("status %d: %s", status, body)
	}
}
