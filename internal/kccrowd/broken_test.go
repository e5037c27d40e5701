package kccrowd

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
)

// brokenCallers is the number of callers whose requests go to an upstream that never
// ends its response. Each takes two connections of those that the process may open.
const brokenCallers = 180

// Guards against responses without end, of which the process keeps more than it has
// memory for, so that the requests of all callers end with it. Each response is sent up
// to just below the limit on one of its parts, so that all that is kept of it stays.
func TestEdgeOutlivesResponsesWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n{header}"
	var fields strings.Builder
	for n := 0; fields.Len() < 63<<10; n++ {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	for name, c := range map[string]struct{ path, response string }{
		"fields":        {"/broken/once/x", head + fields.String()},
		"body":          {"/broken/lookup/x", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 500<<10)},
		"line of event": {"/broken/stream/x", head + "\r\ndata: " + strings.Repeat("x", 1000<<10)},
		"event":         {"/broken/stream/x", head + "\r\n" + strings.Repeat("data: x\n", 1000<<10/8)},
	} {
		t.Run(name, func(t *testing.T) {
			response := kcfault.Case{Response: c.response, End: kcfault.Hold}
			s := kcfault.NewServer(t, response, "Request-Id: {id}\r\nStamp: s\r\n", "")
			tg := startEdge(t, s.Addr)
			tg.run(t, brokenCallers, func(tg *target, nc net.Conn, n int) error {
				return begin(tg, nc, c.path, n, "Content-Length: 0\r\n\r\n")
			})
			if n := s.Requests(); n < brokenCallers/2 {
				t.Errorf("only %d requests reached the upstream", n)
			}
		})
	}
}
