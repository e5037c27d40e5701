package kcconfig

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// maxRejectedIDs bounds the remembered ids of rejected changes. A publisher
// retries an append for seconds, and far fewer changes than this are rejected
// in that time.
const maxRejectedIDs = 1024

// FoldResult is the effect of one record on the state.
type FoldResult struct {
	Accepted bool
	// Reason explains why a change was rejected.
	Reason string
	// Conflicts are the keys whose revision did not match.
	Conflicts []string
	// Keys are the keys that an accepted change has set.
	Keys []string
}

// State is the result of folding all records below NextOffset. It is a
// deterministic function of the log, so all readers accept and reject the same
// changes.
type State struct {
	// NextOffset is the offset of the next record to fold.
	NextOffset int64
	// ChainHash is a rolling hash over all folded records.
	ChainHash uint64
	// Revision is the offset of the last accepted change, or NoRevision.
	Revision int64

	entries     map[string]Entry
	base        map[string]json.RawMessage
	rejectedIDs []string
	rules       kcrules.Rules // base with entries applied
}

// NewState returns the state before the first record.
func NewState() *State { return &State{Revision: NoRevision, entries: make(map[string]Entry)} }

// StateFromSnapshot restores the state from a snapshot.
func StateFromSnapshot(snap Snapshot) (*State, error) {
	s := &State{
		NextOffset: snap.NextOffset, ChainHash: snap.ChainHash, Revision: snap.Revision,
		entries: maps.Clone(snap.Entries), base: snap.Base, rejectedIDs: snap.Rejected,
	}
	if s.entries == nil {
		s.entries = make(map[string]Entry)
	}
	var err error
	s.rules, err = rulesFromLayers(s.base, s.entries)
	return s, err
}

// Snapshot returns the state as the body of a snapshot record. Later changes of
// the state do not affect it.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		NextOffset: s.NextOffset, ChainHash: s.ChainHash, Revision: s.Revision,
		Entries: maps.Clone(s.entries), Base: s.base, Rejected: slices.Clone(s.rejectedIDs),
	}
}

// RevisionOf returns the current revision of the key, which an update of the
// key must be based on.
func (s *State) RevisionOf(key string) int64 {
	if e, ok := s.entries[key]; ok {
		return e.Revision
	}
	return NoRevision
}

// Fold applies the record at NextOffset. It panics if the record has another
// offset, because then the caller has broken an invariant.
func (s *State) Fold(rec kclog.Record) FoldResult {
	if rec.Offset != s.NextOffset {
		panic(fmt.Sprintf("kcconfig: record %d folded at offset %d", rec.Offset, s.NextOffset))
	}
	s.NextOffset++
	s.ChainHash = extendChainHash(s.ChainHash, rec)
	if rec.Kind != KindChange {
		return FoldResult{}
	}
	v := s.foldChange(rec)
	if !v.Accepted {
		s.rejectedIDs = append(s.rejectedIDs, rec.ID)
		if n := len(s.rejectedIDs) - maxRejectedIDs; n > 0 {
			s.rejectedIDs = slices.Clone(s.rejectedIDs[n:])
		}
	}
	return v
}

func (s *State) foldChange(rec kclog.Record) FoldResult {
	// A duplicate of a rejected change must not be accepted. It could be valid by
	// now, although its publisher was told that the change was rejected.
	if slices.Contains(s.rejectedIDs, rec.ID) {
		return FoldResult{Reason: "a copy of a rejected change"}
	}
	var c Change
	if err := json.Unmarshal(rec.Body, &c); err != nil {
		return FoldResult{Reason: "not a change: " + err.Error()}
	}
	if len(c.Set) == 0 {
		return FoldResult{Reason: "the change sets no key"}
	}
	var conflicts []string
	for key, item := range c.Set {
		if item.Revision != s.RevisionOf(key) {
			conflicts = append(conflicts, key)
		}
	}
	if len(conflicts) > 0 {
		slices.Sort(conflicts)
		return FoldResult{Reason: "another change came first", Conflicts: conflicts}
	}
	return s.acceptChange(rec.Offset, c)
}

// acceptChange applies a change with matching revisions if the resulting rules
// are valid.
func (s *State) acceptChange(offset int64, c Change) FoldResult {
	keys := slices.Sorted(maps.Keys(c.Set))
	base, rules := s.base, cloneRules(s.rules)
	var err error
	if len(c.Base) > 0 {
		base = c.Base
		rules, err = rulesFromLayers(base, s.entries)
	}
	for _, key := range keys {
		if err == nil {
			err = setKey(&rules, key, c.Set[key].Value)
		}
	}
	if err != nil {
		return FoldResult{Reason: "not valid: " + err.Error()}
	}
	if problems := kcrules.Validate(&rules); len(problems) > 0 {
		return FoldResult{Reason: "not valid: " + problems[0].String()}
	}
	for _, key := range keys {
		s.entries[key] = Entry{Revision: offset, Value: c.Set[key].Value}
	}
	s.base, s.rules, s.Revision = base, rules, offset
	return FoldResult{Accepted: true, Keys: keys}
}

// extendChainHash adds one record to the chain hash. The body is hashed as
// compact JSON, because log services may reformat JSON.
func extendChainHash(before uint64, rec kclog.Record) uint64 {
	var d xxhash.Digest
	d.Reset()
	var n [16]byte
	binary.BigEndian.PutUint64(n[:8], before)
	binary.BigEndian.PutUint64(n[8:], uint64(rec.Offset))
	_, _ = d.Write(n[:])
	_, _ = d.WriteString(rec.ID + "\x00" + rec.Kind + "\x00")
	var body bytes.Buffer
	if json.Compact(&body, rec.Body) != nil {
		body.Reset()
		body.Write(rec.Body)
	}
	_, _ = d.Write(body.Bytes())
	return d.Sum64()
}

// rulesFromLayers returns the rules of a settings layer with the published
// entries on top.
func rulesFromLayers(base map[string]json.RawMessage, entries map[string]Entry) (kcrules.Rules, error) {
	var r kcrules.Rules
	for key, value := range base {
		if err := setKey(&r, key, value); err != nil {
			return r, fmt.Errorf("%s: %w", key, err)
		}
	}
	return r, applyEntries(&r, entries)
}

func applyEntries(r *kcrules.Rules, entries map[string]Entry) error {
	for key, e := range entries {
		if err := setKey(r, key, e.Value); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return nil
}

// cloneRules returns the rules with copies of the maps that setKey modifies.
func cloneRules(r kcrules.Rules) kcrules.Rules {
	r.Versions, r.Workspaces, r.Services = maps.Clone(r.Versions), maps.Clone(r.Workspaces), maps.Clone(r.Services)
	r.Rollouts, r.Classes = maps.Clone(r.Rollouts), maps.Clone(r.Classes)
	return r
}
