package kccapacity

import (
	"context"
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const ofKeys = "keys"

// keySizes are numbers of keys of the rules. The target names 9 versions; the
// rest are workspaces.
var keySizes = []int{20, 100, 500, 2000}

// configured is a log with the rules of some workspaces and readers of it.
type configured struct {
	log   *kcstandin.Log
	rules map[string]json.RawMessage
	at    map[string]int64 // revision by key
	next  int64
}

func newConfigured(ctx context.Context, keys int) (*configured, error) {
	rules := rulesOf(keys - versions)
	c := &configured{
		log:   kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.NewManual(1)}),
		rules: kcconfig.KeyValues(&rules), at: make(map[string]int64),
	}
	set := make(map[string]kcconfig.KeyUpdate)
	for key, value := range c.rules {
		set[key] = kcconfig.KeyUpdate{Revision: kcconfig.NoRevision, Value: value}
	}
	return c, c.publish(ctx, set)
}

func (c *configured) publish(ctx context.Context, set map[string]kcconfig.KeyUpdate) error {
	rec := kclog.Encode(fmt.Sprintf("change-%d", c.next), kcconfig.KindChange, kcconfig.Change{Author: "operator", Set: set})
	for key := range set {
		c.at[key] = c.next
	}
	c.next++
	_, err := c.log.Append(ctx, kcconfig.Stream, []kclog.NewRecord{rec})
	return err
}

// change publishes one change of a workspace.
func (c *configured) change(ctx context.Context) error {
	key := "workspaces/" + workspaceName(0)
	return c.publish(ctx, map[string]kcconfig.KeyUpdate{key: {Revision: c.at[key], Value: c.rules[key]}})
}

func (c *configured) reader(ctx context.Context) (*kcconfig.Reader, error) {
	r := kcconfig.NewReader(kcconfig.ReaderOptions{Clock: kcclock.NewManual(1), Store: c.log})
	_, err := r.Poll(ctx, 0)
	return r, err
}

// measureConfig measures the fold of changes, their relay, the memory of the
// rules and the snapshot.
func measureConfig(ctx context.Context, r *Report) error {
	for _, keys := range keySizes {
		if err := measureConfigOf(ctx, r, keys); err != nil {
			return err
		}
	}
	return nil
}

func measureConfigOf(ctx context.Context, r *Report, keys int) error {
	size := float64(keys)
	c, err := newConfigured(ctx, keys)
	if err != nil {
		return err
	}
	var reader *kcconfig.Reader
	r.heap("config.state", ofKeys, size, func() any {
		reader, err = c.reader(ctx)
		return reader
	})
	if err != nil {
		return err
	}
	snap, err := json.Marshal(reader.Snapshot())
	if err != nil {
		return err
	}
	r.add("config.snapshot.bytes", ofKeys, UnitBytes, one(size, float64(len(snap))))
	r.cost("config.snapshot", ofKeys, size, 5, func() { _, _ = json.Marshal(reader.Snapshot()) })
	var failed error
	r.paced("config.change", ofKeys, size, 10, func() {
		if err := c.change(ctx); err != nil {
			failed = err
		}
		if _, err := reader.Poll(ctx, 0); err != nil {
			failed = err
		}
	})
	if failed != nil {
		return failed
	}
	if next, revision := reader.Position(); revision != next-1 {
		return fmt.Errorf("the last change, of %d, was not accepted", next)
	}
	r.cost("config.poll", ofKeys, size, 200, func() { _, _ = reader.Poll(ctx, 0) })
	return c.measureRelay(ctx, r, size, reader)
}

// measureRelay measures what a reader without the log gets from a peer.
func (c *configured) measureRelay(ctx context.Context, r *Report, size float64, reader *kcconfig.Reader) error {
	var at kcpeer.Digest
	reader.FillDigest(&at)
	const changes = 10
	for range changes {
		if err := c.change(ctx); err != nil {
			return err
		}
	}
	if _, err := reader.Poll(ctx, 0); err != nil {
		return err
	}
	req := &kcpeer.ReadConfigRequest{FromOffset: at.ConfigOffset, Chain: at.ConfigChain, Limit: changes}
	resp, err := reader.ReadConfig(ctx, req)
	if err != nil {
		return err
	}
	if len(resp.Records) != changes {
		return fmt.Errorf("%d records relayed, want %d", len(resp.Records), changes)
	}
	r.add("config.relay.bytes", ofKeys, UnitBytes, one(size, float64(proto.Size(resp))/changes))
	r.cost("config.relay", ofKeys, size, 200, func() { _, _ = reader.ReadConfig(ctx, req) })
	page, err := c.log.Read(ctx, kcconfig.Stream, at.ConfigOffset, 1, 0)
	if err != nil {
		return err
	}
	body, err := json.Marshal(page)
	r.add("config.record.bytes", ofKeys, UnitBytes, one(size, float64(len(body))))
	return err
}
