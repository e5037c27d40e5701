package kcedge_test

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// store is a stand-in for the platform's store: topics with one partition.
type store struct {
	addr string

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
	// down answers 503 to every call.
	down bool
}

func newStore(t *testing.T) *store {
	t.Helper()
	s := &store{topics: make(map[string][][]byte), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("POST /log-join", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"generation":1,"parts":[["evidence",0,0]]}`)
	})
	mux.HandleFunc("POST /log-leave", func(http.ResponseWriter, *http.Request) {})
	s.addr = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return s
}

// serve runs a handler until the end of the test.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() { defer close(done); _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close(); <-done })
	return ln.Addr().String()
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// put sets a key, as the operator and upstreams do. An empty value removes it.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) add(topic string, record []byte) {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// latest returns the newest value of a key.
func (s *store) latest(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := ""
	for _, r := range s.topics[topic] {
		if n := 1 + int(r[0]); string(r[1:n]) == key {
			value = string(r[n:])
		}
	}
	return value
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	type entry struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	byKey := map[string]entry{}
	for i, rec := range s.topics[topic] {
		n := 1 + int(rec[0])
		byKey[string(rec[1:n])] = entry{string(rec[1:n]), base64.StdEncoding.EncodeToString(rec[n:]), i}
	}
	entries := []entry{}
	for _, e := range byKey {
		entries = append(entries, e)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"entries": entries, "has_more": false, "end_offset": len(s.topics[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from < len(records) || !waiting {
			b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			b = binary.BigEndian.AppendUint64(b, 0)
			for _, rec := range records[min(from, len(records)):] {
				b = append(binary.BigEndian.AppendUint32(b, uint32(len(rec))), rec...)
			}
			_, _ = w.Write(b)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	raw, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(s.topics[q.Get("topic")])) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	for len(raw) >= 4 {
		n := 4 + int(binary.BigEndian.Uint32(raw))
		s.add(q.Get("topic"), raw[4:n])
		raw = raw[n:]
	}
	_, _ = io.WriteString(w, `{"offset":0,"end_offset":0}`)
}
