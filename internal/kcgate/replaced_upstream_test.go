package kcgate_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
)

// Guards against a part of a response without framing that callers get as the whole: its
// upstream was killed, and another one at the same address answers the check of its end.
func TestResponseOfReplacedUpstreamIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		kind kctable.RequestType
		part string
	}{
		"plain":  {kctable.NonIdempotent, "hel"},
		"stream": {kctable.Streaming, event(1)},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			var probes atomic.Int32
			go func() {
				for n := 0; ; n++ {
					nc, err := ln.Accept()
					if err != nil {
						return
					}
					req, err := http.ReadRequest(bufio.NewReader(nc))
					switch {
					case err != nil:
					case n == 0: // the upstream that is killed
						_, _ = io.Copy(io.Discard, req.Body)
						_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nRequest-Id: "+req.Header.Get("Request-Id")+"\r\nStamp: s\r\n\r\n"+c.part)
					case req.URL.Path == "/healthz": // the one that has taken its address
						probes.Add(1)
						_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nInstance: another\r\nContent-Length: 0\r\n\r\n")
					default:
						_, _ = io.WriteString(nc, "HTTP/1.1 421 Misdirected\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
					}
					_ = nc.Close()
				}
			}()
			f := newFixture(t, []kctable.Route{route("a", c.kind)}, &engine{ln: ln})
			table := f.gate.Table()
			table.HealthPaths = map[string]string{"svc": "/healthz"}
			resp, body, err := f.request(t, "/a/x")
			if err == nil && resp.StatusCode == http.StatusOK {
				t.Errorf("status 200, length %d, %q is told as whole (%d probes)", resp.ContentLength, body, probes.Load())
			}
		})
	}
}
