package kcedge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"

	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

const (
	// quarantineQueryIntervalMs is the time between queries of an instance that has
	// just started, maxQuarantineQueries the number of them. Peers that do not
	// answer then are not there.
	quarantineQueryIntervalMs = 100 * kcclock.Millisecond
	maxQuarantineQueries      = 20
	// maxStoredBlocks bounds the records that wait to be written.
	maxStoredBlocks = 32
	// blockWriteRetryMs is the time until a record that could not be written is
	// written again.
	blockWriteRetryMs = 2 * kcclock.Second
)

// quarantineSync asks some peers for what they know about crashing prompt parts
// after the start of the instance.
type quarantineSync struct {
	queriedAt kcclock.Millis
	queries   int
}

func (q *quarantineSync) query(p *peers, now kcclock.Millis) {
	select {
	case <-p.edge.gate.Quarantine.Synced():
		return
	default:
	}
	if q.queries == maxQuarantineQueries || now-q.queriedAt < quarantineQueryIntervalMs || !p.listKnown() {
		return
	}
	list := p.allRegions()
	if len(list) == 0 {
		p.edge.gate.Quarantine.MarkSynced()
		return
	}
	q.queriedAt = now
	q.queries++
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	p.send(kcload.EncodeQuarantineQuery(kcload.QuarantineQuery{Sender: uint32(p.ownID)}), list[:min(len(list), maxQueriedPeers)])
}

// answerQuarantineQuery sends what this instance knows to the peer that asked.
func (p *peers) answerQuarantineQuery(to destination) {
	r := p.edge.gate.Quarantine.Snapshot()
	for _, raw := range kcload.EncodeQuarantineReport(r, kcclock.Boot{}.Now()) {
		p.send(raw, []destination{to})
	}
}

// sendQuarantine tells the peers of all regions what this instance knows about
// crashing prompt parts.
func (p *peers) sendQuarantine(now kcclock.Millis) {
	if r, ok := p.edge.gate.Quarantine.Outgoing(); ok {
		p.tellAll("peers.quarantineTold", kcload.EncodeQuarantineReport(r, now))
	}
}

// quarantineStore keeps the blocked prompt parts in the store, for instances that
// start later. The instance that sees the last crash or the answer writes.
type quarantineStore struct {
	edge *Edge

	mu sync.Mutex
	// toWrite holds the blocks to write, nil for those to delete.
	toWrite map[kcquarantine.Part]*kcquarantine.Block
	wake    chan struct{}
}

func newQuarantineStore(e *Edge) *quarantineStore {
	return &quarantineStore{edge: e, toWrite: make(map[kcquarantine.Part]*kcquarantine.Block), wake: make(chan struct{}, 1)}
}

func (s *quarantineStore) blocked(b kcquarantine.Block) {
	s.edge.metrics.Count("quarantine.blocked")
	s.edge.Log.Warn("prompt part blocked", "part", b.Part, "crashes", b.Failures, "nextTrialMs", b.NextTrialAt-kcclock.Boot{}.Now(),
		"evidence", b)
	s.enqueue(b.Part, &b)
}

func (s *quarantineStore) cleared(p kcquarantine.Part) {
	s.edge.metrics.Count("quarantine.cleared")
	s.edge.Log.Info("prompt part cleared", "part", p)
	s.enqueue(p, nil)
}

func (s *quarantineStore) enqueue(p kcquarantine.Part, b *kcquarantine.Block) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.toWrite[p]; !known && len(s.toWrite) >= maxStoredBlocks {
		s.edge.metrics.Count("quarantine.notStored")
		return
	}
	s.toWrite[p] = b
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes the records. One that cannot be written is written later.
func (s *quarantineStore) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for !s.writeAll(ctx) {
			if kcclock.Wait(ctx, kcclock.Boot{}, blockWriteRetryMs) != nil {
				return
			}
		}
	}
}

func (s *quarantineStore) writeAll(ctx context.Context) bool {
	for {
		part, b, ok := s.next()
		if !ok {
			return true
		}
		if !s.write(ctx, part, b) {
			return false
		}
		s.mu.Lock()
		if s.toWrite[part] == b {
			delete(s.toWrite, part)
		}
		s.mu.Unlock()
	}
}

func (s *quarantineStore) next() (kcquarantine.Part, *kcquarantine.Block, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for part, b := range s.toWrite {
		return part, b, true
	}
	return 0, nil, false
}

func (s *quarantineStore) write(ctx context.Context, part kcquarantine.Part, b *kcquarantine.Block) bool {
	var raw []byte
	if b != nil {
		var err error
		if raw, err = json.Marshal(b.Shifted(kcclock.System{}.Now() - kcclock.Boot{}.Now())); err != nil {
			s.edge.Log.Error("cannot encode blocked prompt part", "part", part, "error", err)
			return true
		}
	}
	ctx, cancel := kcclock.WithTimeout(ctx, kcclock.Boot{}, storeCallTimeoutMs)
	defer cancel()
	err := s.edge.store.SetKey(ctx, kcplatform.TopicStatus, kcplatform.BlockKey(part.String()), raw)
	if err != nil {
		s.edge.Log.Warn("call of the store failed", "call", "write blocked prompt part", "part", part, "error", err)
	}
	return err == nil
}

// apply applies the record of a blocked part. A deleted record lifts the block.
func (s *quarantineStore) apply(key string, r kcfeed.Record) {
	part, err := kcquarantine.ParsePart(key)
	if err != nil {
		s.edge.Log.Warn("cannot decode blocked prompt part; ignoring it", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if len(r.Value) == 0 {
		s.edge.gate.Quarantine.Lift(part)
		s.edge.Log.Info("block of a prompt part lifted", "part", part, "offset", r.Offset)
		return
	}
	var b kcquarantine.Block
	if err := json.Unmarshal(r.Value, &b); err != nil {
		s.edge.Log.Warn("cannot decode blocked prompt part; ignoring it", "part", part, "offset", r.Offset, "error", err)
		return
	}
	b = b.Shifted(kcclock.Boot{}.Now() - kcclock.System{}.Now())
	if s.edge.gate.Quarantine.Restore(b) {
		s.edge.Log.Info("blocked prompt part read", "part", part, "crashes", b.Failures, "offset", r.Offset,
			"nextTrialMs", b.NextTrialAt-kcclock.Boot{}.Now())
	}
}
