package kcbill

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	simShards     = 2
	simMaxPending = 3
	simMaxCopies  = 5
)

var errLink = errors.New("link is cut")

type node struct {
	member kcmember.Member
	ledger *Ledger
	holder *Holder
}

// request is what the caller and the upstream know about a request.
type request struct {
	sender     string
	repeatable bool
	bill       Bill
	// visible means that the caller has seen the id, or that the operation was
	// sent.
	visible, closed, released, voided bool
}

// cluster runs several instances against one log on a manual clock.
type cluster struct {
	clock  *kcclock.Manual
	log    *kcstandin.Log
	nodes  map[string]*node
	listed []kcmember.Member
	// linksDown fails every message between instances, answersLost loses their
	// answers.
	linksDown, answersLost bool
	// delayed holds messages that will be delivered a second time.
	delayed         []func()
	requests        map[string]*request
	lastNumber      int
	underReplicated kcset.Set[string]
}

func newCluster(seed uint64) *cluster {
	w := &cluster{
		clock: kcclock.NewManual(1_000_000), nodes: map[string]*node{}, requests: map[string]*request{},
		underReplicated: kcset.New[string](),
	}
	w.log = kcstandin.NewLog(kcstandin.LogOptions{Clock: w.clock, Seed: seed})
	return w
}

type simPeers struct {
	w    *cluster
	self string
}

func (p simPeers) Live() []kcmember.Member {
	return slices.DeleteFunc(slices.Clone(p.w.listed), func(m kcmember.Member) bool { return m.ID == p.self })
}

func (p simPeers) Hold(_ context.Context, to kcmember.Member, from string, bills []Bill) error {
	n, alive := p.w.nodes[to.ID]
	if !alive || p.w.linksDown {
		return errLink
	}
	if err := n.holder.Hold(from, bills); err != nil || !p.w.answersLost {
		return err
	}
	p.w.delayed = append(p.w.delayed, func() { _ = n.holder.Hold(from, bills) })
	return errLink
}

func (w *cluster) deliverDelayed() {
	for _, deliver := range w.delayed {
		deliver()
	}
	w.delayed = nil
}

func (p simPeers) Release(_ context.Context, to kcmember.Member, from string, ids []string) error {
	if n, alive := p.w.nodes[to.ID]; alive && !p.w.linksDown {
		n.holder.Release(from, ids)
	}
	return nil
}

func (w *cluster) start(id, zone string) {
	m := kcmember.Member{ID: id, Role: kcmember.RoleEntry, Zone: zone, Region: "r"}
	w.nodes[id] = &node{member: m, ledger: NewLedger(LedgerOptions{
		Instance: id, Zone: zone, Region: "r", Log: w.log, Clock: w.clock, Peers: simPeers{w, id},
		Shards: simShards, FlushIntervalMs: 200, CopyIntervalMs: 5, MaxPending: simMaxPending,
	}), holder: NewHolder(HolderOptions{
		Log: w.log, Clock: w.clock, Shards: simShards, MaxCopies: simMaxCopies, SweepIntervalMs: 1000,
		SenderTimeoutMs: 5000, ReleaseTimeoutMs: 30_000, ListedInstances: w.listedIDs,
	})}
}

func (w *cluster) listedIDs() []string {
	var ids []string
	for _, m := range w.listed {
		ids = append(ids, m.ID)
	}
	return ids
}

func (w *cluster) refreshList() {
	w.listed = nil
	for _, id := range slices.Sorted(maps.Keys(w.nodes)) {
		w.listed = append(w.listed, w.nodes[id].member)
	}
}

func (w *cluster) open(sender string, repeatable bool, price int64) (string, error) {
	w.lastNumber++
	b := Bill{
		RequestID: fmt.Sprintf("q%03d", w.lastNumber), Workspace: "acme", Version: "v", Price: price,
		Deadline: w.clock.Now() + 20_000,
	}
	if err := w.nodes[sender].ledger.Open(b, repeatable); err != nil {
		return "", err
	}
	b.Group = sender
	w.requests[b.RequestID] = &request{sender: sender, repeatable: repeatable, bill: NewOpened(b, repeatable)}
	return b.RequestID, nil
}

func (w *cluster) close(id string, delivered bool) {
	r := w.requests[id]
	if r.closed {
		return
	}
	r.closed, r.bill.State, r.bill.Amount = true, Closed, 0
	if r.repeatable && delivered || !r.repeatable && r.visible {
		r.bill.Amount = r.bill.Price
	}
	w.nodes[r.sender].ledger.Close(id, "", r.bill.Amount, kcapi.Completed)
}

// voidUnreleased voids the closed bills whose answers were not released.
func (w *cluster) voidUnreleased() {
	for _, id := range slices.Sorted(maps.Keys(w.requests)) {
		r := w.requests[id]
		n, alive := w.nodes[r.sender]
		if alive && r.closed && !r.released && r.repeatable && n.ledger.Void(id) {
			r.bill.Amount, r.voided = 0, true
		}
	}
}

// stopPlanned performs a planned stop of an instance. It returns false if the
// stop is not possible yet.
func (w *cluster) stopPlanned(n *node) bool {
	for id, r := range w.requests {
		if r.sender == n.member.ID {
			w.close(id, true)
		}
	}
	w.listed = slices.DeleteFunc(w.listed, func(m kcmember.Member) bool { return m.ID == n.member.ID })
	return n.ledger.Drain(canceled()) == nil &&
		n.holder.HandOver(context.Background(), simPeers{w, n.member.ID}) == nil
}

// observeDurable records what callers get to see once a bill is durable: the
// first byte, the dispatch of an operation, or the end of the answer.
func (w *cluster) observeDurable() {
	for id, r := range w.requests {
		if n, alive := w.nodes[r.sender]; alive && n.ledger.IsDurable(id) {
			r.visible, r.released = r.visible || !r.closed, r.closed && !r.voided
		}
	}
}

func (w *cluster) readIndex() *Index {
	b := NewIndex()
	for i := range simShards {
		stream := fmt.Sprintf("bills-%02d", i)
		page, err := w.log.Read(context.Background(), stream, 0, 1<<20, 0)
		if err != nil {
			panic(err)
		}
		for _, r := range page.Records {
			b.Fold(stream, r)
		}
	}
	return b
}

// crash ends an instance without notice and records the bills that have only
// one copy left.
func (w *cluster) crash(n *node) {
	id := n.member.ID
	delete(w.nodes, id)
	for requestID := range n.holder.copies {
		w.underReplicated.Add(requestID)
	}
	for requestID, r := range w.requests {
		if r.sender == id {
			w.underReplicated.Add(requestID)
		}
	}
}

// fullyReplicated reports whether every bill that lost a copy is in the memory
// of two instances or in the log again. Only one failure at a time is
// guaranteed to be harmless.
func (w *cluster) fullyReplicated() bool {
	for id := range w.underReplicated {
		var own *pendingBill
		if n, alive := w.nodes[w.requests[id].sender]; alive {
			own = n.ledger.pending[id]
		}
		held, covered := false, own == nil
		for _, n := range w.nodes {
			if c, ok := n.holder.copies[id]; ok {
				held, covered = true, covered || c.bill.Amount == own.bill.Amount
			}
		}
		if !covered || own == nil && held {
			return false
		}
	}
	clear(w.underReplicated)
	return true
}

// recover removes every fault and runs until all bills are in the log.
func (w *cluster) recover() {
	w.log.SetFaults(kcstandin.LogFaults{})
	w.linksDown, w.answersLost = false, false
	w.deliverDelayed()
	w.refreshList()
	for id, r := range w.requests {
		if _, alive := w.nodes[r.sender]; alive {
			w.close(id, true)
		}
	}
	for range 8 {
		w.clock.Advance(10_000)
		for _, id := range slices.Sorted(maps.Keys(w.nodes)) {
			n := w.nodes[id]
			_ = n.ledger.CopyToPeers(context.Background())
			_ = n.ledger.Flush(context.Background())
			_ = n.holder.Sweep(context.Background())
		}
	}
}

// verifyBills compares the bills with what the callers know.
func (w *cluster) verifyBills(t fataler) {
	book := w.readIndex()
	for id, r := range w.requests {
		if fault := w.billFault(book, id, r); fault != "" {
			t.Fatalf("request %s of %s: %s: %+v", id, r.sender, fault, r)
		}
	}
	if n := len(book.All()); n > len(w.requests) {
		t.Fatalf("%d bills for %d requests", n, len(w.requests))
	}
	var sum int64
	count := 0
	for _, total := range book.Totals() {
		sum, count = sum+total.Amount, count+total.Count
	}
	for _, c := range book.All() {
		sum -= c.Amount
	}
	if sum != 0 || count != len(book.All()) {
		t.Fatalf("totals count %d bills and are off by %d", count, sum)
	}
	for id, n := range w.nodes {
		if n.ledger.Pending() > 0 || n.holder.CopyCount() > 0 {
			t.Fatalf("%s keeps %d bills and %d copies", id, n.ledger.Pending(), n.holder.CopyCount())
		}
	}
}

// billFault describes what is wrong with the bill of a request, or returns "".
func (w *cluster) billFault(book *Index, id string, r *request) string {
	got, ok := book.Lookup(id)
	_, alive := w.nodes[r.sender]
	final, operation := alive || r.released, !r.repeatable && r.visible
	switch {
	case !ok && (alive || r.visible):
		return "no bill"
	case !ok:
		return ""
	case final && got.Amount != r.bill.Amount:
		return fmt.Sprintf("billed %d, want %d", got.Amount, r.bill.Amount)
	case operation && got.Amount != r.bill.Price:
		return fmt.Sprintf("may have run and is billed %d", got.Amount)
	}
	return got.Conflict
}

type fataler interface{ Fatalf(string, ...any) }

// Guards against a lost or duplicate bill when instances crash or stop, the log
// is down, loses answers or refuses appends, messages between instances are
// lost, or the list lags. Instances crash one at a time: a bill is in the
// memory of only two instances until it is in the log.
func TestEachRequestIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(rapid.Uint64().Draw(t, "seed"))
		for i := range 4 {
			w.start(fmt.Sprintf("i%d", i), fmt.Sprintf("z%d", i%2))
		}
		w.refreshList()
		ctx := context.Background()
		pick := func(t *rapid.T) *node {
			return w.nodes[rapid.SampledFrom(slices.Sorted(maps.Keys(w.nodes))).Draw(t, "node")]
		}
		replace := func(n *node) {
			w.crash(n)
			w.lastNumber++
			w.start(fmt.Sprintf("n%03d", w.lastNumber), n.member.Zone)
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				_, _ = w.open(pick(t).member.ID, rapid.Bool().Draw(t, "repeatable"), rapid.Int64Range(1, 9).Draw(t, "price"))
			},
			"close": func(t *rapid.T) {
				if len(w.requests) == 0 {
					t.Skip()
				}
				id := rapid.SampledFrom(slices.Sorted(maps.Keys(w.requests))).Draw(t, "id")
				if _, alive := w.nodes[w.requests[id].sender]; alive {
					w.close(id, rapid.Bool().Draw(t, "delivered"))
				}
			},
			"void":  func(*rapid.T) { w.voidUnreleased() },
			"copy":  func(t *rapid.T) { _ = pick(t).ledger.CopyToPeers(ctx); w.observeDurable() },
			"flush": func(t *rapid.T) { _ = pick(t).ledger.Flush(ctx); w.observeDurable() },
			"sweep": func(t *rapid.T) { _ = pick(t).holder.Sweep(ctx) },
			"list":  func(*rapid.T) { w.refreshList() },
			"late":  func(*rapid.T) { w.deliverDelayed() },
			"links": func(t *rapid.T) {
				w.linksDown, w.answersLost = rapid.IntRange(0, 4).Draw(t, "cut") == 0, rapid.IntRange(0, 4).Draw(t, "lossy") == 0
			},
			"log": func(t *rapid.T) {
				share := rapid.SampledFrom([]float64{0, 0.5})
				w.log.SetFaults(kcstandin.LogFaults{
					Down: rapid.IntRange(0, 2).Draw(t, "down") == 0, LoseAnswers: share.Draw(t, "lose"), RefuseAppends: share.Draw(t, "refuse"),
				})
			},
			"advance": func(t *rapid.T) { w.clock.Advance(rapid.SampledFrom([]kcclock.Millis{10, 2000, 40_000}).Draw(t, "ms")) },
			"kill": func(t *rapid.T) {
				if w.fullyReplicated() {
					replace(pick(t))
				}
			},
			"stop": func(t *rapid.T) {
				if n := pick(t); w.stopPlanned(n) {
					replace(n)
				}
			},
			"": func(t *rapid.T) {
				for id, n := range w.nodes {
					if n.ledger.Pending() > simMaxPending || n.holder.CopyCount() > simMaxCopies {
						t.Fatalf("%s exceeds a bound: %d pending, %d held", id, n.ledger.Pending(), n.holder.CopyCount())
					}
				}
			},
		})
		w.recover()
		w.verifyBills(t)
	})
}

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
