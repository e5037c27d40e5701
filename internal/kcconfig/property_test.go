package kcconfig_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// model folds every record from offset 0. A reader cannot, because the log is
// trimmed.
type model struct {
	state *kcconfig.State
	// stateAt holds the encoded state after each offset.
	stateAt [][]byte
	// sent are the records of publishers. Some are appended again, as after a lost
	// answer.
	sent []kclog.NewRecord
}

var readerIDs = []string{"a", "b", "c", "d"}

type modelTest struct {
	*cluster
	t         *testing.T
	reference model
	lastNext  map[string]int64 // position of each reader at the last check
	down      bool
}

func encodeState(s kcconfig.Snapshot) []byte {
	b, _ := json.Marshal(s)
	return b
}

func (c *modelTest) append(rt *rapid.T, rec kclog.NewRecord) {
	if c.down {
		return
	}
	offset, err := c.log.Append(c.t.Context(), kcconfig.Stream, []kclog.NewRecord{rec})
	if err != nil {
		rt.Fatal(err)
	}
	c.reference.state.Fold(kclog.Record{Offset: offset, AppendedAt: c.clock.Now(), NewRecord: rec})
	c.reference.stateAt = append(c.reference.stateAt, encodeState(c.reference.state.Snapshot()))
}

func (c *modelTest) publish(rt *rapid.T) {
	var specs []string
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 1, 2, rapid.ID[int]).Draw(rt, "keys") {
		key := fmt.Sprintf("versions/m@%d", n)
		value := rapid.SampledFrom([]string{"active", "draining", "withdrawn", "null"}).Draw(rt, "value")
		if n == 3 {
			key, value = "workspaces/w", rapid.SampledFrom([]string{"m@0", "m@1", "base"}).Draw(rt, "allow")
		}
		// Most publishers know the current revision, some use an outdated one.
		rev := max(c.reference.state.RevisionOf(key)-rapid.SampledFrom([]int64{0, 0, 0, 1}).Draw(rt, "late"), kcconfig.NoRevision)
		specs = append(specs, fmt.Sprintf("%s=%d:%s", key, rev, value))
	}
	ch, err := parseChange(specs)
	if err != nil {
		rt.Fatal(err)
	}
	rec := kclog.Encode(fmt.Sprintf("change-%d", len(c.reference.sent)), kcconfig.KindChange, ch)
	c.reference.sent = append(c.reference.sent, rec)
	c.append(rt, rec)
}

func (c *modelTest) drawReader(rt *rapid.T, label string) string {
	return rapid.SampledFrom(readerIDs).Draw(rt, label)
}

// actions returns the events of the state machine, which can occur in any
// order.
func (c *modelTest) actions() map[string]func(*rapid.T) {
	ctx := c.t.Context()
	return map[string]func(*rapid.T){
		"publish": c.publish,
		"publishAgain": func(rt *rapid.T) {
			if len(c.reference.sent) > 0 {
				c.append(rt, rapid.SampledFrom(c.reference.sent).Draw(rt, "record"))
			}
		},
		"poll":       func(rt *rapid.T) { _ = c.poll(ctx, c.drawReader(rt, "reader")) },
		"pollOnce":   func(rt *rapid.T) { _, _ = c.readers[c.drawReader(rt, "reader")].Poll(ctx, 0) },
		"ask":        func(rt *rapid.T) { c.exchange(ctx, c.drawReader(rt, "asker"), c.drawReader(rt, "asked")) },
		"takeState":  func(rt *rapid.T) { c.snapshots["s"] = c.readers[c.drawReader(rt, "writer")].Snapshot() },
		"writeState": func(rt *rapid.T) { c.appendSnapshot(rt) },
		"restart": func(rt *rapid.T) {
			id := c.drawReader(rt, "reader")
			c.start(id)
			c.lastNext[id] = 0
		},
		"wait": func(rt *rapid.T) {
			c.clock.Advance(rapid.SampledFrom([]kcclock.Millis{500, 4000, 10_001}).Draw(rt, "ms"))
		},
		"cut": func(rt *rapid.T) {
			s := c.stores[c.drawReader(rt, "reader")]
			s.cut = !s.cut
		},
		"outage": func(*rapid.T) {
			c.down = !c.down
			c.log.SetFaults(kcstandin.LogFaults{Down: c.down})
		},
		"": c.checkAgainstModel,
	}
}

func (c *modelTest) appendSnapshot(rt *rapid.T) {
	if s, ok := c.snapshots["s"]; ok && s.NextOffset > 0 {
		c.append(rt, kclog.Encode(fmt.Sprintf("snapshot-%d", len(c.reference.stateAt)), kcconfig.KindSnapshot, s))
	}
}

// checkAgainstModel compares each reader with the model at the position of the
// reader.
func (c *modelTest) checkAgainstModel(rt *rapid.T) {
	for _, id := range readerIDs {
		r := c.readers[id]
		next, _ := r.Position()
		if next < c.lastNext[id] {
			rt.Fatalf("reader %s went back from %d to %d", id, c.lastNext[id], next)
		}
		c.lastNext[id] = next
		if next == 0 {
			continue
		}
		if got, want := encodeState(r.Snapshot()), c.reference.stateAt[next-1]; !bytes.Equal(got, want) {
			rt.Fatalf("reader %s at %d:\n%s\nwant\n%s", id, next, got, want)
		}
		for key, e := range r.Snapshot().Entries {
			v, ok := r.Rules().Versions[strings.TrimPrefix(key, "versions/")]
			removed := bytes.Equal(e.Value, []byte("null"))
			if strings.HasPrefix(key, "versions/") && (ok == removed || !bytes.Contains(e.Value, []byte(v.State))) {
				rt.Fatalf("reader %s has %s in force as %q, published is %s", id, key, v.State, e.Value)
			}
		}
	}
}

// recoverAndCatchUp ends all faults and lets every reader catch up.
func (c *modelTest) recoverAndCatchUp(rt *rapid.T) {
	c.down = false
	c.log.SetFaults(kcstandin.LogFaults{})
	best := ""
	for _, id := range readerIDs {
		c.stores[id].cut = false
		_ = c.poll(c.t.Context(), id)
		if best == "" || c.lastNext[id] > c.lastNext[best] {
			best = id
		}
		c.checkAgainstModel(rt)
	}
	page, err := c.log.Read(c.t.Context(), kcconfig.Stream, 0, 1, 0)
	if err != nil {
		rt.Fatal(err)
	}
	if page.FirstOffset > 0 {
		if c.lastNext[best] < page.FirstOffset {
			return // every copy of the trimmed records was lost with the readers
		}
		c.snapshots["s"] = c.readers[best].Snapshot()
		c.appendSnapshot(rt)
	}
	for _, id := range readerIDs {
		if err := c.poll(c.t.Context(), id); err != nil {
			rt.Fatal(err)
		}
	}
	c.checkAgainstModel(rt)
	for _, id := range readerIDs {
		if c.lastNext[id] != int64(len(c.reference.stateAt)) {
			rt.Fatalf("reader %s ends at %d of %d", id, c.lastNext[id], len(c.reference.stateAt))
		}
		if f := c.readers[id].Freshness(); !f.Fresh {
			rt.Fatalf("reader %s is not fresh: %s", id, f.Reason)
		}
	}
}

// Guards against readers that disagree or move back, regardless of when and
// from where they start. The log is trimmed, down, or unreachable for some
// readers; answers are lost, so that records are in the log twice; snapshots
// are late; peers lag behind.
func TestReadersAgreeAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &modelTest{cluster: newCluster(), t: t, lastNext: make(map[string]int64)}
		c.reference.state = kcconfig.NewState()
		for n, id := range readerIDs {
			c.zones[id] = fmt.Sprintf("zone-%d", n/2)
		}
		for _, id := range readerIDs {
			c.start(id)
		}
		rt.Repeat(c.actions())
		c.recoverAndCatchUp(rt)
	})
}

// Guards against relayed records that a faulty peer has forged: whatever it
// sends, the position never moves back, and the log is authoritative.
func TestLogOverridesForgedRelays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &modelTest{cluster: newCluster(), t: t, lastNext: make(map[string]int64)}
		c.reference.state = kcconfig.NewState()
		for _, id := range readerIDs {
			c.start(id)
		}
		names := []string{"whole", "gaps", "forged", "old"}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			c.alterRelay = relayFaults[rapid.SampledFrom(names).Draw(rt, "relay")]
			c.publish(rt)
			_ = c.poll(t.Context(), c.drawReader(rt, "poll"))
			c.exchange(t.Context(), c.drawReader(rt, "asker"), c.drawReader(rt, "asked"))
			for _, id := range readerIDs {
				if next, _ := c.readers[id].Position(); next < c.lastNext[id] {
					rt.Fatalf("reader %s went back from %d to %d", id, c.lastNext[id], next)
				} else {
					c.lastNext[id] = next
				}
			}
		}
		for _, id := range readerIDs {
			if err := c.poll(t.Context(), id); err != nil {
				rt.Fatal(err)
			}
		}
		c.recoverAndCatchUp(rt)
	})
}
