package kcgate_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"golang.org/x/sys/unix"

	"github.com/kingcuprail/kingcuprail/internal/kcdetour"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// copyEvents is the number of events of a stream in testdata/lateCopies.txtar.
const copyEvents = 4

// copyRun plays one file of testdata/lateCopies.txtar.
type copyRun struct {
	t *testing.T
	f *fixture
	// written gets a value when a response is written.
	written chan struct{}
	engines []*engine

	mu sync.Mutex
	// upstream holds what the upstreams do with the next requests, idle what is written
	// once the caller has its response.
	upstream, idle []string
	// conns holds the connections of the gateway.
	conns []net.Conn
	// response is the response that was written last, sentOn its connection and sentID
	// the id of its request.
	response, sentID string
	sentOn           net.Conn
	lastReq          *http.Request
	lastConn         net.Conn
	runs             int
	// callOf holds the header "Call" of the requests that were run, by the number of the
	// run.
	callOf map[int]string
}

// Guards against responses that callers get in place of their own, or in parts, and
// against requests that run twice, when an upstream writes a response once more, later,
// on a connection that is in use again. And against a guard that costs connections
// without such copies.
func TestLateCopiesAreNotTakenForResponses(t *testing.T) {
	script, err := txtar.ParseFile("testdata/lateCopies.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, way := range []string{"own", "tunnel"} {
		for _, f := range script.Files {
			t.Run(way+"/"+f.Name, func(t *testing.T) {
				newCopyRun(t, way == "tunnel", string(f.Data)).play(string(f.Data))
			})
		}
	}
}

func newCopyRun(t *testing.T, throughPeer bool, script string) *copyRun {
	t.Helper()
	r := &copyRun{t: t, written: make(chan struct{}, 16), callOf: make(map[int]string)}
	r.engines = []*engine{newEngine(t, r.answer)}
	if strings.HasPrefix(script, "upstreams 2\n") {
		r.engines = append(r.engines, newEngine(t, r.answer))
	}
	dial := dialDirectly
	if throughPeer {
		dial = newTunnelDialer(t).Dial
	}
	record := func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		if err == nil {
			r.mu.Lock()
			r.conns = append(r.conns, c)
			r.mu.Unlock()
		}
		return c, err
	}
	r.f = newFixtureWithDialer(t, record, []kctable.Route{
		route("once", kctable.NonIdempotent), route("lookup", kctable.Idempotent), route("stream", kctable.Streaming),
	}, r.engines...)
	return r
}

func dialDirectly(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// newTunnelDialer returns a dialer whose connections all lead through one peer.
func newTunnelDialer(t *testing.T) *kcdetour.Dialer {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	reach := &kcdetour.Reach{Clock: kcclock.System{}, Log: log}
	s := httptest.NewServer(&kcdetour.Relay{
		Clock: kcclock.System{}, Log: log, Reach: reach, InstanceID: "7",
		Direct: dialDirectly, Known: func(string) bool { return true },
	})
	t.Cleanup(s.Close)
	peers := []kcdetour.Peer{{Addr: s.Listener.Addr().String(), ID: "7"}}
	return &kcdetour.Dialer{
		Clock: kcclock.NewManual(0), Log: log, Reach: reach, TimeoutMs: 5000, DialPeer: dialDirectly,
		Direct: func(context.Context, string) (net.Conn, error) {
			return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
		},
		Peers: func() []kcdetour.Peer { return peers }, Upstreams: func() int { return 15 },
	}
}

func (r *copyRun) play(script string) {
	r.t.Helper()
	var request []string
	for line := range strings.Lines(script) {
		name, args, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch name {
		case "", "upstreams":
		case "send":
			request = strings.Fields(args)
		case "upstream":
			r.upstream = append(r.upstream, args)
		case "want":
			if got := r.send(request); got != args {
				r.t.Errorf("%s: got %q, want %q", strings.Join(request, " "), got, args)
			}
			r.writeIdle()
		case "runs", "conns":
			if got := strconv.Itoa(map[string]int{"runs": r.runs, "conns": len(r.conns)}[name]); got != args {
				r.t.Errorf("%s %s, want %s", got, name, args)
			}
		default:
			r.t.Fatalf("unknown word %q", name)
		}
	}
	if len(r.upstream) > 0 {
		r.t.Errorf("no request for %q", r.upstream)
	}
}

// send sends a request and returns what its caller gets.
func (r *copyRun) send(words []string, header ...string) string {
	r.t.Helper()
	header = append([]string{"Request-Id", words[1]}, header...)
	ctx, cancel := context.WithCancel(r.t.Context())
	defer cancel()
	for _, option := range words[2:] {
		if last, ok := strings.CutPrefix(option, "last="); ok {
			header = append(header, "Last-Event-Id", last)
		}
	}
	option := words[len(words)-1]
	if option == "expire" {
		header = append(header, "Deadline-Ms", "1000")
	}
	for len(r.written) > 0 {
		<-r.written
	}
	type result struct {
		resp *http.Response
		body string
		err  error
	}
	results := make(chan result, 1)
	go func() {
		resp, body, err := r.f.requestUntil(ctx, "/"+words[0]+"/x", header...)
		results <- result{resp, body, err}
	}()
	if option == "leave" {
		<-r.written
		cancel()
	}
	res := <-results
	if option == "leave" || option == "expire" {
		<-r.engines[0].closed
	}
	switch {
	case res.err != nil:
		return "none"
	case res.resp.StatusCode != http.StatusOK:
		return strconv.Itoa(res.resp.StatusCode)
	case words[0] != "stream":
		return res.body
	}
	return listEvents(res.body)
}

// requestUntil sends a request as fixture.request does, until ctx is done.
func (f *fixture) requestUntil(ctx context.Context, path string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, strings.NewReader("body"))
	if err != nil {
		return nil, "", err
	}
	req.Host = f.host
	req.Header.Set("Api-Key", "key")
	req.Header.Set("Deadline-Ms", "9000")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return nil, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp, string(raw), errors.Join(err, resp.Body.Close())
}

// listEvents returns the ids and texts of the events of a stream, or its text if it
// holds anything else.
func listEvents(body string) string {
	var list []string
	for e := range strings.SplitAfterSeq(body, "\n\n") {
		var id, text string
		if e == "" {
			continue
		}
		rest, ok := strings.CutPrefix(e, "id: ")
		if id, rest, _ = strings.Cut(rest, "\n"); ok {
			text, ok = strings.CutPrefix(rest, "data: ")
		}
		if !ok {
			return body
		}
		list = append(list, id+":"+strings.TrimSpace(text))
	}
	return strings.Join(list, " ")
}

// answer writes what the script tells for the next request.
func (r *copyRun) answer(_ int, req *http.Request, _ string, w net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer func() { r.written <- struct{}{} }()
	if len(r.upstream) == 0 {
		r.t.Errorf("a request %s that the script does not have", req.Header.Get("Request-Id"))
		return false
	}
	now, idle, _ := strings.Cut(r.upstream[0], "idle")
	r.upstream, r.idle = r.upstream[1:], strings.Fields(idle)
	r.lastReq, r.lastConn = req, w
	for _, group := range strings.Fields(now) {
		if !r.write(group) {
			return false
		}
	}
	return true
}

// writeIdle writes what follows the response that the caller has, and waits until it
// has come to the gateway.
func (r *copyRun) writeIdle() {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, group := range r.idle {
		r.write(group)
		r.awaitUnread(r.conns[len(r.conns)-1])
	}
	r.idle = nil
}

// awaitUnread waits until a connection has unread data or is closed.
func (r *copyRun) awaitUnread(c net.Conn) {
	r.t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		r.t.Fatal(err)
	}
	for unread := false; !unread; runtime.Gosched() {
		err = raw.Control(func(fd uintptr) {
			_, _, peekErr := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			unread = !errors.Is(peekErr, unix.EAGAIN)
		})
		if err != nil {
			return // closed
		}
	}
}

// write writes words that are joined by "+". It returns false if the connection of the
// request is to be closed.
func (r *copyRun) write(group string) bool {
	text, end := "", false
	response, sentOn, sentID := r.response, r.sentOn, r.sentID
	for word := range strings.SplitSeq(group, "+") {
		word, change, _ := strings.Cut(word, ",")
		switch word {
		case "copy", "part", "interim":
			part := changeResponse(response, change)
			if word == "part" {
				part = response[:len(response)/2]
			}
			if word == "interim" {
				part = "HTTP/1.1 103 Early Hints\r\nRequest-Id: " + sentID + "\r\n\r\n"
			}
			if sentOn == r.lastConn {
				text += part
			} else {
				_, _ = io.WriteString(sentOn, part)
			}
		default:
			own := r.ownResponse(word)
			text, end = text+own, end || word == "half"
			r.response, r.sentOn, r.sentID = own, r.lastConn, r.lastReq.Header.Get("Request-Id")
			response, sentOn, sentID = r.response, r.sentOn, r.sentID
		}
	}
	_, _ = io.WriteString(r.lastConn, text)
	return !end
}

// ownResponse returns the response to the request that has come last.
func (r *copyRun) ownResponse(word string) string {
	id := r.lastReq.Header.Get("Request-Id")
	if !strings.HasPrefix(word, "refuse") {
		r.runs++
		r.callOf[r.runs] = r.lastReq.Header.Get("Call")
	}
	text := id + "/" + strconv.Itoa(r.runs)
	var b strings.Builder
	switch {
	case word == "silent":
	case word == "refuse":
		reply(&b, r.lastReq, refusal, "Not-Run: 1\r\n", "")
	case word == "refuse200":
		reply(&b, r.lastReq, "200 OK", "Not-Run: 1\r\n", "")
	case word == "fail":
		reply(&b, r.lastReq, "500 Failed", "", text)
	case !strings.HasPrefix(r.lastReq.URL.Path, "/stream/"):
		reply(&b, r.lastReq, "200 OK", "", text)
	default:
		first := 0
		if last, err := strconv.Atoi(r.lastReq.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		var events []string
		for n := first; n < copyEvents; n++ {
			events = append(events, "id: "+itoa(n)+"\ndata: "+text+"\n\n")
		}
		if word == "half" || word == "begin" {
			stream(&b, r.lastReq, "", events[:len(events)/2]...)
			return b.String()
		}
		stream(&b, r.lastReq, "", events...)
		b.WriteString(lastChunk)
	}
	if word == "half" || word == "begin" {
		return b.String()[:b.Len()-1]
	}
	return b.String()
}

// changeResponse returns a response as a word of the script tells.
func changeResponse(response, change string) string {
	head, body, _ := strings.Cut(response, "\r\n\r\n")
	fields := strings.Split(head, "\r\n")
	without := func(name string) string {
		var kept []string
		for _, field := range fields {
			if !strings.HasPrefix(field, name+": ") {
				kept = append(kept, field)
			}
		}
		return strings.Join(kept, "\r\n") + "\r\n"
	}
	switch change {
	case "noId":
		return without("Request-Id") + "\r\n" + body
	case "noLength":
		return without("Content-Length") + "\r\n" + body
	case "chunked":
		return without("Content-Length") + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + lastChunk
	case "short":
		return without("Content-Length") + "Content-Length: 9999\r\n\r\n" + body
	case "status":
		return "HTTP/1.1 404 Not Fou"
	case "field":
		return "HTTP/1.1 404 Not Found\r\nContent-Type: text/pl"
	case "head":
		return head + "\r\n\r\n"
	case "tail":
		return response[len(response)/2:]
	case "rest":
		_, rest, _ := strings.Cut(body, "id: 2\n")
		_, rest, _ = strings.Cut(rest, "\r\n")
		return head + "\r\n\r\n" + rest
	}
	return response
}
