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

const variableConfigKeys = "keys"

// configKeyCounts are the numbers of rule keys that are measured. The target
// has 9 versions; the remaining keys are workspaces.
var configKeyCounts = []int{20, 100, 500, 2000}

// configLog is a configuration log that holds the rules of a given number of
// keys.
type configLog struct {
	log        *kcstandin.Log
	rules      map[string]json.RawMessage
	revisions  map[string]int64 // by key
	nextOffset int64
}

func newConfigLog(ctx context.Context, keys int) (*configLog, error) {
	rules := newRules(keys - targetVersionCount)
	c := &configLog{
		log:   kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.NewManual(1)}),
		rules: kcconfig.KeyValues(&rules), revisions: make(map[string]int64),
	}
	set := make(map[string]kcconfig.KeyUpdate)
	for key, value := range c.rules {
		set[key] = kcconfig.KeyUpdate{Revision: kcconfig.NoRevision, Value: value}
	}
	return c, c.publish(ctx, set)
}

func (c *configLog) publish(ctx context.Context, set map[string]kcconfig.KeyUpdate) error {
	rec := kclog.Encode(fmt.Sprintf("change-%d", c.nextOffset), kcconfig.KindChange, kcconfig.Change{Author: "operator", Set: set})
	for key := range set {
		c.revisions[key] = c.nextOffset
	}
	c.nextOffset++
	_, err := c.log.Append(ctx, kcconfig.Stream, []kclog.NewRecord{rec})
	return err
}

// publishWorkspaceChange appends a change that sets one workspace to its
// current value.
func (c *configLog) publishWorkspaceChange(ctx context.Context) error {
	key := "workspaces/" + workspaceName(0)
	return c.publish(ctx, map[string]kcconfig.KeyUpdate{key: {Revision: c.revisions[key], Value: c.rules[key]}})
}

// newReader returns a reader that has read the whole log.
func (c *configLog) newReader(ctx context.Context) (*kcconfig.Reader, error) {
	r := kcconfig.NewReader(kcconfig.ReaderOptions{Clock: kcclock.NewManual(1), Store: c.log})
	_, err := r.Poll(ctx, 0)
	return r, err
}

// measureConfig measures applying and relaying configuration changes, the memory
// of the rules and the snapshot.
func measureConfig(ctx context.Context, r *Report) error {
	for _, keys := range configKeyCounts {
		if err := measureConfigWithKeys(ctx, r, keys); err != nil {
			return err
		}
	}
	return nil
}

func measureConfigWithKeys(ctx context.Context, r *Report, keys int) error {
	size := float64(keys)
	c, err := newConfigLog(ctx, keys)
	if err != nil {
		return err
	}
	var reader *kcconfig.Reader
	r.measureHeap("config.state", variableConfigKeys, size, func() any {
		reader, err = c.newReader(ctx)
		return reader
	})
	if err != nil {
		return err
	}
	snap, err := json.Marshal(reader.Snapshot())
	if err != nil {
		return err
	}
	r.addPoint("config.snapshot.bytes", variableConfigKeys, UnitBytes, singlePoint(size, float64(len(snap))))
	r.measureCalls("config.snapshot", variableConfigKeys, size, 5, func() { _, _ = json.Marshal(reader.Snapshot()) })
	var lastErr error
	r.measurePacedCalls("config.change", variableConfigKeys, size, 10, func() {
		if err := c.publishWorkspaceChange(ctx); err != nil {
			lastErr = err
		}
		if _, err := reader.Poll(ctx, 0); err != nil {
			lastErr = err
		}
	})
	if lastErr != nil {
		return lastErr
	}
	if next, revision := reader.Position(); revision != next-1 {
		return fmt.Errorf("the last of %d configuration changes was not accepted", next)
	}
	r.measureCalls("config.poll", variableConfigKeys, size, 200, func() { _, _ = reader.Poll(ctx, 0) })
	return c.measureConfigRelay(ctx, r, size, reader)
}

// measureConfigRelay measures the response that a reader which cannot reach the
// log gets from a peer.
func (c *configLog) measureConfigRelay(ctx context.Context, r *Report, size float64, reader *kcconfig.Reader) error {
	var digest kcpeer.Digest
	reader.FillDigest(&digest)
	const changes = 10
	for range changes {
		if err := c.publishWorkspaceChange(ctx); err != nil {
			return err
		}
	}
	if _, err := reader.Poll(ctx, 0); err != nil {
		return err
	}
	req := &kcpeer.ReadConfigRequest{FromOffset: digest.ConfigOffset, Chain: digest.ConfigChain, Limit: changes}
	resp, err := reader.ReadConfig(ctx, req)
	if err != nil {
		return err
	}
	if len(resp.Records) != changes {
		return fmt.Errorf("the peer relayed %d records, want %d", len(resp.Records), changes)
	}
	r.addPoint("config.relay.bytes", variableConfigKeys, UnitBytes, singlePoint(size, float64(proto.Size(resp))/changes))
	r.measureCalls("config.relay", variableConfigKeys, size, 200, func() { _, _ = reader.ReadConfig(ctx, req) })
	page, err := c.log.Read(ctx, kcconfig.Stream, digest.ConfigOffset, 1, 0)
	if err != nil {
		return err
	}
	body, err := json.Marshal(page)
	r.addPoint("config.record.bytes", variableConfigKeys, UnitBytes, singlePoint(size, float64(len(body))))
	return err
}
