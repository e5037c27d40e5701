package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: keyed topics with one partition,
// and one group.
type store struct {
	addr string

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{} // closed and replaced at each append
	members map[string]time.Time
	holder  string
	gen     int
}

func newStore() *store {
	s := &store{topics: make(map[string][][]byte), changed: make(chan struct{}), members: make(map[string]time.Time)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("POST /log-join", s.join)
	mux.HandleFunc("POST /log-leave", s.leave)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, mux) }()
	return s
}

// put sets a key of a topic and returns when the store has accepted it. An empty
// value removes the key.
func (s *store) put(topic, key, value string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, append(append([]byte{byte(len(key))}, key...), value...))
	return time.Now()
}

func (s *store) add(topic string, record []byte) {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
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
		key := string(rec[1:n])
		if len(rec) == n {
			delete(byKey, key)
			continue
		}
		byKey[key] = entry{key, base64.StdEncoding.EncodeToString(rec[n:]), i}
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
	maxKB, _ := strconv.Atoi(q.Get("max_size"))
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
			for i, rec := range records[min(from, len(records)):] {
				if i > 0 && maxKB > 0 && len(b)+4+len(rec) > maxKB<<10 {
					break
				}
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
	at := len(s.topics[q.Get("topic")])
	if want := q.Get("at"); want != "" && want != strconv.Itoa(at) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end_offset": at})
		return
	}
	for len(raw) >= 4 {
		n := 4 + int(binary.BigEndian.Uint32(raw))
		s.add(q.Get("topic"), raw[4:n])
		raw = raw[n:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": at, "end_offset": len(s.topics[q.Get("topic")])})
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTLMs  int      `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[q.Member] = now.Add(time.Duration(q.TTLMs) * time.Millisecond)
	if s.members[s.holder].Before(now) {
		s.holder = q.Member
		s.gen++
	}
	parts := [][]any{}
	if s.holder == q.Member {
		parts = append(parts, []any{q.Topics[0], 0, 0})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"generation": s.gen, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Member string `json:"member"`
	}
	if json.NewDecoder(r.Body).Decode(&q) == nil {
		s.mu.Lock()
		delete(s.members, q.Member)
		s.mu.Unlock()
	}
	w.WriteHeader(http.StatusOK)
}
