package kccapacity

import (
	"context"
	"fmt"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const ofRunners = "runners"

// runnerSizes are the sizes of the list; the last one is the target.
var runnerSizes = []int{50, 200, 800, 3200}

// versions of the target.
const versions = 9

func versionName(n int) string { return fmt.Sprintf("model-%d@%d", n/2, n%2+1) }

// runner returns a member as the platform lists it.
func runner(n int) kcmember.Member {
	zone := n % 5
	return kcmember.Member{
		ID: fmt.Sprintf("runner-%04d", n), Role: kcmember.RoleEngine, Addr: fmt.Sprintf("10.%d.%d.%d:8000", zone, n/200, n%200),
		Zone: zoneName(zone), Region: fmt.Sprintf("region-%d", zone/3), Versions: []string{versionName(n % versions)},
	}
}

func zoneName(n int) string { return fmt.Sprintf("zone-%c", 'a'+n) }

func runners(n int) []kcmember.Member {
	out := make([]kcmember.Member, n)
	for i := range out {
		out[i] = runner(i)
	}
	return out
}

// measureList measures reads of the list over TCP: without a change, after one
// change, and by an instance that has nothing yet. Processor time includes the
// stand-in of the list.
func measureList(ctx context.Context, r *Report) error {
	for _, size := range runnerSizes {
		if err := measureListOf(ctx, r, size); err != nil {
			return err
		}
	}
	return nil
}

func measureListOf(ctx context.Context, r *Report, size int) error {
	clock := kcclock.NewManual(0)
	list := &kcstandin.List{Clock: clock}
	for _, m := range runners(size) {
		list.Put(m)
	}
	mux := http.NewServeMux()
	list.Register(mux)
	w, stop, err := serve(ctx, mux)
	if err != nil {
		return err
	}
	defer stop()
	lister := func() *kcmember.HTTPLister {
		return &kcmember.HTTPLister{BaseURL: "http://" + w.addr, HTTP: http.DefaultClient}
	}
	d := kcmember.NewDirectory(kcmember.DirectoryOptions{Lister: lister(), Clock: clock})
	var failed error
	leaving := false
	for _, c := range []struct {
		name string
		n    int
		f    func() error
	}{
		{"list.first", 3, func() error { _, err := lister().List(ctx); return err }},
		{"list.unchanged", 10, func() error { return d.Refresh(ctx) }},
		{"list.changed", 5, func() error {
			m := runner(0)
			leaving = !leaving
			m.Leaving = leaving
			list.Put(m)
			return d.Refresh(ctx)
		}},
	} {
		calls, before := 0, 0.0
		r.paced(c.name, ofRunners, float64(size), c.n, func() {
			calls++
			if err := c.f(); err != nil {
				failed = err
			}
			if calls == 1 {
				before = w.bytes()
			}
		})
		r.add(c.name+".bytes", ofRunners, Bytes, one(float64(size), (w.bytes()-before)/float64(calls-1)))
	}
	return failed
}

// staticList is a list in memory.
type staticList []kcmember.Member

// List returns the members.
func (l staticList) List(context.Context) ([]kcmember.Member, error) { return l, nil }

func directoryOf(ctx context.Context, size int) (*kcmember.Directory, error) {
	d := kcmember.NewDirectory(kcmember.DirectoryOptions{Lister: staticList(runners(size)), Clock: kcclock.NewManual(1)})
	return d, d.Refresh(ctx)
}

// measureDirectory measures the index of the list in memory and its look-ups.
func measureDirectory(ctx context.Context, r *Report) error {
	for _, size := range runnerSizes {
		var d *kcmember.Directory
		var err error
		r.heap("directory", ofRunners, float64(size), func() any {
			d, err = directoryOf(ctx, size)
			return d
		})
		if err != nil {
			return err
		}
		if err := measureIndex(ctx, r, size); err != nil {
			return err
		}
		m := runner(0)
		r.cost("directory.lookup", ofRunners, float64(size), 10_000, func() { _ = d.Engines(m.Versions[0]) })
		r.cost("directory.hide", ofRunners, float64(size), 100, func() { d.Observe(m.ID, m.Addr, kcmember.ConnectionRefused) })
	}
	return nil
}

// alternatingList is a list of which one member changes with every read.
type alternatingList struct {
	lists [2][]kcmember.Member
	reads int
}

// List returns the lists in turn.
func (l *alternatingList) List(context.Context) ([]kcmember.Member, error) {
	l.reads++
	return l.lists[l.reads%2], nil
}

// measureIndex measures the index of a list with one change.
func measureIndex(ctx context.Context, r *Report, size int) error {
	l := &alternatingList{lists: [2][]kcmember.Member{runners(size), runners(size)}}
	l.lists[1][size-1].Leaving = true
	d := kcmember.NewDirectory(kcmember.DirectoryOptions{Lister: l, Clock: kcclock.NewManual(1)})
	var err error
	r.paced("directory.index", ofRunners, float64(size), 10, func() { err = d.Refresh(ctx) })
	return err
}
