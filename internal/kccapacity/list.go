package kccapacity

import (
	"context"
	"fmt"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const variableRunners = "runners"

// runnerCounts are the numbers of runners that are measured. The last one is the
// target.
var runnerCounts = []int{50, 200, 800, 3200}

// targetVersionCount is the number of model versions at the target size.
const targetVersionCount = 9

func versionName(n int) string { return fmt.Sprintf("model-%d@%d", n/2, n%2+1) }

// runnerMember returns a runner as a member in the platform's list.
func runnerMember(n int) kcmember.Member {
	zone := n % 5
	return kcmember.Member{
		ID: fmt.Sprintf("runner-%04d", n), Role: kcmember.RoleEngine, Addr: fmt.Sprintf("10.%d.%d.%d:8000", zone, n/200, n%200),
		Zone: zoneName(zone), Region: fmt.Sprintf("region-%d", zone/3), Versions: []string{versionName(n % targetVersionCount)},
	}
}

func zoneName(n int) string { return fmt.Sprintf("zone-%c", 'a'+n) }

func runnerMembers(n int) []kcmember.Member {
	out := make([]kcmember.Member, n)
	for i := range out {
		out[i] = runnerMember(i)
	}
	return out
}

// measureList measures reads of the member list over TCP: by an instance that has
// no copy yet, without a change, and after one change. CPU time includes that of
// the list stand-in.
func measureList(ctx context.Context, r *Report) error {
	for _, size := range runnerCounts {
		if err := measureListWithRunners(ctx, r, size); err != nil {
			return err
		}
	}
	return nil
}

func measureListWithRunners(ctx context.Context, r *Report, size int) error {
	clock := kcclock.NewManual(0)
	list := &kcstandin.InstanceList{Clock: clock}
	for _, m := range runnerMembers(size) {
		list.Put(m)
	}
	mux := http.NewServeMux()
	list.Register(mux)
	server, stop, err := startCountingServer(ctx, mux)
	if err != nil {
		return err
	}
	defer stop()
	newLister := func() *kcmember.HTTPLister {
		return &kcmember.HTTPLister{BaseURL: "http://" + server.addr, HTTP: http.DefaultClient}
	}
	d := kcmember.NewDirectory(kcmember.DirectoryOptions{Lister: newLister(), Clock: clock})
	var lastErr error
	leaving := false
	for _, c := range []struct {
		name               string
		callsPerRepetition int
		read               func() error
	}{
		{"list.first", 3, func() error { _, err := newLister().List(ctx); return err }},
		{"list.unchanged", 10, func() error { return d.Refresh(ctx) }},
		{"list.changed", 5, func() error {
			m := runnerMember(0)
			leaving = !leaving
			m.Leaving = leaving
			list.Put(m)
			return d.Refresh(ctx)
		}},
	} {
		calls, bytesBefore := 0, 0.0
		r.measurePacedCalls(c.name, variableRunners, float64(size), c.callsPerRepetition, func() {
			calls++
			if err := c.read(); err != nil {
				lastErr = err
			}
			if calls == 1 {
				bytesBefore = server.totalBytes()
			}
		})
		r.addPoint(c.name+".bytes", variableRunners, UnitBytes,
			singlePoint(float64(size), (server.totalBytes()-bytesBefore)/float64(calls-1)))
	}
	return lastErr
}

// staticList is a lister that returns a fixed list.
type staticList []kcmember.Member

// List returns the members.
func (l staticList) List(context.Context) ([]kcmember.Member, error) { return l, nil }

func newDirectory(ctx context.Context, size int) (*kcmember.Directory, error) {
	d := kcmember.NewDirectory(kcmember.DirectoryOptions{Lister: staticList(runnerMembers(size)), Clock: kcclock.NewManual(1)})
	return d, d.Refresh(ctx)
}

// measureDirectory measures the memory of the directory, its index, its lookups
// and hiding a member.
func measureDirectory(ctx context.Context, r *Report) error {
	for _, size := range runnerCounts {
		var d *kcmember.Directory
		var err error
		r.measureHeap("directory", variableRunners, float64(size), func() any {
			d, err = newDirectory(ctx, size)
			return d
		})
		if err != nil {
			return err
		}
		if err := measureDirectoryIndex(ctx, r, size); err != nil {
			return err
		}
		m := runnerMember(0)
		r.measureCalls("directory.lookup", variableRunners, float64(size), 10_000, func() { _ = d.Engines(m.Versions[0]) })
		r.measureCalls("directory.hide", variableRunners, float64(size), 100, func() {
			d.Observe(m.ID, m.Addr, kcmember.ConnectionRefused)
		})
	}
	return nil
}

// alternatingList is a lister whose result changes with each read.
type alternatingList struct {
	lists [2][]kcmember.Member
	reads int
}

// List returns the two lists alternately.
func (l *alternatingList) List(context.Context) ([]kcmember.Member, error) {
	l.reads++
	return l.lists[l.reads%2], nil
}

// measureDirectoryIndex measures a refresh that has to index a list in which one
// member has changed.
func measureDirectoryIndex(ctx context.Context, r *Report, size int) error {
	l := &alternatingList{lists: [2][]kcmember.Member{runnerMembers(size), runnerMembers(size)}}
	l.lists[1][size-1].Leaving = true
	d := kcmember.NewDirectory(kcmember.DirectoryOptions{Lister: l, Clock: kcclock.NewManual(1)})
	var err error
	r.measurePacedCalls("directory.index", variableRunners, float64(size), 10, func() { err = d.Refresh(ctx) })
	return err
}
