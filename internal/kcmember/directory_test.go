package kcmember_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

type fakeLister struct {
	members []kcmember.Member
	err     error
}

func (l *fakeLister) List(context.Context) ([]kcmember.Member, error) { return l.members, l.err }

func parseMember(spec string) kcmember.Member {
	spec, leaving := strings.CutSuffix(spec, ":leaving")
	id, addr, _ := strings.Cut(spec, "@")
	return kcmember.Member{ID: id, Addr: addr, Role: kcmember.RoleEngine, Leaving: leaving, Versions: []string{"m@1"}}
}

var observationsByName = map[string]kcmember.Observation{
	"answered": kcmember.Responded, "leaving": kcmember.RespondedLeaving,
	"refused": kcmember.ConnectionRefused, "failed": kcmember.CallFailed,
}

// Guards against new work for upstreams that have left or do not respond, also
// while the list service is down, and against upstreams that stay excluded
// forever.
func TestDirectoryCases(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/directory.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			clock, list := kcclock.NewManual(1000), &fakeLister{}
			d := kcmember.NewDirectory(kcmember.DirectoryOptions{Lister: list, Clock: clock})
			for n, line := range strings.Split(strings.TrimSpace(string(f.Data)), "\n") {
				if err := runStep(t, d, clock, list, strings.Fields(line)); err != nil {
					t.Fatalf("line %d, %s: %v", n+1, line, err)
				}
			}
		})
	}
}

func runStep(t *testing.T, d *kcmember.Directory, clock *kcclock.Manual, list *fakeLister, words []string) error {
	t.Helper()
	switch words[0] {
	case "list":
		list.members, list.err = nil, nil
		for _, spec := range words[1:] {
			list.members = append(list.members, parseMember(spec))
		}
	case "listDown":
		list.err = errors.New("down")
	case "read":
		if err := d.Refresh(t.Context()); !errors.Is(err, list.err) {
			return err
		}
	case "wait":
		ms, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		clock.Advance(kcclock.Millis(ms))
	case "see":
		m := parseMember(words[1])
		d.Observe(m.ID, m.Addr, observationsByName[words[2]])
	case "want":
		var got []string
		for _, m := range d.Engines("m@1") {
			got = append(got, m.ID)
		}
		if strings.Join(got, " ") != strings.Join(words[1:], " ") {
			return fmt.Errorf("got %v", got)
		}
	default:
		return fmt.Errorf("unknown step %s", words[0])
	}
	return nil
}

func newLargeDirectory(tb testing.TB) *kcmember.Directory {
	tb.Helper()
	list := &fakeLister{}
	for n := range 3200 {
		list.members = append(list.members, kcmember.Member{
			ID: fmt.Sprintf("e%d", n), Role: kcmember.RoleEngine, Versions: []string{fmt.Sprintf("m@%d", n%9)},
		})
	}
	d := kcmember.NewDirectory(kcmember.DirectoryOptions{Lister: list, Clock: kcclock.NewManual(1)})
	if err := d.Refresh(tb.Context()); err != nil {
		tb.Fatal(err)
	}
	return d
}

// Guards against lookups and observations of successful calls whose cost grows
// with the size of the list.
func TestLookupDoesNotAllocate(t *testing.T) {
	d := newLargeDirectory(t)
	if n := testing.AllocsPerRun(100, func() {
		_ = d.Engines("m@3")
		d.Observe("e3", "", kcmember.Responded)
	}); n != 0 {
		t.Fatalf("%.0f allocations", n)
	}
}

func BenchmarkLookup(b *testing.B) {
	d := newLargeDirectory(b)
	for b.Loop() {
		_ = d.Engines("m@3")
	}
}

func BenchmarkRefresh(b *testing.B) {
	d := newLargeDirectory(b)
	for b.Loop() {
		_ = d.Refresh(b.Context())
	}
}

func BenchmarkExclude(b *testing.B) {
	d := newLargeDirectory(b)
	for b.Loop() {
		d.Observe("e3", "", kcmember.ConnectionRefused)
	}
}
