package kcinstance_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
)

func placeOrder(url, key, body string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/services/orders/place", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+kcsettings.DemoAPIKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against an operation that runs twice or not at all, or whose response
// is lost, when repeats of one request reach three instances concurrently,
// claims go through the owners of their shards and the log loses 30% of its
// responses.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	p, urls, _ := startInstances(t, 3)
	p.Log.SetFaults(kcstandin.LogFaults{LostShare: 0.3})
	const keys, repeats = 20, 6
	var wg sync.WaitGroup
	for n := range keys * repeats {
		wg.Go(func() {
			key := fmt.Sprint("key-", n%keys)
			for {
				status, body, err := placeOrder(urls[n%len(urls)], key, "{}")
				switch {
				case err != nil:
					t.Error(err)
				case status == http.StatusServiceUnavailable && strings.Contains(body, `"execution":"notRun"`):
					continue // the caller may retry; this must not cause a second run
				case status != http.StatusOK:
					t.Errorf("%s: status %d: %s", key, status, body)
				}
				return
			}
		})
	}
	wg.Wait()
	// The instances write their bills when they stop; this test does not check
	// bills.
	p.Log.SetFaults(kcstandin.LogFaults{})
	effects := kcstandin.Effects(p.OrdersService)
	if len(effects) != keys {
		t.Errorf("%d effects, want %d", len(effects), keys)
	}
	for _, e := range effects {
		if e.Count != 1 {
			t.Errorf("%s ran %d times", e.IdempotencyKey, e.Count)
		}
	}
}

// Guards against an expired idempotency key that is accepted as new, and against
// a repeat with another body that gets the response of the first request. Also
// checks that a request is refused with notRun while the log is down.
func TestClaimRefusals(t *testing.T) {
	p, urls, _ := startInstances(t, 2)
	for _, c := range []struct{ key, body, code string }{
		{"018e4a2b-1c00-7000-8000-000000000000", "{}", "idempotencyKeyExpired"},
		{"key", `{"dish":"stew"}`, `"status":"ok"`},
		{"key", `{"dish":"soup"}`, "idempotencyKeyReused"},
	} {
		if _, body, err := placeOrder(urls[0], c.key, c.body); err != nil || !strings.Contains(body, c.code) {
			t.Errorf("%s %s: %s, error %v; want %s", c.key, c.body, body, err, c.code)
		}
	}
	p.Log.SetFaults(kcstandin.LogFaults{Down: true})
	status, body, err := placeOrder(urls[0], "key-2", "{}")
	if err != nil || status != http.StatusServiceUnavailable || !strings.Contains(body, `"execution":"notRun"`) {
		t.Errorf("status %d, %s, error %v; want 503 and notRun", status, body, err)
	}
	if effects := kcstandin.Effects(p.OrdersService); len(effects) != 1 || effects[0].Count != 1 {
		t.Errorf("effects %+v, want one", effects)
	}
	p.Log.SetFaults(kcstandin.LogFaults{})
}
