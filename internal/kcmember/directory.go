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
	// MaxListAgeMs is the age from which the list is used only for members
	// that the traffic of this instance confirms.
	MaxListAgeMs = 5 * kcclock.Second
	// listReadTimeoutMs bounds one read of the list, so that a silent connection
	// is replaced before the list becomes too old.
	listReadTimeoutMs = 2 * kcclock.Second
)

// DirectoryOptions configures a Directory.
type DirectoryOptions struct {
	Lister Lister
	Clock  kcclock.Clock
	// PollMs is the time between two reads of the list.
	PollMs kcclock.Millis
}

// Directory is the newest known list of members, together with what the calls
// of this instance showed of them. Lookups read an index that is computed when
// something changes; they do not lock or allocate.
type Directory struct {
	opts     DirectoryOptions
	snapshot atomic.Pointer[snapshot]

	mu         sync.Mutex
	lastReadAt kcclock.Millis
	hasRead    bool
}

// indexKey is a version of a model or the name of a plain service.
type indexKey struct {
	role Role
	name string
}

// view is immutable but for the records.
type snapshot struct {
	members        []Member
	entryInstances []Member
	// indexByID has indexes into members.
	indexByID map[string]int
	histories map[string]*callHistory
	// listed has all members, usable those that take new work.
	listedByKey   map[indexKey][]Member
	eligibleByKey map[indexKey][]Member
	// hidden has the members that own observations keep from new work.
	excluded map[string]bool
	// stale is true if the list was too old when usable was computed.
	stale bool
}

// NewDirectory returns an empty directory.
func NewDirectory(opts DirectoryOptions) *Directory {
	d := &Directory{opts: opts}
	d.snapshot.Store(&snapshot{})
	return d
}

// Run reads the list until ctx ends. The returned channel is closed then.
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

// Refresh reads the list once and recomputes what depends on the time. The
// members stay as they are if the read fails.
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
	v := d.snapshot.Load()
	stale := d.isStale(now)
	switch {
	case err == nil && !equalLists(members, v.members):
		d.snapshot.Store(newSnapshot(members, v.histories, stale, now))
	case stale || v.stale || len(v.excluded) > 0:
		d.snapshot.Store(newSnapshot(v.members, v.histories, stale, now))
	}
	return err
}

// equalLists reports whether two lists are equal. Most reads return the slice of
// the read before.
func equalLists(a, b []Member) bool {
	if len(a) > 0 && len(a) == len(b) && &a[0] == &b[0] {
		return true
	}
	return slices.EqualFunc(a, b, equalMembers)
}

func (d *Directory) isStale(now kcclock.Millis) bool {
	return !d.hasRead || now-d.lastReadAt > MaxListAgeMs
}

// newSnapshot computes the indexes of a list. Records of members that kept their
// id and address are kept.
func newSnapshot(members []Member, histories map[string]*callHistory, stale bool, now kcclock.Millis) *snapshot {
	v := &snapshot{
		members: members, indexByID: make(map[string]int, len(members)), histories: make(map[string]*callHistory, len(members)),
		listedByKey: make(map[indexKey][]Member), eligibleByKey: make(map[indexKey][]Member), excluded: make(map[string]bool), stale: stale,
	}
	for i := range members {
		m := &members[i]
		v.indexByID[m.ID] = i
		r, ok := histories[m.ID]
		if !ok || r.addr != m.Addr {
			r = &callHistory{addr: m.Addr}
		}
		v.histories[m.ID] = r
		if r.isExcluded(now) {
			v.excluded[m.ID] = true
		}
		if m.Role == RoleEntry {
			v.entryInstances = append(v.entryInstances, *m)
		}
		for k := range m.indexKeys {
			v.listedByKey[k] = append(v.listedByKey[k], *m)
		}
	}
	for k := range v.listedByKey {
		v.eligibleByKey[k] = v.eligibleMembers(k, now)
	}
	return v
}

// keys returns the index entries that the member stands in.
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

// eligibleMembers returns the members that take new work. With an old list these are
// the ones that traffic confirms; only if there are none, the others are used
// too, because a call is the only way to learn of them.
func (v *snapshot) eligibleMembers(k indexKey, now kcclock.Millis) []Member {
	listed := v.listedByKey[k]
	eligible := func(m *Member) bool { return !m.Leaving && !v.histories[m.ID].isExcluded(now) }
	if !v.stale && !slices.ContainsFunc(listed, func(m Member) bool { return !eligible(&m) }) {
		return listed
	}
	confirmed := make([]Member, 0, len(listed))
	var unconfirmed []Member
	for i := range listed {
		m := &listed[i]
		switch {
		case !eligible(m):
		case !v.stale || v.histories[m.ID].isConfirmed(now):
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

// reindexMember recomputes the index entries of one member. The caller holds
// the lock.
func (d *Directory) reindexMember(id string, now kcclock.Millis) {
	v := *d.snapshot.Load()
	i, ok := v.indexByID[id]
	if !ok {
		return
	}
	v.excluded, v.eligibleByKey = maps.Clone(v.excluded), maps.Clone(v.eligibleByKey)
	delete(v.excluded, id)
	if v.histories[id].isExcluded(now) {
		v.excluded[id] = true
	}
	for k := range v.members[i].indexKeys {
		v.eligibleByKey[k] = v.eligibleMembers(k, now)
	}
	d.snapshot.Store(&v)
}

// Engines returns the engines that take new work for the version. The caller
// must not change the slice.
func (d *Directory) Engines(version string) []Member {
	return d.snapshot.Load().eligibleByKey[indexKey{RoleEngine, version}]
}

// Services returns the members that take new calls of the plain service. The
// caller must not change the slice.
func (d *Directory) Services(name string) []Member {
	return d.snapshot.Load().eligibleByKey[indexKey{RoleService, name}]
}

// Entries returns the entry instances, leaving ones included. The caller must
// not change the slice.
func (d *Directory) EntryInstances() []Member { return d.snapshot.Load().entryInstances }

// Members returns all members, leaving ones included. The caller must not
// change the slice.
func (d *Directory) Members() []Member { return d.snapshot.Load().members }

// Status describes the directory.
type Status struct {
	// ListAgeMs is the age of the list, or -1 if it was never read.
	ListAgeMs kcclock.Millis `json:"listAgeMs"`
	Upstreams int            `json:"upstreams"`
	// Leaving counts upstreams that the list marks as leaving.
	Leaving int `json:"leaving"`
	// Hidden counts upstreams that own observations keep from new work.
	Excluded int `json:"hidden"`
}

// Status returns the state of the directory now.
func (d *Directory) Status() Status {
	v := d.snapshot.Load()
	s := Status{ListAgeMs: -1, Excluded: len(v.excluded), Upstreams: len(v.members) - len(v.entryInstances)}
	for _, m := range v.members {
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
