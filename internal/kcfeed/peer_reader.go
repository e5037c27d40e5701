package kcfeed

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// PeerReader reads from a peer while that is up to date, and otherwise from the
// store.
type PeerReader struct {
	Store Reader
	Pool  *kcconn.Pool
	Clock kcclock.Clock
	Log   *slog.Logger
	// PeerAddr returns the address of the instance that reads for this one, and
	// false if this one has to read for itself.
	PeerAddr func() (string, bool)
	// PeerID, if set, returns the id of the instance that is expected at an address.
	// Answers of another one are not accepted.
	PeerID func(addr string) string
	// OnPeerLost, if set, is called with the address of a peer that did not
	// answer, so that PeerAddr returns another one. One whose data is too old, or of an
	// older era, is not lost.
	OnPeerLost func(addr string)
	// MaxAgeMs is the age above which data of a peer is not accepted.
	MaxAgeMs kcclock.Millis
	// StoreFallbackMs is how long the store is read directly after no peer could
	// answer.
	StoreFallbackMs kcclock.Millis

	mu     sync.Mutex
	topics map[string]topicState
}

// topicState is what a PeerReader remembers of its reads of a topic.
type topicState struct {
	// directUntil is the time until which the store is read directly.
	directUntil kcclock.Millis
	// confirmedAt is the time up to which the last answer of a peer confirmed the
	// state.
	confirmedAt kcclock.Millis
}

// ReadSnapshot returns the newest record of every key.
func (p *PeerReader) ReadSnapshot(ctx context.Context, topic string, known Position) (Page, error) {
	page, ok := p.readFromPeer(ctx, peerRead{topic: topic, from: known, snapshot: true}, []kcclock.Millis{snapshotCallTimeoutMs})
	switch {
	case ok:
		return page, nil
	case ctx.Err() != nil:
		return page, context.Cause(ctx)
	}
	return p.Store.ReadSnapshot(ctx, topic, known)
}

// Read returns the records from a position on.
func (p *PeerReader) Read(ctx context.Context, topic string, from Position, wait kcclock.Millis) (Page, error) {
	began := p.Clock.Now()
	page, ok := p.readFromPeer(ctx, peerRead{topic: topic, from: from, wait: min(wait, peerLongPollMs)},
		[]kcclock.Millis{peerCallTimeoutMs, nextPeerCallTimeoutMs})
	switch {
	case ok:
		return page, nil
	case ctx.Err() != nil:
		return page, context.Cause(ctx)
	}
	// The time spent on calls of peers is part of the wait.
	return p.Store.Read(ctx, topic, from, max(wait-(p.Clock.Now()-began), 0))
}

// readFromPeer reads from the peer that reads for this instance, and from the
// next one if that does not answer. It returns false if the store has to be
// read. limits holds one entry for each call, which bounds it beyond its wait.
func (p *PeerReader) readFromPeer(ctx context.Context, read peerRead, limits []kcclock.Millis) (Page, bool) {
	topic := read.topic
	state := p.stateOf(topic)
	if p.Clock.Now() < state.directUntil {
		return Page{}, false
	}
	// The older the last answer, the sooner the next one must arrive.
	left := state.confirmedAt + p.MaxAgeMs - p.Clock.Now()
	read.wait = min(read.wait, max(left, minPeerLongPollMs))
	for _, limit := range limits {
		addr, ok := p.PeerAddr()
		if !ok {
			return Page{}, false
		}
		callStart := p.Clock.Now()
		page, err := p.callPeer(ctx, addr, read, limit)
		if err == nil && page.AgeMs <= p.MaxAgeMs {
			p.setState(topic, topicState{confirmedAt: p.Clock.Now() - page.AgeMs})
			return page, true
		}
		if ctx.Err() != nil {
			return page, false
		}
		p.Log.Warn("peer does not help", "topic", topic, "peer", addr, "ageMs", page.AgeMs, "tookMs", p.Clock.Now()-callStart,
			"error", err)
		if err == nil || isBehind(err) || p.OnPeerLost == nil {
			break
		}
		p.OnPeerLost(addr)
		read.wait = 0
	}
	p.setState(topic, topicState{directUntil: p.Clock.Now() + p.StoreFallbackMs})
	return Page{}, false
}

// PeerAvailable reports whether the next read of a topic will ask a peer.
func (p *PeerReader) PeerAvailable(topic string) bool {
	if p.Clock.Now() < p.stateOf(topic).directUntil {
		return false
	}
	_, ok := p.PeerAddr()
	return ok
}

func (p *PeerReader) stateOf(topic string) topicState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.topics[topic]
}

func (p *PeerReader) setState(topic string, s topicState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.topics == nil {
		p.topics = make(map[string]topicState)
	}
	p.topics[topic] = s
}

const (
	// peerLongPollMs is how long a read waits at a peer. It adds to the age of
	// the data that the peer has.
	peerLongPollMs = 1000 * kcclock.Millisecond
	// minPeerLongPollMs is how long a read waits at a peer whose data is about to
	// get too old. If the store answers, the peer gets a confirmation within that
	// time.
	minPeerLongPollMs = 100 * kcclock.Millisecond
	// snapshotCallTimeoutMs bounds the call of a peer for a snapshot. An instance
	// that starts does not know which peers are alive, and callers wait for it.
	snapshotCallTimeoutMs = 80 * kcclock.Millisecond
	// peerCallTimeoutMs bounds a call of a peer beyond its wait: peers are in the
	// same availability zone, a millisecond away. nextPeerCallTimeoutMs is the
	// bound for the peer that is asked if the first one does not answer. Both
	// together leave time for a call of the store.
	peerCallTimeoutMs     = 250 * kcclock.Millisecond
	nextPeerCallTimeoutMs = 100 * kcclock.Millisecond
	// bodyTimeoutMs bounds the body of an answer: a configuration of 2,000 routes
	// for ten peers on a link of 10 Mbit/s, compressed, takes a third of it. A
	// body that makes no progress for bodyStallTimeoutMs is given up.
	bodyTimeoutMs      = 1500 * kcclock.Millisecond
	bodyStallTimeoutMs = 250 * kcclock.Millisecond
)

// stallTimeoutReader reads a body with a timeout that restarts at each read, so
// that a body may take longer while bytes arrive.
type stallTimeoutReader struct{ resp *kcconn.Response }

// Read implements io.Reader.
func (b stallTimeoutReader) Read(p []byte) (int, error) {
	if err := b.resp.SetReadTimeout(bodyStallTimeoutMs); err != nil {
		return 0, err
	}
	return b.resp.Body.Read(p)
}

// readPage reads and decompresses the body of an answer of a peer.
func readPage(resp *kcconn.Response) ([]byte, error) {
	var body io.Reader = stallTimeoutReader{resp}
	if resp.Header.Get("Content-Encoding") == gzipEncoding {
		zip, err := gzip.NewReader(body)
		if err != nil {
			return nil, err
		}
		body = zip
	}
	return io.ReadAll(io.LimitReader(body, maxPageBytes))
}

// errOlderEra means that a peer does not know yet that the store came back from a copy,
// errPeerBehind that it does not reach the position for this or another reason.
var (
	errOlderEra   = errs.New("the peer is in an older era of the store")
	errPeerBehind = errs.New("the peer does not reach the position")
)

// isBehind reports whether a read failed because a sound peer does not reach a position.
func isBehind(err error) bool {
	return errors.Is(err, errOlderEra) || errors.Is(err, errPeerBehind) || errors.Is(err, errShortSnapshot)
}

// peerRead is a read of a peer.
type peerRead struct {
	topic string
	// from is the first position to read. A snapshot must reach it if its era is known.
	from     Position
	snapshot bool
	wait     kcclock.Millis
}

// target returns the request target at a peer.
func (r peerRead) target(peerID string) string {
	from := r.from.Offset
	if r.snapshot {
		from = snapshotOnly
	}
	query := url.Values{
		"from": {strconv.FormatInt(from, 10)}, "waitMs": {strconv.FormatInt(int64(r.wait), 10)}, InstanceParam: {peerID},
	}
	if r.from.Era != 0 {
		query.Set(eraParam, strconv.FormatInt(r.from.Era, 10))
	}
	if r.snapshot && r.from.Offset > 0 {
		query.Set(knownParam, strconv.FormatInt(r.from.Offset, 10))
	}
	return FeedPath + r.topic + "?" + query.Encode()
}

// check returns an error if the answer of a peer is older than what the reader knows.
func (r peerRead) check(w wirePage) error {
	switch {
	case precedes(w.Era, r.from.Era):
		return errOlderEra
	case w.Snapshot && r.from.Era != 0 && w.Era == r.from.Era && w.NextOffset < r.from.Offset:
		return errShortSnapshot
	case r.snapshot && !w.Snapshot:
		return errs.New("the answer of the peer is no snapshot")
	}
	return nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case behindStatus:
		return errPeerBehind
	}
	return errs.New("peer answered with status %d", status)
}

func (p *PeerReader) callPeer(
	ctx context.Context, addr string, read peerRead, limit kcclock.Millis,
) (Page, error) {
	page := Page{NextOffset: read.from.Offset, WaitedMs: read.wait}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	head, stop := kcclock.WithTimeout(ctx, p.Clock, read.wait+limit)
	defer stop()
	stopHeadCancel := context.AfterFunc(head, cancel)
	peerID := ""
	if p.PeerID != nil {
		peerID = p.PeerID(addr)
	}
	resp, err := p.Pool.Do(ctx, addr, &kcconn.Request{
		Method: http.MethodGet, Target: read.target(peerID), Host: addr,
		Header: http.Header{"Accept-Encoding": {gzipEncoding}},
	})
	if err != nil {
		return page, err
	}
	began := p.Clock.Now()
	if !stopHeadCancel() {
		resp.Abort()
		return page, context.Cause(head)
	}
	body, stopBody := kcclock.WithTimeout(ctx, p.Clock, bodyTimeoutMs)
	defer stopBody()
	defer context.AfterFunc(body, cancel)()
	raw, err := readPage(resp)
	if err != nil {
		resp.Abort()
		return page, err
	}
	resp.Finish()
	if err := statusError(resp.StatusCode); err != nil {
		return page, err
	}
	var w wirePage
	if err := json.Unmarshal(raw, &w); err != nil {
		return page, err
	}
	if w.InstanceID != peerID {
		return page, ErrForeign
	}
	w.moveFromTexts()
	page.Era = w.Era
	if err := read.check(w); err != nil {
		return page, err
	}
	// A large answer takes time on a slow link, which adds to its age.
	page.AgeMs = max(w.AgeMs, 0) + p.Clock.Now() - began
	if w.StoreReturnedMs > 0 {
		page.StoreReturnedMs = w.StoreReturnedMs + p.Clock.Now() - began
	}
	if w.Snapshot {
		page.Snapshot, page.Records, page.NextOffset = true, w.Records, w.NextOffset
		return page, nil
	}
	for _, r := range w.Records {
		if r.Offset != page.NextOffset {
			return Page{}, errs.New("record %d is missing in the answer of the peer", page.NextOffset)
		}
		page.Records = append(page.Records, r)
		page.NextOffset++
	}
	return page, nil
}
