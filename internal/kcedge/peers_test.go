package kcedge

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

func newPeerEntry(zone, addr string) peerEntry {
	return peerEntry{Zone: zone, Region: "r", Address: netip.MustParseAddrPort(addr)}
}

// Guards against choosing an instance with a slow link as the reader of an
// availability zone, which then relays the lists to the whole zone, although
// another instance has a fast link.
func TestChooseReaderPrefersFastestLink(t *testing.T) {
	heard := make(map[string]peerEntry)
	for i := range 12 {
		e := newPeerEntry("a", fmt.Sprintf("10.0.0.%d:1", i+1))
		if e.LinkMbps = 10; i == 5 {
			e.LinkMbps = 200
		}
		heard[fmt.Sprint("a", i)] = e
	}
	fast := heard["a5"].Address.String()
	own := kctable.Deployment{Instance: "own", Zone: "a", LinkMbps: 10}
	if got, other := chooseReader(own, heard, false); !other || got != fast {
		t.Errorf("%s reads, want %s", got, fast)
	}
	own.LinkMbps = 1000
	if got, other := chooseReader(own, heard, false); other {
		t.Errorf("%s reads for an instance with a faster link", got)
	}
}

// Guards against instances of an availability zone that choose different
// readers, and against a zone without a reader although another zone of the
// region can read the store. In an incident the store rejected both instances
// of a zone, which then refused all requests.
func TestChooseReader(t *testing.T) {
	all := map[string]peerEntry{
		"a1": newPeerEntry("a", "10.0.0.1:1"), "a2": newPeerEntry("a", "10.0.0.2:1"), "a3": newPeerEntry("a", "10.0.0.3:1"),
		"b1": newPeerEntry("b", "10.0.1.1:1"),
	}
	reader := func(own string, failing bool, names ...string) string {
		heard := map[string]peerEntry{}
		for _, n := range names {
			heard[n] = all[n]
		}
		d := kctable.Deployment{Instance: own, Zone: all[own].Zone}
		addr, other := chooseReader(d, heard, failing)
		if !other {
			return all[own].Address.String()
		}
		return addr
	}
	zoneReader := reader("a1", false, "a2", "a3", "b1")
	for own, others := range map[string][]string{"a2": {"a1", "a3", "b1"}, "a3": {"b1", "a2", "a1"}} {
		if got := reader(own, false, others...); got != zoneReader {
			t.Errorf("%s reads from %s, a1 from %s", own, got, zoneReader)
		}
	}
	if zoneReader == all["b1"].Address.String() {
		t.Error("an instance of another availability zone reads although one of its own can")
	}
	for _, own := range []string{"a1", "a2", "a3"} {
		if got := reader(own, true, "b1"); got != all["b1"].Address.String() {
			t.Errorf("%s, whose zone cannot read, reads from %s", own, got)
		}
		if got := reader(own, true); got != all[own].Address.String() {
			t.Errorf("%s, which hears from no peer, reads from %s", own, got)
		}
	}
	for range 20 { // the iteration order of the map must not matter
		if got := reader("a1", true, "a2", "b1"); got != all["a2"].Address.String() {
			t.Fatalf("a1 reads from %s although a2 can", got)
		}
	}
}

// Guards against load reports whose number grows with the number of instances:
// each sends to each of the others.
func TestReportsDoNotGrowWithInstances(t *testing.T) {
	for _, tc := range []struct {
		peers int
		want  kcclock.Millis
	}{{0, 25}, {2, 25}, {10, 25}, {49, 122}, {63, 157}, {1000, 800}} {
		got := reportInterval(tc.peers, maxZoneReportsPerSecond, minZoneReportIntervalMs)
		if got != tc.want {
			t.Errorf("%d peers: a report each %d ms, want %d", tc.peers, got, tc.want)
		}
	}
}
