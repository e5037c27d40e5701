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
	// listTimeoutMs bounds one read of the list, so that a silent connection
	// is replaced before the list becomes too old.
	listTimeoutMs = 2 * kcclock.Second
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
	opts DirectoryOptions
	view atomic.Pointer[view]

	mu     sync.Mutex
	readAt kcclock.Millis
	read   bool
}

// indexKey is a version of a model or the name of a plain service.
type indexKey struct {
	role Role
	name string
}

// view is immutable but for the records.
type view struct {
	members []Member
	entries []Member
	// byID has indexes into members.
	byID    map[string]int
	records map[string]*record
	// listed has all members, usable those that take new work.
	listed map[indexKey][]Member
	usable map[indexKey][]Member
	// hidden has the members that own observations keep from new work.
	hidden map[string]bool
	// stale is true if the list was too old when usable was computed.
	stale bool
}

// NewDirectory returns an empty directory.
func NewDirectory(opts DirectoryOptions) *Directory {
	d := &Directory{opts: opts}
	d.view.Store(&view{})
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
	ctx, cancel := kcclock.WithTimeout(ctx, d.opts.Clock, listTimeoutMs)
	defer cancel()
	askedAt := d.opts.Clock.Now()
	members, err := d.opts.Lister.List(ctx)
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.readAt, d.read = askedAt, true
	}
	v := d.view.Load()
	stale := d.stale(now)
	switch {
	case err == nil && !sameList(members, v.members):
		d.view.Store(newView(members, v.records, stale, now))
	case stale || v.stale || len(v.hidden) > 0:
		d.view.Store(newView(v.members, v.records, stale, now))
	}
	return err
}

// sameList reports whether two lists are equal. Most reads return the slice of
// the read before.
func sameList(a, b []Member) bool {
	if len(a) > 0 && len(a) == len(b) && &a[0] == &b[0] {
		return true
	}
	return slices.EqualFunc(a, b, equal)
}

func (d *Directory) stale(now kcclock.Millis) bool { return !d.read || now-d.readAt > MaxListAgeMs }

// newView computes the indexes of a list. Records of members that kept their
// id and address are kept.
func newView(members []Member, records map[string]*record, stale bool, now kcclock.Millis) *view {
	v := &view{
		members: members, byID: make(map[string]int, len(members)), records: make(map[string]*record, len(members)),
		listed: make(map[indexKey][]Member), usable: make(map[indexKey][]Member), hidden: make(map[string]bool), stale: stale,
	}
	for i := range members {
		m := &members[i]
		v.byID[m.ID] = i
		r, ok := records[m.ID]
		if !ok || r.addr != m.Addr {
			r = &record{addr: m.Addr}
		}
		v.records[m.ID] = r
		if r.hides(now) {
			v.hidden[m.ID] = true
		}
		if m.Role == RoleEntry {
			v.entries = append(v.entries, *m)
		}
		for k := range m.keys {
			v.listed[k] = append(v.listed[k], *m)
		}
	}
	for k := range v.listed {
		v.usable[k] = v.usableOf(k, now)
	}
	return v
}

// keys returns the index entries that the member stands in.
func (m *Member) keys(yield func(indexKey) bool) {
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

// usableOf returns the members that take new work. With an old list these are
// the ones that traffic confirms; only if there are none, the others are used
// too, because a call is the only way to learn of them.
func (v *view) usableOf(k indexKey, now kcclock.Millis) []Member {
	listed := v.listed[k]
	takesWork := func(m *Member) bool { return !m.Leaving && !v.records[m.ID].hides(now) }
	if !v.stale && !slices.ContainsFunc(listed, func(m Member) bool { return !takesWork(&m) }) {
		return listed
	}
	confirmed := make([]Member, 0, len(listed))
	var others []Member
	for i := range listed {
		m := &listed[i]
		switch {
		case !takesWork(m):
		case !v.stale || v.records[m.ID].confirmed(now):
			confirmed = append(confirmed, *m)
		default:
			others = append(others, *m)
		}
	}
	if len(confirmed) == 0 {
		return others
	}
	return confirmed
}

// reindexMember recomputes the index entries of one member. The caller holds
// the lock.
func (d *Directory) reindexMember(id string, now kcclock.Millis) {
	v := *d.view.Load()
	i, ok := v.byID[id]
	if !ok {
		return
	}
	v.hidden, v.usable = maps.Clone(v.hidden), maps.Clone(v.usable)
	delete(v.hidden, id)
	if v.records[id].hides(now) {
		v.hidden[id] = true
	}
	for k := range v.members[i].keys {
		v.usable[k] = v.usableOf(k, now)
	}
	d.view.Store(&v)
}

// Engines returns the engines that take new work for the version. The caller
// must not change the slice.
func (d *Directory) Engines(version string) []Member {
	return d.view.Load().usable[indexKey{RoleEngine, version}]
}

// Services returns the members that take new calls of the plain service. The
// caller must not change the slice.
func (d *Directory) Services(name string) []Member {
	return d.view.Load().usable[indexKey{RoleService, name}]
}

// Entries returns the entry instances, leaving ones included. The caller must
// not change the slice.
func (d *Directory) EntryInstances() []Member { return d.view.Load().entries }

// Members returns all members, leaving ones included. The caller must not
// change the slice.
func (d *Directory) Members() []Member { return d.view.Load().members }

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
	v := d.view.Load()
	s := Status{ListAgeMs: -1, Excluded: len(v.hidden), Upstreams: len(v.members) - len(v.entries)}
	for _, m := range v.members {
		if m.Leaving && m.Role != RoleEntry {
			s.Leaving++
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.read {
		s.ListAgeMs = d.opts.Clock.Now() - d.readAt
	}
	return s
}
