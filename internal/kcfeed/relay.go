package kcfeed

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxKept and maxKeptBytes bound the records that a follower keeps for
	// peers, which ask for the newest ones.
	maxKept      = 2000
	maxKeptBytes = 2 << 20
	// maxPageBytes bounds an answer of a peer.
	maxPageBytes = 8 << 20
	// FeedPath is the path of the relay, followed by the topic.
	FeedPath = "/feed/"
)

// recent keeps the newest records of a topic for peers.
type recent struct {
	mu      sync.Mutex
	first   int64
	records []Record
	bytes   int
	// changed is closed at the next record, if someone waits.
	changed chan struct{}
}

// reset drops all records; those from an offset on follow.
func (r *recent) reset(from int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first, r.records, r.bytes = from, nil, 0
}

func (r *recent) add(records []Record, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range records {
		r.bytes += len(x.Key) + len(x.Value)
	}
	r.records = append(r.records, records...)
	drop := 0
	for drop < len(r.records) && (len(r.records)-drop > maxKept || r.bytes > maxKeptBytes) {
		r.bytes -= len(r.records[drop].Key) + len(r.records[drop].Value)
		drop++
	}
	r.records = r.records[drop:]
	r.first = end - int64(len(r.records))
	if len(records) > 0 && r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// from returns the records from an offset on and a channel that is closed at
// the next one. It returns false if some are not kept.
func (r *recent) from(offset int64) ([]Record, <-chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset < r.first {
		return nil, nil, false
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	i := min(offset-r.first, int64(len(r.records)))
	return r.records[i:], r.changed, true
}

// wirePage is the answer to a peer.
type wirePage struct {
	AgeMs   kcclock.Millis `json:"ageMs"`
	Records []Record       `json:"records"`
}

// Relay serves what followers have read to peers, so that not every instance
// has to ask the store.
type Relay struct {
	Clock kcclock.Clock
	// Followers holds the followers by topic.
	Followers map[string]*Follower
}

// ServeHTTP answers a read of a topic.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	f := r.Followers[strings.TrimPrefix(req.URL.Path, FeedPath)]
	q := req.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if f == nil || err != nil || err2 != nil {
		http.Error(w, "want "+FeedPath+"TOPIC?from=OFFSET&waitMs=N", http.StatusBadRequest)
		return
	}
	records, changed, ok := f.kept.from(from)
	if ok && len(records) == 0 {
		select {
		case <-changed:
		case <-r.Clock.After(kcclock.Millis(wait)):
		case <-req.Context().Done():
		}
		records, _, ok = f.kept.from(from)
	}
	age, known := f.Age(r.Clock.Now())
	if !ok || !known {
		w.WriteHeader(http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(wirePage{AgeMs: age, Records: records}); err != nil {
		panic(http.ErrAbortHandler) // the peer is gone
	}
}

// PeerReader reads from a peer while that knows enough, and otherwise from the
// store.
type PeerReader struct {
	Store Reader
	Pool  *kcconn.Pool
	Clock kcclock.Clock
	// Peer returns the address of the instance that reads for this one, and
	// false if this one has to read for itself.
	Peer func() (string, bool)
	// MaxAgeMs is the age from which the word of a peer is not enough.
	MaxAgeMs kcclock.Millis
	// DirectMs is how long the store is read after a peer failed.
	DirectMs kcclock.Millis

	mu sync.Mutex
	// directUntil holds the end of the direct reads per topic.
	directUntil map[string]kcclock.Millis
}

// Newest returns the newest record of each key from the store.
func (p *PeerReader) Newest(ctx context.Context, topic string) (Page, error) {
	return p.Store.Newest(ctx, topic)
}

// Read returns the records from an offset on.
func (p *PeerReader) Read(ctx context.Context, topic string, from int64, wait kcclock.Millis) (Page, error) {
	addr, ok := p.Peer()
	p.mu.Lock()
	ok = ok && p.Clock.Now() >= p.directUntil[topic]
	p.mu.Unlock()
	if ok {
		page, err := p.ask(ctx, addr, topic, from, min(wait, peerWaitMs))
		if err == nil && page.AgeMs <= p.MaxAgeMs {
			return page, nil
		}
		if ctx.Err() != nil {
			return page, context.Cause(ctx)
		}
		p.mu.Lock()
		if p.directUntil == nil {
			p.directUntil = make(map[string]kcclock.Millis)
		}
		p.directUntil[topic] = p.Clock.Now() + p.DirectMs
		p.mu.Unlock()
	}
	return p.Store.Read(ctx, topic, from, wait)
}

const (
	// peerWaitMs is how long a read waits at a peer. It adds to the age of what
	// the peer knows.
	peerWaitMs = 1000 * kcclock.Millisecond
	// peerCallMs bounds a call of a peer beyond its wait: peers are in the same
	// availability zone, a millisecond away.
	peerCallMs = 250 * kcclock.Millisecond
)

func (p *PeerReader) ask(ctx context.Context, addr, topic string, from int64, wait kcclock.Millis) (Page, error) {
	page := Page{End: from, WaitedMs: wait}
	ctx, cancel := kcclock.WithTimeout(ctx, p.Clock, wait+peerCallMs)
	defer cancel()
	query := url.Values{"from": {strconv.FormatInt(from, 10)}, "waitMs": {strconv.FormatInt(int64(wait), 10)}}
	resp, err := p.Pool.Do(ctx, addr, &kcconn.Request{
		Method: http.MethodGet, Target: FeedPath + topic + "?" + query.Encode(), Host: addr, Header: http.Header{},
	})
	if err != nil {
		return page, err
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		resp.Abort()
		return page, err
	}
	resp.Finish()
	if resp.StatusCode != http.StatusOK {
		return page, errs.New("the peer answered %d", resp.StatusCode)
	}
	var w wirePage
	if err := json.Unmarshal(raw, &w); err != nil {
		return page, err
	}
	page.AgeMs = max(w.AgeMs, 0)
	for _, r := range w.Records {
		if r.Offset != page.End {
			return Page{}, errs.New("the peer left out record %d", page.End)
		}
		page.Records = append(page.Records, r)
		page.End++
	}
	return page, nil
}
