package kcinstance_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
)

// Guards against a slow lookup without a hedge, a hedge with another request
// id, a second bill for it, and a hedge of an operation that may run only once.
func TestHedge(t *testing.T) {
	var mu sync.Mutex
	calls := make(map[string][]string) // operation to request ids
	i := startOne(t, func(o *kcinstance.Options) {
		o.Settings.Rules.Services["orders"] = kcrules.Service{Operations: map[string]kcrules.Operation{
			"place": {TimeoutMs: 100}, "lookup": {Repeatable: true, Price: 1, HedgeAfterMs: 10},
		}}
		list := o.Lister.(*kcstandin.List)
		list.Delete("orders-1")
		for _, id := range []string{"slow", "slower"} {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				mu.Lock()
				operation := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
				calls[operation] = append(calls[operation], r.Header.Get("X-Request-Id"))
				first := len(calls[operation]) == 1
				mu.Unlock()
				if first {
					<-r.Context().Done()
				}
			}))
			t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
			list.Put(kcmember.Member{ID: id, Role: kcmember.RoleService, Addr: srv.Listener.Addr().String(), Service: "orders"})
		}
	})
	if status, body := post(t, i.url+"/v1/services/orders/lookup", "", "{}"); status != http.StatusOK {
		t.Errorf("lookup: status %d: %s", status, body)
	}
	status, body := post(t, i.url+"/v1/services/orders/place", "key", "{}")
	if status != http.StatusBadGateway || !strings.Contains(body, `"execution":"unknown"`) {
		t.Errorf("place: status %d: %s", status, body)
	}
	i.stop()
	if err := <-i.ended; err != nil {
		t.Error(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if ids := calls["lookup"]; len(ids) != 2 || ids[0] != ids[1] {
		t.Errorf("lookup was called with the request ids %q, want one twice", ids)
	}
	if n := len(calls["place"]); n != 1 {
		t.Errorf("place was called %d times", n)
	}
	if n := i.bills(t, calls["lookup"][0]); n != 1 {
		t.Errorf("%d bills for the lookup", n)
	}
}
