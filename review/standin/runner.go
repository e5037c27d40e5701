package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// runnerOptions says how the runners of a case behave.
type runnerOptions struct {
	id, addr string
	// events is the number of events of a stream, gap the time before each.
	events int
	gap    time.Duration
	// work is the time for an answer that is no stream.
	work time.Duration
	// unframed streams have no length and end with their connection.
	unframed bool
	// pauseAfter, if not 0, is the event after which a run is put back for pause.
	pauseAfter int
	pause      time.Duration
}

// eventData is the data of event i of the stream for a request.
func eventData(request string, i, events int) string {
	return fmt.Sprintf("%s piece %d of %d", request, i+1, events)
}

// runRunner serves until the process is ended. It writes what it runs to standard
// output: the time in Unix milliseconds, "run" or "ran", and the id of the request.
func runRunner(o runnerOptions) {
	ln, err := net.Listen("tcp", o.addr)
	must(err)
	out := make(chan string, 1000)
	go func() {
		w := bufio.NewWriter(os.Stdout)
		for line := range out {
			_, _ = w.WriteString(line)
			if len(out) == 0 {
				_ = w.Flush()
			}
		}
	}()
	say := func(what, id string) { out <- fmt.Sprintf("%d %s %s\n", time.Now().UnixMilli(), what, id) }
	say("up", o.id)
	must(http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		_, err := io.ReadAll(r.Body)
		h := w.Header()
		h.Set("Request-Id", id)
		h["Date"] = nil
		switch {
		case err != nil:
			return
		case r.URL.Path == "/healthz":
			h.Set("Instance", o.id)
			return
		case r.Header.Get("Expect-Instance") != o.id:
			h.Set("Instance", o.id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		say("run", id)
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			o.stream(w, r, id, say)
			return
		}
		select {
		case <-time.After(o.work):
		case <-r.Context().Done():
			say("dropped", id)
			return
		}
		h.Set("Stamp", "s."+o.id)
		_, _ = io.WriteString(w, "answer to "+id)
		say("ran", id)
	})))
}

// stream answers with events, after the one that Last-Event-Id names.
func (o runnerOptions) stream(w http.ResponseWriter, r *http.Request, id string, say func(what, id string)) {
	first := 0
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	write, done := io.Writer(w), r.Context().Done()
	flush := http.NewResponseController(w).Flush
	if o.unframed {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		gone := make(chan struct{})
		go func() {
			_, _ = conn.Read(make([]byte, 1)) // ends when the caller closes
			close(gone)
		}()
		write, done, flush = conn, gone, func() error { return nil }
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nStamp: s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, o.id)
	} else {
		w.Header().Set("Stamp", "s."+o.id)
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for i := first; i < o.events; i++ {
		gap := o.gap
		if o.pauseAfter > 0 && i == o.pauseAfter && first < o.pauseAfter {
			say("putback", id)
			gap = o.pause
		}
		select {
		case <-time.After(gap):
		case <-done:
			say("dropped", id)
			return
		}
		if _, err := fmt.Fprintf(write, "id: %d\ndata: %s\n\n", i, eventData(id, i, o.events)); err != nil || flush() != nil {
			say("dropped", id)
			return
		}
	}
	say("ran", id)
}
