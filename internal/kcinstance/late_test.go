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
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
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

// Guards against requests that are cut off without an answer at the end of a planned
// stop, among them those that may not be repeated.
func TestRequestThatOutlastsTheStopIsAnswered(t *testing.T) {
	for operation, key := range map[string]string{"place": "key", "lookup": ""} {
		t.Run(operation, func(t *testing.T) {
			running := make(chan struct{})
			i := startInstance(t, func(o *kcinstance.Options) {
				withOrders(t, func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					close(running)
					<-r.Context().Done()
				})(o)
				o.Settings.Timing.ShutdownTimeoutMs = 300
				o.Settings.Limits.MaxAttempts = 1
				o.Settings.Limits.DefaultMaxWaitMs = kcclock.Minute
			})
			type answer struct {
				status int
				body   string
			}
			answers := make(chan answer, 1)
			go func() {
				defer close(answers)
				status, body := postCall(t, i.callerURL+"/v1/services/orders/"+operation, key, "{}")
				answers <- answer{status, body}
			}()
			<-running
			i.startStop()
			got := <-answers
			if got.status != http.StatusBadGateway || !strings.Contains(got.body, `"code":"stopping","execution":"unknown"`) {
				t.Errorf("status %d: %s", got.status, got.body)
			}
			if err := <-i.runResult; err == nil {
				t.Error("no error although a request was interrupted")
			}
		})
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
