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

// ListFaults are the faults of the list. The zero value has none.
type ListFaults struct {
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

// List is the platform's list of instances.
type List struct {
	Clock kcclock.Clock

	mu      sync.Mutex
	faults  ListFaults
	changes []listChange
	// epoch tells the versions of this list from those of an earlier process.
	epoch string
}

// SetFaults replaces the faults.
func (l *List) SetFaults(f ListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Put adds a member or replaces the one with the same id.
func (l *List) Put(m kcmember.Member) { l.change(listChange{member: m}) }

// Delete removes a member.
func (l *List) Delete(id string) {
	l.change(listChange{member: kcmember.Member{ID: id}, removed: true})
}

func (l *List) change(c listChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == "" {
		l.epoch = rand.Text()
	}
	c.at = l.Clock.Now()
	l.changes = append(l.changes, c)
}

// List returns the members as they were before the lag.
func (l *List) List(context.Context) ([]kcmember.Member, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return nil, errs.New("list of instances is down")
	}
	members, _ := latest(l.changes[:l.visible()])
	return members, nil
}

// visible returns the number of changes that are older than the lag.
func (l *List) visible() int {
	n, now := len(l.changes), l.Clock.Now()
	for n > 0 && l.changes[n-1].at+l.faults.LagMs > now {
		n--
	}
	return n
}

// latest returns the members that changes leave in the list, in the order of
// their last change, and the ids that they remove.
func latest(changes []listChange) (members []kcmember.Member, removed []string) {
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

// page returns the answer to a reader that holds the version since, which is
// "" for one that holds none. It has the changes only if since is known.
func (l *List) page(since string) kcmember.ListResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.visible()
	members, _ := latest(l.changes[:n])
	page := kcmember.ListResponse{Version: l.version(n), Instances: members, Count: len(members)}
	epoch, text, _ := strings.Cut(since, "-")
	from, err := strconv.Atoi(text)
	if err == nil && epoch == l.epoch && from >= 0 && from <= n {
		page.Since = since
		page.Instances, page.Removed = latest(l.changes[from:n])
	}
	return page
}

func (l *List) version(n int) string { return l.epoch + "-" + strconv.Itoa(n) }

// serve answers a read of the list.
func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	down, tag := l.faults.Down, strconv.Quote(l.version(l.visible()))
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
	writeJSON(w, l.page(r.URL.Query().Get("since")))
}

// Register adds the endpoints of the list to mux.
func (l *List) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/instances", l.serve)
	mux.HandleFunc("PUT /standin/list/faults", func(w http.ResponseWriter, r *http.Request) {
		var f ListFaults
		if decode(w, r, &f) {
			l.SetFaults(f)
		}
	})
	mux.HandleFunc("PUT /standin/list/members", func(w http.ResponseWriter, r *http.Request) {
		var m kcmember.Member
		if decode(w, r, &m) {
			l.Put(m)
		}
	})
	mux.HandleFunc("DELETE /standin/list/members/{id}", func(_ http.ResponseWriter, r *http.Request) {
		l.Delete(r.PathValue("id"))
	})
}
