package kcupstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// copyEvents is the number of events of a stream in testdata/lateCopies.txtar.
const copyEvents = 2

// copyingUpstream does what the script of a file of testdata/lateCopies.txtar tells.
type copyingUpstream struct {
	t      *testing.T
	client *Client
	target Target
	// closed gets a value for each connection that has ended.
	closed chan struct{}

	mu sync.Mutex
	// lines holds what to do with the next requests, idle what is written once the caller
	// has its response.
	lines, idle []string
	// response is the response that was written last, sentOn its connection and sentID the
	// id of its request.
	response, sentID string
	sentOn           net.Conn
	lastReq          *http.Request
	lastConn         net.Conn
	// lastRun is the text of the last run.
	lastRun     string
	runs, conns int
}

// Guards against responses that callers get in place of their own, or in parts, when an
// upstream writes a response once more, later, on a connection that is in use again. And
// against a guard that costs connections without such copies.
func TestLateCopiesAreNotTakenForResponses(t *testing.T) {
	script, err := txtar.ParseFile("testdata/lateCopies.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range script.Files {
		t.Run(f.Name, func(t *testing.T) { newCopyingUpstream(t).play(string(f.Data)) })
	}
}

func newCopyingUpstream(t *testing.T) *copyingUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &copyingUpstream{t: t, closed: make(chan struct{}, 16), target: Target{ID: "u", Addr: ln.Addr().String()}}
	u.client = NewClient(Options{Clock: kcclock.System{}, IdleTimeoutMs: 20 * kcclock.Second, MaxResponseBytes: 1000})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns++
			u.mu.Unlock()
			wg.Go(func() { u.serve(nc) })
		}
	})
	t.Cleanup(func() {
		u.client.WaitBackground(context.Background())
		u.client.CloseIdleConnections()
		_ = ln.Close()
		wg.Wait()
	})
	return u
}

func (u *copyingUpstream) play(script string) {
	u.t.Helper()
	kind, id := "", ""
	for line := range strings.Lines(script) {
		name, args, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch name {
		case "":
		case "call", "once", "stream":
			kind, id = name, args
		case "upstream":
			u.lines = append(u.lines, args)
		case "want":
			if got := u.send(kind, id); got != args {
				u.t.Errorf("%s %s: got %q, want %q", kind, id, got, args)
			}
			u.writeIdle()
		case "runs", "conns":
			u.mu.Lock()
			if got := strconv.Itoa(map[string]int{"runs": u.runs, "conns": u.conns}[name]); got != args {
				u.t.Errorf("%s %s, want %s", got, name, args)
			}
			u.mu.Unlock()
		default:
			u.t.Fatalf("unknown word %q", name)
		}
	}
	if len(u.lines) > 0 {
		u.t.Errorf("no request for %q", u.lines)
	}
}

// send sends a request and returns what its caller gets.
func (u *copyingUpstream) send(kind, id string) string {
	if kind != "stream" {
		res := u.client.Do(u.t.Context(), u.target, Call{
			Path: "/x", Body: []byte("body"), RequestID: id, Repeatable: kind == "call", TimeoutMs: 20 * kcclock.Second,
		})
		if res.Err != nil {
			return "error"
		}
		if res.Status != http.StatusOK {
			return strconv.Itoa(res.Status) + " " + string(res.Body)
		}
		return string(res.Body)
	}
	stream, _, err := u.client.Stream(u.t.Context(), u.target, id, []byte("body"))
	var got []string
	for err == nil {
		var ev Event
		if ev, err = stream.Next(u.t.Context()); err == nil {
			var data struct{ Text string }
			_ = json.Unmarshal(ev.Data, &data)
			got = append(got, fmt.Sprintf("%d:%s", ev.Offset, data.Text))
		}
	}
	if stream != nil {
		<-stream.conn.ended // the connection is back in the pool
		stream.Close(errors.Is(err, io.EOF))
	}
	u.client.WaitBackground(u.t.Context())
	var status *StatusError
	switch {
	case errors.As(err, &status):
		got = append(got, "status", strconv.Itoa(status.Status))
	case errors.Is(err, io.EOF):
		got = append(got, "EOF")
	default:
		got = append(got, "error")
	}
	return strings.Join(got, " ")
}

func (u *copyingUpstream) serve(nc net.Conn) {
	defer func() { _ = nc.Close(); u.closed <- struct{}{} }()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.Method == http.MethodDelete {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		u.answer(nc, req)
	}
}

func (u *copyingUpstream) answer(nc net.Conn, req *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.lines) == 0 {
		u.t.Errorf("a request %s %s that the script does not have", req.Method, req.URL)
		_ = nc.Close()
		return
	}
	now, idle, _ := strings.Cut(u.lines[0], "idle")
	u.lines, u.idle = u.lines[1:], strings.Fields(idle)
	u.lastReq, u.lastConn = req, nc
	for _, group := range strings.Fields(now) {
		u.write(group)
	}
}

// writeIdle writes what follows the response that the caller has, and waits until the
// client closes the connection.
func (u *copyingUpstream) writeIdle() {
	u.mu.Lock()
	idle := u.idle
	for _, group := range idle {
		u.write(group)
	}
	u.idle = nil
	u.mu.Unlock()
	if len(idle) > 0 {
		<-u.closed
	}
}

// write writes words that are joined by "+".
func (u *copyingUpstream) write(group string) {
	text := ""
	response, sentOn, sentID := u.response, u.sentOn, u.sentID
	for word := range strings.SplitSeq(group, "+") {
		word, change, _ := strings.Cut(word, ",")
		part := ""
		switch word {
		case "copy":
			part = changeResponse(response, change)
		case "interim":
			part = "HTTP/1.1 103 Early Hints\r\nX-Request-Id: " + sentID + "\r\n\r\n"
		default:
			own := u.ownResponse(word, change)
			text += own
			u.response, u.sentOn, u.sentID = own, u.lastConn, u.lastReq.Header.Get(HeaderRequestID)
			continue
		}
		if sentOn == u.lastConn {
			text += part
		} else {
			_, _ = io.WriteString(sentOn, part)
		}
	}
	_, _ = io.WriteString(u.lastConn, text)
}

// ownResponse returns the response to the request that has come last.
func (u *copyingUpstream) ownResponse(word, change string) string {
	id := u.lastReq.Header.Get(HeaderRequestID)
	isStream := u.lastReq.Method == http.MethodGet || strings.HasPrefix(u.lastReq.URL.Path, "/v1/chat/")
	if word == "answer" || word == "empty" || word == "failed" {
		u.runs++
		u.lastRun = id + "/" + strconv.Itoa(u.runs)
	}
	head := "X-Request-Id: " + id + "\r\n"
	if u.lastReq.Method == http.MethodGet {
		head = ""
	}
	if isStream && (word == "empty" || word == "failed") {
		change = word + change
	}
	var response string
	switch {
	case strings.HasPrefix(word, "refuse"):
		status := map[string]string{"refuse": "400 Bad", "refuse503": "503 Busy"}[word]
		response = "HTTP/1.1 " + status + "\r\n" + head + "Content-Length: 0\r\n\r\n"
	case !isStream && word == "empty":
		response = "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n"
	case !isStream:
		response = "HTTP/1.1 200 OK\r\n" + head + "Content-Length: " + strconv.Itoa(len(u.lastRun)) + "\r\n\r\n" + u.lastRun
	default:
		response = "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + u.events(change)
	}
	if strings.HasSuffix(change, "noId") {
		return changeResponse(response, "noId")
	}
	return response
}

// events returns the chunks of the stream that was run last, from the event that is asked
// for.
func (u *copyingUpstream) events(change string) string {
	from, _ := strconv.Atoi(u.lastReq.URL.Query().Get("from"))
	id, _, _ := strings.Cut(u.lastRun, "/")
	var b strings.Builder
	switch {
	case strings.HasPrefix(change, "empty"):
	case strings.HasPrefix(change, "failed"):
		return chunk("data: {\"error\":{\"message\":\"x\"}}\n\n") + lastChunk
	default:
		for n := from; n < copyEvents; n++ {
			b.WriteString(chunk(fmt.Sprintf("id: %d\ndata: {\"id\":\"chatcmpl-%s\",\"text\":%q}\n\n", n, id, u.lastRun)))
		}
	}
	return b.String() + chunk("data: [DONE]\n\n") + lastChunk
}

const lastChunk = "0\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// changeResponse returns a response as a word of the script tells.
func changeResponse(response, change string) string {
	head, body, _ := strings.Cut(response, "\r\n\r\n")
	without := func(name string) string {
		var kept []string
		for field := range strings.SplitSeq(head, "\r\n") {
			if !strings.HasPrefix(field, name+": ") {
				kept = append(kept, field)
			}
		}
		return strings.Join(kept, "\r\n") + "\r\n"
	}
	switch change {
	case "noId":
		return without(HeaderRequestID) + "\r\n" + body
	case "noLength":
		return without("Content-Length") + "\r\n" + body
	case "chunked":
		return without("Content-Length") + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + lastChunk
	case "short":
		return without("Content-Length") + "Content-Length: 999\r\n\r\n" + body
	case "status":
		return "HTTP/1.1 404 Not Fou"
	case "field":
		return "HTTP/1.1 404 Not Found\r\nContent-Type: text/pl"
	case "tail":
		return response[len(response)/2:]
	case "rest":
		return head + "\r\n\r\n" + chunk("id: 1\n"+between(body, "id: 1\n", "\r\n")) + chunk("data: [DONE]\n\n") + lastChunk
	case "end":
		return head + "\r\n\r\n" + chunk("data: [DONE]\n\n") + lastChunk
	}
	return response
}

func between(s, start, end string) string {
	_, s, _ = strings.Cut(s, start)
	s, _, _ = strings.Cut(s, end)
	return s
}
