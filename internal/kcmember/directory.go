package kcmember

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// MaxListAgeMs is the age above which the list is stale: members of a stale
	// list are used only if recent responses to this instance confirm them.
	MaxListAgeMs = 5 * kcclock.Second
	// listReadTimeoutMs bounds one read of the list. It is below MaxListAgeMs, so
	// that a stalled connection is replaced before the list becomes stale.
	listReadTimeoutMs = 2 * kcclock.Second
)

// DirectoryOptions configures a Directory.
type DirectoryOptions struct {
	Lister Lister
	Clock  kcclock.Clock
	// PollMs is the pause between two reads of the list.
	PollMs kcclock.Millis
}

// Directory holds the last member list that was read, combined with the results
// of this instance's own calls (passive health checking). Lookups read an
// immutable index that is rebuilt on changes; they neither lock nor allocate.
type Directory struct {
	opts     DirectoryOptions
	snapshot atomic.Pointer[snapshot]

	mu         sync.Mutex
	lastReadAt kcclock.Millis
	hasRead    bool
}

// indexKey identifies a group of interchangeable members: the engines that serve
// a version, or the members that run a plain service. name is the key
// name@version of the model or the name of the service.
type indexKey struct {
	role Role
	name string
}

// snapshot is one state of the directory. It is immutable except for the call
// histories, which successive snapshots share.
type snapshot struct {
	members        []Member
	entryInstances []Member
	// indexByID maps member ids to indexes into members.
	indexByID map[string]int
	histories map[string]*callHistory
	// listedByKey holds all members of a key, eligibleByKey those that may be
	// sent new work.
	listedByKey   map[indexKey][]Member
	eligibleByKey map[indexKey][]Member
	// excluded holds the ids of members that get no new work because of the
	// results of this instance's own calls.
	excluded map[string]bool
	// stale reports whether the list was stale when eligibleByKey was computed.
	stale bool
}

// NewDirectory returns an empty directory.
func NewDirectory(opts DirectoryOptions) *Directory {
	d := &Directory{opts: opts}
	d.snapshot.Store(&snapshot{})
	return d
}

// Run polls the list in a goroutine until ctx is done. The returned channel is
// closed when the goroutine ends.
func (d *Directory) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			_ = d.Refresh(ctx)
			select {
			case <-ctx.Done():
			case <-d.opts.Clock.After(d.opts.PollMs):
			}
		}
	}()
	return done
}

// Refresh reads the list once and recomputes the indexes that depend on the
// time. The members stay unchanged if the read fails.
func (d *Directory) Refresh(ctx context.Context) error {
	ctx, cancel := kcclock.WithTimeout(ctx, d.opts.Clock, listReadTimeoutMs)
	defer cancel()
	startedAt := d.opts.Clock.Now()
	members, err := d.opts.Lister.List(ctx)
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.lastReadAt, d.hasRead = startedAt, true
	}
	snap := d.snapshot.Load()
	stale := d.isStale(now)
	switch {
	case err == nil && !equalLists(members, snap.members):
		d.snapshot.Store(newSnapshot(members, snap.histories, stale, now))
	case stale || snap.stale || len(snap.excluded) > 0:
		d.snapshot.Store(newSnapshot(snap.members, snap.histories, stale, now))
	}
	return err
}

// equalLists reports whether two lists are equal. It compares the backing array
// first, because most reads return the slice of the previous read.
func equalLists(a, b []Member) bool {
	if len(a) > 0 && len(a) == len(b) && &a[0] == &b[0] {
		return true
	}
	return slices.EqualFunc(a, b, equalMembers)
}

func (d *Directory) isStale(now kcclock.Millis) bool {
	return !d.hasRead || now-d.lastReadAt > MaxListAgeMs
}

// newSnapshot computes the indexes of a list. A member whose id and address are
// unchanged keeps its call history.
func newSnapshot(members []Member, histories map[string]*callHistory, stale bool, now kcclock.Millis) *snapshot {
	snap := &snapshot{
		members: members, indexByID: make(map[string]int, len(members)), histories: make(map[string]*callHistory, len(members)),
		listedByKey: make(map[indexKey][]Member), eligibleByKey: make(map[indexKey][]Member),
		excluded: make(map[string]bool), stale: stale,
	}
	for i := range members {
		m := &members[i]
		snap.indexByID[m.ID] = i
		history, ok := histories[m.ID]
		if !ok || history.addr != m.Addr {
			history = &callHistory{addr: m.Addr}
		}
		snap.histories[m.ID] = history
		if history.isExcluded(now) {
			snap.excluded[m.ID] = true
		}
		if m.Role == RoleEntry {
			snap.entryInstances = append(snap.entryInstances, *m)
		}
		for k := range m.indexKeys {
			snap.listedByKey[k] = append(snap.listedByKey[k], *m)
		}
	}
	for k := range snap.listedByKey {
		snap.eligibleByKey[k] = snap.eligibleMembers(k, now)
	}
	return snap
}

// indexKeys iterates over the keys under which the member is indexed.
func (m *Member) indexKeys(yield func(indexKey) bool) {
	switch m.Role {
	case RoleEngine:
		for _, name := range m.Versions {
			if !yield(indexKey{RoleEngine, name}) {
				return
			}
		}
	case RoleService:
		yield(indexKey{RoleService, m.Service})
	}
}

// eligibleMembers returns the members of a key that may be sent new work. With
// a stale list these are the members with a recent response. If there are none,
// it returns the unconfirmed members, because only a call can show whether they
// still run.
func (snap *snapshot) eligibleMembers(k indexKey, now kcclock.Millis) []Member {
	listed := snap.listedByKey[k]
	eligible := func(m *Member) bool { return !m.Leaving && !snap.histories[m.ID].isExcluded(now) }
	if !snap.stale && !slices.ContainsFunc(listed, func(m Member) bool { return !eligible(&m) }) {
		return listed
	}
	confirmed := make([]Member, 0, len(listed))
	var unconfirmed []Member
	for i := range listed {
		m := &listed[i]
		switch {
		case !eligible(m):
		case !snap.stale || snap.histories[m.ID].isConfirmed(now):
			confirmed = append(confirmed, *m)
		default:
			unconfirmed = append(unconfirmed, *m)
		}
	}
	if len(confirmed) == 0 {
		return unconfirmed
	}
	return confirmed
}

// reindexMember recomputes the index entries of one member. The caller must hold
// d.mu.
func (d *Directory) reindexMember(id string, now kcclock.Millis) {
	snap := *d.snapshot.Load()
	i, ok := snap.indexByID[id]
	if !ok {
		return
	}
	snap.excluded, snap.eligibleByKey = maps.Clone(snap.excluded), maps.Clone(snap.eligibleByKey)
	delete(snap.excluded, id)
	if snap.histories[id].isExcluded(now) {
		snap.excluded[id] = true
	}
	for k := range snap.members[i].indexKeys {
		snap.eligibleByKey[k] = snap.eligibleMembers(k, now)
	}
	d.snapshot.Store(&snap)
}

// Engines returns the engines that may be sent new work for the version. The
// caller must not modify the slice.
func (d *Directory) Engines(version string) []Member {
	return d.snapshot.Load().eligibleByKey[indexKey{RoleEngine, version}]
}

// Services returns the members that may be sent new calls of the plain service.
// The caller must not modify the slice.
func (d *Directory) Services(name string) []Member {
	return d.snapshot.Load().eligibleByKey[indexKey{RoleService, name}]
}

// EntryInstances returns the entry instances, including those that are leaving.
// The caller must not modify the slice.
func (d *Directory) EntryInstances() []Member { return d.snapshot.Load().entryInstances }

// Members returns all members, including those that are leaving. The caller must
// not modify the slice.
func (d *Directory) Members() []Member { return d.snapshot.Load().members }

// Status is a summary of the directory for operators.
type Status struct {
	// ListAgeMs is the time since the start of the last successful read of the
	// list, or -1 if it was never read.
	ListAgeMs kcclock.Millis `json:"listAgeMs"`
	Upstreams int            `json:"upstreams"`
	// Leaving counts upstreams that the list marks as leaving.
	Leaving int `json:"leaving"`
	// Excluded counts upstreams that get no new work because of the results of
	// this instance's own calls.
	Excluded int `json:"hidden"`
}

// Status returns the current status of the directory.
func (d *Directory) Status() Status {
	snap := d.snapshot.Load()
	s := Status{ListAgeMs: -1, Excluded: len(snap.excluded), Upstreams: len(snap.members) - len(snap.entryInstances)}
	for _, m := range snap.members {
		if m.Leaving && m.Role != RoleEntry {
			s.Leaving++
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hasRead {
		s.ListAgeMs = d.opts.Clock.Now() - d.lastReadAt
	}
	return s
}
