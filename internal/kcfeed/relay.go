package kcfeed

import (
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// maxRecentRecords and maxRecentBytes bound the records that a follower keeps
	// for peers, which ask for the newest ones.
	maxRecentRecords = 2000
	maxRecentBytes   = 2 << 20
	// maxPageBytes bounds an answer of a peer.
	maxPageBytes = 8 << 20
	// FeedPath is the URL path of the relay. The topic follows it.
	FeedPath = "/feed/"
	// InstanceParam is the query parameter with the id of the instance that a
	// request is meant for.
	InstanceParam = "instance"
	// eraParam is the query parameter with the era of the offset.
	eraParam = "era"
	// behindStatus refuses a read from a position that this instance, or the store as it
	// sees it, has not reached yet.
	behindStatus = http.StatusConflict
	// snapshotOnly is the offset with which peers ask for a snapshot. knownParam is the
	// query parameter with the offset that it must reach in their era.
	snapshotOnly int64 = -1
	knownParam         = "known"
	// sharedSnapshotMaxAgeMs is how long a snapshot that was read from the store
	// is given to peers. Instances that start, or that need records which the
	// store has deleted, ask within a few seconds of each other.
	sharedSnapshotMaxAgeMs = 3000 * kcclock.Millisecond
	// sharedSnapshotTimeoutMs bounds the read of such a snapshot: three pages
	// from the slowest store.
	sharedSnapshotTimeoutMs = 1200 * kcclock.Millisecond
)

// ErrForeign means that the address of a peer belongs to another instance, perhaps
// of another deployment.
var ErrForeign = errs.New("the address belongs to another instance")

// recentRecords keeps the newest records of a topic for peers.
type recentRecords struct {
	mu sync.Mutex
	// era is that of all records, 0 if unknown.
	era         int64
	firstOffset int64
	records     []Record
	bytes       int
	// changed is closed when the next record arrives. It is nil if no request
	// waits for one.
	changed chan struct{}
}

// reset drops all records. The next one added has position from.
func (r *recentRecords) reset(from Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era, r.firstOffset, r.records, r.bytes = from.Era, from.Offset, nil, 0
	r.wake()
}

// wake lets the requests that wait for records look again.
func (r *recentRecords) wake() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// add adds the records before position end.
func (r *recentRecords) add(records []Record, end Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range records {
		r.bytes += len(x.Key) + len(x.Value)
	}
	r.records = append(r.records, records...)
	drop := 0
	for drop < len(r.records) && (len(r.records)-drop > maxRecentRecords || r.bytes > maxRecentBytes) {
		r.bytes -= len(r.records[drop].Key) + len(r.records[drop].Value)
		drop++
	}
	r.records = r.records[drop:]
	r.era, r.firstOffset = end.Era, end.Offset-int64(len(r.records))
	if len(records) > 0 {
		r.wake()
	}
}

// recentPage is what recentRecords holds from a position on.
type recentPage struct {
	era     int64
	records []Record
	// firstOffset is that of the first record that is kept.
	firstOffset int64
	// kept is false if some of the records are no longer kept, or if the position is
	// in another era.
	kept bool
	// changed is closed when the next record arrives. It is only set if kept is.
	changed <-chan struct{}
}

func (r *recentRecords) since(from Position) recentPage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from.Offset < r.firstOffset || differs(from.Era, r.era) {
		return recentPage{era: r.era, firstOffset: r.firstOffset}
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	i := min(from.Offset-r.firstOffset, int64(len(r.records)))
	return recentPage{era: r.era, records: r.records[i:], firstOffset: r.firstOffset, kept: true, changed: r.changed}
}

// await returns when there are records from a position on, when those are not kept, or
// when the wait is over. A peer takes an empty answer as held back for the whole wait.
func (r *recentRecords) await(ctx context.Context, page recentPage, from Position, waitOver <-chan struct{}) {
	for page.kept && len(page.records) == 0 {
		select {
		case <-page.changed:
			page = r.since(from)
		case <-waitOver:
			return
		case <-ctx.Done():
			return
		}
	}
}

// wirePage is the answer to a read of a peer.
type wirePage struct {
	// InstanceID identifies the instance that answers.
	InstanceID string         `json:"instance,omitempty"`
	AgeMs      kcclock.Millis `json:"ageMs"`
	// StoreReturnedMs is how long ago the instance saw the store come back from an
	// outage.
	StoreReturnedMs kcclock.Millis `json:"storeReturnedMs,omitempty"`
	// Era is the era of the store that the records belong to, 0 if unknown.
	Era int64 `json:"era,omitempty"`
	// Snapshot and NextOffset are set if Records holds the newest record of every
	// key.
	Snapshot   bool     `json:"whole,omitempty"`
	NextOffset int64    `json:"end,omitempty"`
	Records    []Record `json:"records"`
	// Texts replaces Records in compressed answers. Most values are text, which
	// compresses to a tenth of the size of its base64 form.
	Texts []textRecord `json:"texts,omitempty"`
}

// textRecord is a record whose value is in Text if it is valid UTF-8, and in
// Value otherwise.
type textRecord struct {
	Record
	Text string `json:"text,omitempty"`
}

// moveToTexts moves the records to Texts. moveFromTexts moves them back.
func (p *wirePage) moveToTexts() {
	for _, r := range p.Records {
		t := textRecord{Record: r}
		if utf8.Valid(r.Value) {
			t.Text, t.Value = string(r.Value), nil
		}
		p.Texts = append(p.Texts, t)
	}
	p.Records = nil
}

func (p *wirePage) moveFromTexts() {
	for _, t := range p.Texts {
		if t.Text != "" {
			t.Value = []byte(t.Text)
		}
		p.Records = append(p.Records, t.Record)
	}
	p.Texts = nil
}

func (p *wirePage) valueBytes() (n int) {
	for _, r := range p.Records {
		n += len(r.Value)
	}
	return n
}

const (
	// gzipEncoding is the content encoding that peers accept.
	gzipEncoding = "gzip"
	// minCompressBytes is the size from which an answer is compressed. For less
	// than about two packets on an Ethernet link, compression is not worth the
	// CPU time.
	minCompressBytes = 4 << 10
)

// Relay serves what followers have read to peers, so that not every instance
// has to read the store.
type Relay struct {
	Clock kcclock.Clock
	Log   *slog.Logger
	// Store is read for peers that need a snapshot.
	Store Reader
	// InstanceID identifies this instance. Reads that are meant for another one are
	// refused.
	InstanceID string
	// OnForeign, if set, is called with the address of a peer whose read was
	// refused.
	OnForeign func(addr string)
	// Followers holds the followers by topic.
	Followers map[string]*Follower
	// Outage is the one of the followers, if they share one.
	Outage *OutageCoordinator

	mu sync.Mutex
	// snapshots holds the snapshots that were read for peers, by topic.
	snapshots map[string]*sharedSnapshot
}

// sharedSnapshot is a snapshot that was read from the store once and is given
// to several peers.
type sharedSnapshot struct {
	mu   sync.Mutex
	page Page
	// requestedAt is the time at which page was requested, 0 if there is no page.
	requestedAt kcclock.Millis
}

func (r *Relay) sharedSnapshotOf(topic string) *sharedSnapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshots == nil {
		r.snapshots = make(map[string]*sharedSnapshot)
	}
	if r.snapshots[topic] == nil {
		r.snapshots[topic] = &sharedSnapshot{}
	}
	return r.snapshots[topic]
}

// errShortSnapshot means that a snapshot ends below what its reader knows, or below the
// first record that is kept for peers, so that a peer would ask for one again at once.
var errShortSnapshot = errs.New("the snapshot ends too early")

// endsBelow reports whether a snapshot ends below a position of its era.
func endsBelow(page Page, first Position) bool {
	return !differs(page.Era, first.Era) && page.NextOffset < first.Offset
}

// firstKept returns the position that a snapshot must reach for a peer that reads from
// a position.
func (p recentPage) firstKept(from Position) Position {
	first := Position{cmp.Or(p.era, from.Era), p.firstOffset}
	if from.Era != 0 && !differs(p.era, from.Era) {
		first.Offset = max(first.Offset, from.Offset)
	}
	return first
}

// readSnapshot returns the newest record of every key and the time at which
// they were requested. Peers that ask while the store is read wait for the same
// call. A snapshot that was kept from another era than that of first, if known, or that
// ends below first is not returned.
func (r *Relay) readSnapshot(ctx context.Context, topic string, first Position) (Page, kcclock.Millis, error) {
	s := r.sharedSnapshotOf(topic)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.Clock.Now()
	if s.requestedAt == 0 || now-s.requestedAt > sharedSnapshotMaxAgeMs || differs(s.page.Era, first.Era) ||
		endsBelow(s.page, first) {
		// The call continues if the first peer goes away, because later peers can
		// use its result.
		ctx, cancel := kcclock.WithTimeout(context.WithoutCancel(ctx), r.Clock, sharedSnapshotTimeoutMs)
		defer cancel()
		page, err := r.Store.ReadSnapshot(ctx, topic, first)
		if err != nil {
			return Page{}, 0, err
		}
		s.page, s.requestedAt = page, now
	}
	if endsBelow(s.page, first) {
		return Page{}, 0, errShortSnapshot
	}
	return s.page, s.requestedAt, nil
}

// dropStaleSnapshot drops a snapshot that is too old to be given to peers.
func (r *Relay) dropStaleSnapshot(topic string) {
	s := r.sharedSnapshotOf(topic)
	if s.mu.TryLock() {
		if r.Clock.Now()-s.requestedAt > sharedSnapshotMaxAgeMs {
			s.page, s.requestedAt = Page{}, 0
		}
		s.mu.Unlock()
	}
}

func (r *Relay) serveSnapshot(w http.ResponseWriter, req *http.Request, topic string, first Position) {
	page, requestedAt, err := r.readSnapshot(req.Context(), topic, first)
	if err != nil {
		r.Log.Warn("cannot read snapshot for a peer", "topic", topic, "peer", req.RemoteAddr, "error", err)
		status := http.StatusServiceUnavailable
		if errors.Is(err, errShortSnapshot) || errors.Is(err, ErrRestored) {
			status = behindStatus
		}
		w.WriteHeader(status)
		return
	}
	r.writePage(w, req, wirePage{
		AgeMs: r.Clock.Now() - requestedAt, Snapshot: true, Era: page.Era, NextOffset: page.NextOffset, Records: page.Records,
	})
}

func (r *Relay) writePage(w http.ResponseWriter, req *http.Request, page wirePage) {
	w.Header().Set("Content-Type", "application/json")
	page.InstanceID = r.InstanceID
	if r.Outage != nil {
		if at := r.Outage.ReturnedAt(); at != 0 {
			page.StoreReturnedMs = max(r.Clock.Now()-at, 1)
		}
	}
	out := io.Writer(w)
	if req.Header.Get("Accept-Encoding") == gzipEncoding && page.valueBytes() >= minCompressBytes {
		page.moveToTexts()
		w.Header().Set("Content-Encoding", gzipEncoding)
		zip, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
		if err != nil {
			panic(err) // cannot happen: the level is valid
		}
		defer func() { _ = zip.Close() }() // the peer detects a truncated answer
		out = zip
	}
	if err := json.NewEncoder(out).Encode(page); err != nil {
		panic(http.ErrAbortHandler) // the peer closed the connection
	}
}

// ServeHTTP answers the read of a topic by a peer.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	topic := strings.TrimPrefix(req.URL.Path, FeedPath)
	f := r.Followers[topic]
	q := req.URL.Query()
	from, err := parsePosition(q)
	wait, err2 := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if f == nil || err != nil || err2 != nil {
		http.Error(w, "want "+FeedPath+"TOPIC?from=OFFSET&era=N&waitMs=N", http.StatusBadRequest)
		return
	}
	if q.Get(InstanceParam) != r.InstanceID {
		if r.OnForeign != nil {
			r.OnForeign(req.RemoteAddr)
		}
		http.Error(w, ErrForeign.Error(), http.StatusForbidden)
		return
	}
	r.dropStaleSnapshot(topic)
	if from.Offset == snapshotOnly {
		known, err := parseOptional(q, knownParam)
		if err != nil {
			http.Error(w, "want an offset in "+knownParam, http.StatusBadRequest)
			return
		}
		r.serveSnapshot(w, req, topic, Position{from.Era, known})
		return
	}
	recent := f.recent.since(from)
	if precedes(recent.era, from.Era) {
		// The peer knows of a newer era before this instance has read anything of it.
		http.Error(w, "the store is in a newer era", behindStatus)
		return
	}
	if recent.kept && len(recent.records) == 0 {
		f.recent.await(req.Context(), recent, from, r.Clock.After(kcclock.Millis(wait)))
	}
	// The age is read before the records, because the follower goes on: an age
	// that is younger than the records would hide those that are missing.
	age, known := f.Age(r.Clock.Now())
	recent = f.recent.since(from)
	if !recent.kept || !known {
		// The store may have deleted those records as well, or the peer is in an earlier
		// era, so it gets a snapshot.
		r.serveSnapshot(w, req, topic, recent.firstKept(from))
		return
	}
	r.writePage(w, req, wirePage{AgeMs: age, Era: recent.era, Records: recent.records})
}

// parsePosition returns the position in a query. Peers that know no era send none.
func parsePosition(q url.Values) (from Position, err error) {
	if from.Offset, err = strconv.ParseInt(q.Get("from"), 10, 64); err != nil {
		return from, err
	}
	from.Era, err = parseOptional(q, eraParam)
	return from, err
}

// parseOptional returns a number in a query, 0 if there is none.
func parseOptional(q url.Values, name string) (int64, error) {
	if q.Get(name) == "" {
		return 0, nil
	}
	return strconv.ParseInt(q.Get(name), 10, 64)
}
