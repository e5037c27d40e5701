package kccrowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// brokenCallers is the number of callers whose requests go to an upstream that never
// ends its response. Each takes two connections of those that the process may open.
// brokenMembers is the number of members that stand for such an upstream.
const (
	brokenCallers = 180
	brokenMembers = 4
)

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

var (
	entryAdmin = regexp.MustCompile(`(?m)^admin +http://(\S+)$`)
	// replaced holds the stand-ins of the demo that a test replaces.
	replaced = map[kcmember.Role][]string{
		kcmember.RoleService: {"orders-1"}, kcmember.RoleEngine: {"engine-1", "engine-2"},
	}
)

// control sends a request to a stand-in of the demo.
func control(t *testing.T, method, url string, body any) {
	t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	if err := send(req); err != nil {
		t.Fatalf("%s %s: %v", method, url, err)
	}
}

// serveOrdinaryElsewhere makes the ordinary requests go to other upstreams than those
// of a path.
func (tg *target) serveOrdinaryElsewhere(path, chat string) {
	other, body := tg.path, "{}"
	if path == tg.path {
		other, body = tg.stream, chat
	}
	tg.ordinary = func([]byte) error {
		req, err := http.NewRequest(http.MethodPost, "http://"+tg.addr+other, strings.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer demo-key")
		req.Header.Set("Content-Type", "application/json")
		return send(req)
	}
}

// awaitRequest sends requests until one has reached an upstream that has just been
// listed.
func (tg *target) awaitRequest(t *testing.T, s *kcfault.Server, path, body string) {
	t.Helper()
	for range ordinaryTries {
		nc, err := net.DialTimeout("tcp", tg.addr, callerTimeoutMs.Duration())
		if err != nil {
			t.Fatal(err)
		}
		if err := begin(tg, nc, path, 0, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)); err != nil {
			t.Fatal(err)
		}
		_ = kcclock.Wait(t.Context(), kcclock.System{}, ordinaryPauseMs)
		_ = nc.Close()
		if s.Requests() > 0 {
			return
		}
	}
	t.Fatal("no request reached the upstream")
}

// Guards against the same at the project's own door.
func TestEntryOutlivesResponsesWithoutEnd(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\n{header}"
		calls = "/v1/services/orders/lookup"
		chats = "/v1/chat/completions"
		chat  = `{"model":"small","stream":true,"messages":[{"role":"user","content":"hello"}]}`
		unary = `{"model":"small","messages":[{"role":"user","content":"hello"}]}`
	)
	var fields strings.Builder
	for n := 0; fields.Len() < 63<<10; n++ {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	var events strings.Builder
	for n := 0; events.Len() < 7<<20; n++ {
		const event = "id: %d\ndata: {\"id\":\"{id}\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n"
		fmt.Fprintf(&events, event, n, fill[:4<<10])
	}
	for name, c := range map[string]struct{ path, body, response string }{
		"fields":              {calls, "{}", head + fields.String()},
		"body":                {calls, "{}", head + "\r\n" + strings.Repeat("x", 7<<20)},
		"line of event":       {chats, chat, head + "\r\nid: 0\r\ndata: " + strings.Repeat("x", 1000<<10)},
		"events":              {chats, unary, head + "\r\n" + events.String() + "data: "},
		"body of a rejection": {chats, chat, "HTTP/1.1 400 Bad Request\r\n{header}\r\n" + strings.Repeat("x", 1000<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			s := kcfault.NewServer(t, kcfault.Case{Response: c.response, End: kcfault.Hold}, "X-Request-Id: {id}\r\n", "")
			tg := startEntry(t)
			m := kcmember.Member{Addr: s.Addr, Zone: "zone-a", Region: "region-1"}
			if c.path == calls {
				m.Role, m.Service = kcmember.RoleService, "orders"
			} else {
				m.Role, m.Versions = kcmember.RoleEngine, []string{"small@1"}
			}
			admin := entryAdmin.FindStringSubmatch(tg.process.Output())
			if admin == nil {
				t.Fatal("no admin address")
			}
			list := "http://" + admin[1] + "/standin/list/members"
			for _, id := range replaced[m.Role] {
				control(t, http.MethodDelete, list+"/"+id, nil)
			}
			for n := range brokenMembers { // the instance limits the requests to each member
				m.ID = fmt.Sprintf("broken-%d", n)
				control(t, http.MethodPut, list, m)
			}
			tg.serveOrdinaryElsewhere(c.path, chat)
			tg.awaitRequest(t, s, c.path, c.body)
			tg.run(t, brokenCallers, func(tg *target, nc net.Conn, n int) error {
				const framing = "Kingcuprail-Max-Wait-Ms: 6000\r\nContent-Length: %d\r\n\r\n%s"
				return begin(tg, nc, c.path, n, fmt.Sprintf(framing, len(c.body), c.body))
			})
			if n := s.Requests(); n < brokenCallers/2 {
				t.Errorf("only %d requests reached the upstream", n)
			}
		})
	}
}
