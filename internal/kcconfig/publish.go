package kcconfig

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// ErrRejected means that a change was rejected and has no effect. If it was
// published, it stays in the log.
var ErrRejected = errors.New("the change was rejected")

// ErrOutcomeUnknown means that it is unknown whether the change is in the log.
var ErrOutcomeUnknown = errors.New("it is not known whether the change is in the log")

// appendTimeoutMs bounds one append, so that an unresponsive connection is
// replaced.
const appendTimeoutMs = 5 * kcclock.Second

// PublisherOptions configures a Publisher.
type PublisherOptions struct {
	Store kclog.Log
	Clock kcclock.Clock
	// Base is the settings layer that changes are validated against.
	Base kcrules.Rules
	// Author and Note appear in the history.
	Author string
	Note   string
}

// Publisher appends changes to the configuration stream. It publishes one
// change and must not be used concurrently.
type Publisher struct {
	opts    PublisherOptions
	reader  *Reader
	history []FoldedChange
}

// FoldedChange is a change in the log and the result of folding it.
type FoldedChange struct {
	Offset     int64
	AppendedAt kcclock.Millis
	ID         string
	Change     Change
	Result     FoldResult
}

// Difference is a key whose value in a rules file differs from the one in
// force. A nil value means that the key is not set.
type Difference struct {
	Key     string
	InForce json.RawMessage
	New     json.RawMessage
}

// NewPublisher returns a publisher that has read the stream to its end.
func NewPublisher(ctx context.Context, opts PublisherOptions) (*Publisher, error) {
	p := &Publisher{opts: opts}
	p.reader = NewReader(ReaderOptions{Clock: opts.Clock, Store: opts.Store, Base: opts.Base, OnFolded: p.recordFolded})
	if err := p.catchUp(ctx); err != nil {
		return nil, fmt.Errorf("cannot read the configuration: %w", err)
	}
	if !p.reader.Fresh() {
		return nil, errs.New("the configuration stream is trimmed and holds no usable snapshot yet; " +
			"a running instance writes one, try again in a minute")
	}
	return p, nil
}

func (p *Publisher) recordFolded(rec kclog.Record, v FoldResult) {
	f := FoldedChange{Offset: rec.Offset, AppendedAt: rec.AppendedAt, ID: rec.ID, Result: v}
	_ = json.Unmarshal(rec.Body, &f.Change) // an invalid body is reported in the result
	p.history = append(p.history, f)
}

func (p *Publisher) catchUp(ctx context.Context) error {
	for {
		more, err := p.reader.Poll(ctx, 0)
		if err != nil || !more {
			return err
		}
	}
}

// History returns the changes that the log still holds, oldest first. If the
// reader started from a snapshot, the history lacks the changes before it.
func (p *Publisher) History() []FoldedChange { return p.history }

// Diff returns the keys of a rules file whose values differ from those in
// force, sorted. The file has the form of the rules in the settings. Null
// removes a key, and keys that the file does not name stay as they are.
func (p *Publisher) Diff(file []byte) ([]Difference, error) {
	values, err := parseRules(file)
	if err != nil {
		return nil, err
	}
	inForce := KeyValues(p.reader.Rules())
	var out []Difference
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if !bytes.Equal(values[key], inForce[key]) {
			out = append(out, Difference{Key: key, InForce: inForce[key], New: values[key]})
		}
	}
	return out, nil
}

// BuildChange returns the change that puts the differences in force.
func (p *Publisher) BuildChange(diff []Difference) Change {
	c := Change{Author: p.opts.Author, Note: p.opts.Note, Set: make(map[string]KeyUpdate)}
	p.reader.mu.Lock()
	defer p.reader.mu.Unlock()
	for _, d := range diff {
		c.Set[d.Key] = KeyUpdate{Revision: p.reader.state.RevisionOf(d.Key), Value: d.New}
	}
	if base := KeyValues(&p.opts.Base); !maps.EqualFunc(base, p.reader.state.base, sameJSON) {
		c.Base = base
	}
	return c
}

func sameJSON(a, b json.RawMessage) bool { return bytes.Equal(a, b) }

// Publish appends the change and returns its offset once the log shows that it
// was accepted. The error wraps ErrRejected if the change was rejected, and
// ErrOutcomeUnknown if ctx ended after the change may have been appended.
func (p *Publisher) Publish(ctx context.Context, c Change) (int64, error) {
	rec := kclog.Encode(rand.Text(), KindChange, c)
	if err := p.dryRun(rec); err != nil {
		return 0, err
	}
	sent := false
	for {
		// A retried append carries the same id, and only its first copy counts.
		appendCtx, cancel := kcclock.WithTimeout(ctx, p.opts.Clock, appendTimeoutMs)
		_, err := p.opts.Store.Append(appendCtx, Stream, []kclog.NewRecord{rec})
		cancel()
		sent = sent || !errors.Is(err, kclog.ErrUnavailable)
		if readErr := p.catchUp(ctx); readErr == nil {
			if f, ok := p.findChange(rec.ID); ok {
				return f.Offset, p.rejectionError(f)
			}
		} else if err == nil {
			err = readErr
		}
		select {
		case <-ctx.Done():
			if !sent {
				return 0, fmt.Errorf("the change was not published: %w", err)
			}
			return 0, fmt.Errorf("%w; look for %s in: config history: %w", ErrOutcomeUnknown, rec.ID, err)
		case <-p.opts.Clock.After(retryDelayMs):
		}
	}
}

// dryRun folds the change into a copy of the state, so that an error is
// reported before anything is published.
func (p *Publisher) dryRun(rec kclog.NewRecord) error {
	state, err := StateFromSnapshot(p.reader.Snapshot())
	if err != nil {
		return err
	}
	if v := state.Fold(kclog.Record{Offset: state.NextOffset, NewRecord: rec}); !v.Accepted {
		return fmt.Errorf("%w, nothing was published: %s", ErrRejected, v.Reason)
	}
	return nil
}

func (p *Publisher) findChange(id string) (FoldedChange, bool) {
	n := slices.IndexFunc(p.history, func(f FoldedChange) bool { return f.ID == id })
	if n < 0 {
		return FoldedChange{}, false
	}
	return p.history[n], true
}

// rejectionError returns an error that names the changes that came first, or
// nil if the change was accepted.
func (p *Publisher) rejectionError(f FoldedChange) error {
	if f.Result.Accepted {
		return nil
	}
	var parts []string
	for _, key := range f.Result.Conflicts {
		for _, other := range slices.Backward(p.history) {
			if _, ok := other.Change.Set[key]; ok && other.Result.Accepted && other.Offset < f.Offset {
				parts = append(parts, fmt.Sprintf("%s was changed at offset %d by %q", key, other.Offset, other.Change.Author))
				break
			}
		}
	}
	if len(parts) == 0 {
		return fmt.Errorf("%w at offset %d: %s", ErrRejected, f.Offset, f.Result.Reason)
	}
	return fmt.Errorf("%w at offset %d, none of its keys is in force: %s; compare again with config diff and publish again",
		ErrRejected, f.Offset, strings.Join(parts, ", "))
}

// parseRules returns the values of a rules file by key. A null value becomes
// nil.
func parseRules(file []byte) (map[string]json.RawMessage, error) {
	var kinds map[string]json.RawMessage
	if err := json.Unmarshal(file, &kinds); err != nil {
		return nil, errs.Wrap(err)
	}
	out := make(map[string]json.RawMessage)
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		if kind == priceListKey {
			if err := parseValue(out, kind, kinds[kind]); err != nil {
				return nil, err
			}
			continue
		}
		var members map[string]json.RawMessage
		if err := json.Unmarshal(kinds[kind], &members); err != nil {
			return nil, errs.New("%s: must be an object with a value for each name: %v", kind, err)
		}
		for name, value := range members {
			if err := parseValue(out, kind+"/"+name, value); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

// parseValue adds a value in the canonical form of KeyValues. It rejects
// unknown fields.
func parseValue(out map[string]json.RawMessage, key string, value json.RawMessage) error {
	if isNull(value) {
		out[key] = nil
		return nil
	}
	kind, name, _ := strings.Cut(key, "/")
	whole := map[string]any{kind: value}
	if name != "" {
		whole[kind] = map[string]json.RawMessage{name: value}
	}
	var rules kcrules.Rules
	dec := json.NewDecoder(bytes.NewReader(mustEncode(whole)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&rules); err != nil {
		return errs.New("%s: %v", key, err)
	}
	canonical, ok := KeyValues(&rules)[key]
	if !ok {
		return errs.New("%s: is empty; use null to remove it", key)
	}
	out[key] = canonical
	return nil
}
