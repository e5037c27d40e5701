package kcinstance_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
)

// withOrders returns options that replace the service "orders".
func withOrders(t *testing.T, h http.HandlerFunc) func(*kcinstance.Options) {
	t.Helper()
	return func(o *kcinstance.Options) {
		srv := httptest.NewServer(h)
		t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
		list := o.Lister.(*kcstandin.InstanceList)
		list.Delete("orders-1")
		list.Put(kcmember.Member{ID: "orders", Role: kcmember.RoleService, Addr: srv.Listener.Addr().String(), Service: "orders"})
	}
}

// Guards against requests whose bodies arrive late in a planned stop and are sent on.
func TestLateBodyIsRejectedInTheStop(t *testing.T) {
	for name, before := range map[string]int{"new connection": 0, "kept connection": 1} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			i := startInstance(t, withOrders(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				calls.Add(1)
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			}))
			const head = "POST /v1/services/orders/place HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + kcsettings.DemoAPIKey +
				"\r\nIdempotency-Key: "
			u := kcfault.NewUpload(t, strings.TrimPrefix(i.callerURL, "http://"))
			for range before {
				u.Begin(head+"early\r\n", "{", 2)
				if status, body := u.Finish("}"); status != http.StatusOK {
					t.Fatalf("status %d of the first request on the connection: %s", status, body)
				}
			}
			u.Begin(head+"late\r\n", "{", 2)
			i.startStop()
			awaitStopping(t, i)
			status, body := u.Finish("}")
			if status != http.StatusServiceUnavailable || !strings.Contains(body, `"code":"stopping","execution":"notRun"`) {
				t.Errorf("status %d: %s", status, body)
			}
			if n := calls.Load(); n != int64(before) {
				t.Errorf("%d calls of the service, want %d", n, before)
			}
			<-i.runResult
		})
	}
}
