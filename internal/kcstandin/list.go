package kcstandin

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// InstanceListFaults are the faults that an InstanceList injects. The zero value
// injects none.
type InstanceListFaults struct {
	// Down makes every read fail.
	Down bool `json:"down" help:"Refuse every read."`
	// LagMs is the age of the state that a read returns.
	LagMs kcclock.Millis `json:"lagMs" help:"Age of the list that is read, in milliseconds."`
}

// listChange adds or replaces a member, or removes it.
type listChange struct {
	at      kcclock.Millis
	member  kcmember.Member
	removed bool
}

// InstanceList is an in-memory version of the platform's list of instances. It
// keeps all changes, so that a read can return an older state or a difference.
type InstanceList struct {
	Clock kcclock.Clock

	mu      sync.Mutex
	faults  InstanceListFaults
	changes []listChange
	// epoch is random. It distinguishes the versions of this list from those of an
	// earlier process.
	epoch string
}

// SetFaults replaces the faults.
func (l *InstanceList) SetFaults(f InstanceListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Put adds a member or replaces the one with the same id.
func (l *InstanceList) Put(m kcmember.Member) { l.appendChange(listChange{member: m}) }

// Delete removes the member with the given id.
func (l *InstanceList) Delete(id string) {
	l.appendChange(listChange{member: kcmember.Member{ID: id}, removed: true})
}

func (l *InstanceList) appendChange(c listChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == "" {
		l.epoch = rand.Text()
	}
	c.at = l.Clock.Now()
	l.changes = append(l.changes, c)
}

// List returns the members as they were LagMs ago.
func (l *InstanceList) List(context.Context) ([]kcmember.Member, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return nil, errs.New("list of instances is down")
	}
	members, _ := foldChanges(l.changes[:l.visibleChanges()])
	return members, nil
}

// visibleChanges returns the number of changes that are at least LagMs old.
func (l *InstanceList) visibleChanges() int {
	n, now := len(l.changes), l.Clock.Now()
	for n > 0 && l.changes[n-1].at+l.faults.LagMs > now {
		n--
	}
	return n
}

// foldChanges applies changes to an empty list. It returns the resulting members,
// in the order of their last change, and the ids of the members whose last change
// removed them.
func foldChanges(changes []listChange) (members []kcmember.Member, removed []string) {
	seen := kcset.New[string]()
	for _, c := range slices.Backward(changes) {
		switch {
		case seen.Has(c.member.ID):
			continue
		case c.removed:
			removed = append(removed, c.member.ID)
		default:
			members = append(members, c.member)
		}
		seen.Add(c.member.ID)
	}
	slices.Reverse(members)
	return members, removed
}

// pageSince returns the response to a reader that holds the version since, or ""
// if it holds none. The page contains only the changes after since if since is a
// version of this list, and the whole list otherwise.
func (l *InstanceList) pageSince(since string) kcmember.ListResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.visibleChanges()
	members, _ := foldChanges(l.changes[:n])
	page := kcmember.ListResponse{Version: l.versionAt(n), Instances: members, Count: len(members)}
	epoch, text, _ := strings.Cut(since, "-")
	from, err := strconv.Atoi(text)
	if err == nil && epoch == l.epoch && from >= 0 && from <= n {
		page.Since = since
		page.Instances, page.Removed = foldChanges(l.changes[from:n])
	}
	return page
}

func (l *InstanceList) versionAt(n int) string { return l.epoch + "-" + strconv.Itoa(n) }

// serveList handles a read of the list. It supports conditional requests by ETag.
func (l *InstanceList) serveList(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	down, tag := l.faults.Down, strconv.Quote(l.versionAt(l.visibleChanges()))
	l.mu.Unlock()
	if down {
		http.Error(w, "list of instances is down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, l.pageSince(r.URL.Query().Get("since")))
}

// Register adds the endpoints of the list to mux.
func (l *InstanceList) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/instances", l.serveList)
	mux.HandleFunc("PUT /standin/list/faults", func(w http.ResponseWriter, r *http.Request) {
		var f InstanceListFaults
		if decodeJSON(w, r, &f) {
			l.SetFaults(f)
		}
	})
	mux.HandleFunc("PUT /standin/list/members", func(w http.ResponseWriter, r *http.Request) {
		var m kcmember.Member
		if decodeJSON(w, r, &m) {
			l.Put(m)
		}
	})
	mux.HandleFunc("DELETE /standin/list/members/{id}", func(_ http.ResponseWriter, r *http.Request) {
		l.Delete(r.PathValue("id"))
	})
}
