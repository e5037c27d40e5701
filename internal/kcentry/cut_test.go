package kcentry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a part of a response that looks whole to a caller without chunks when
// the instance stops, crashes or gives up a caller that reads slowly.
func TestCutResponseIsNotWholeInHTTP10(t *testing.T) {
	body := strings.Repeat("x", 900<<10)
	for _, operation := range []string{"place", "lookup"} {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, cut %v", operation, cut), func(t *testing.T) {
				upstream := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(w, body)
				})
				rules := kcsettings.DemoRules()
				source := &withdrawingRules{clockReadsLeft: -1, callsLeft: -1, before: &rules, after: withdrawnRules()}
				srv := httptest.NewUnstartedServer(newServerWith(t, kcclock.System{}, source, upstream, 1, nil).Handler())
				srv.Config.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
					if err := nc.(*net.TCPConn).SetWriteBuffer(128 << 10); err != nil {
						t.Error(err)
					}
					return ctx
				}
				srv.Start()
				t.Cleanup(srv.Close)
				nc, err := net.Dial("tcp", srv.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = nc.Close() })
				if err := nc.(*net.TCPConn).SetReadBuffer(128 << 10); err != nil {
					t.Fatal(err)
				}
				if _, err := fmt.Fprintf(nc, "POST /v1/services/orders/%s HTTP/1.0\r\nAuthorization: Bearer %s\r\n"+
					"Idempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}", operation, kcsettings.DemoAPIKey); err != nil {
					t.Fatal(err)
				}
				resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
				if err != nil {
					t.Fatal(err)
				}
				if cut {
					srv.CloseClientConnections()
				}
				got, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if whole := string(got) == body; resp.StatusCode != http.StatusOK || whole == cut || cut == (err == nil) {
					t.Errorf("status %d, %d of %d bytes, %v", resp.StatusCode, len(got), len(body), err)
				}
			})
		}
	}
}
