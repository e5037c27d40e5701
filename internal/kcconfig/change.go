package kcconfig

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
)

// Stream is the log stream of the configuration.
const Stream = "config"

// Record kinds on the stream. Readers skip other kinds.
const (
	KindChange   = "change"
	KindSnapshot = "snapshot"
)

// NoRevision is the revision of a key that no accepted change has set.
const NoRevision = -1

// Change sets one or more keys atomically.
type Change struct {
	// Author and Note are only for the history.
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	// Set maps keys, such as "versions/x@2" or "priceList", to their updates.
	Set map[string]KeyUpdate `json:"set"`
	// Base is the settings layer that the publisher validated the change against.
	// It is included if it differs from the one in the log, because readers with
	// other settings files must still accept and reject the same changes.
	Base map[string]json.RawMessage `json:"base,omitempty"`
}

// KeyUpdate is the new value of one key.
type KeyUpdate struct {
	// Revision is the offset of the last accepted change of the key that the new
	// value is based on, or NoRevision. A change with an outdated revision is
	// rejected (optimistic concurrency control).
	Revision int64 `json:"revision"`
	// Value is the JSON value. Null removes the key, even if the settings layer
	// sets it.
	Value json.RawMessage `json:"value"`
}

// Entry is the published value of one key. A removed key keeps its revision, so
// that a change based on an older revision is rejected.
type Entry struct {
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Snapshot is the state after all records below NextOffset are folded.
type Snapshot struct {
	NextOffset int64                      `json:"through"`
	ChainHash  uint64                     `json:"chain"`
	Entries    map[string]Entry           `json:"entries"`
	Base       map[string]json.RawMessage `json:"base,omitempty"`
	Rejected   []string                   `json:"rejected,omitempty"`
	Revision   int64                      `json:"revision"`
}

const priceListKey = "priceList"

func isNull(v json.RawMessage) bool {
	return len(v) == 0 || bytes.Equal(bytes.TrimSpace(v), []byte("null"))
}

// setKey sets or removes one key of the rules, modifying their maps in place.
// Keys of an unknown kind are ignored, because a newer release may have
// published them.
func setKey(r *kcrules.Rules, key string, value json.RawMessage) error {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case "versions":
		return setMapKey(&r.Versions, name, value)
	case "workspaces":
		return setMapKey(&r.Workspaces, name, value)
	case "services":
		return setMapKey(&r.Services, name, value)
	case "rollouts":
		return setMapKey(&r.Rollouts, name, value)
	case "classes":
		return setMapKey(&r.Classes, kcrules.Class(name), value)
	case priceListKey:
		r.PriceList = kcrules.PriceList{}
		if isNull(value) {
			return nil
		}
		return errs.Wrap(json.Unmarshal(value, &r.PriceList))
	default:
		return nil
	}
}

func setMapKey[K comparable, V any](m *map[K]V, name K, value json.RawMessage) error {
	if isNull(value) {
		delete(*m, name)
		return nil
	}
	// Unknown fields are allowed, so that instances of an older release do not
	// reject what newer ones accept.
	var v V
	if err := json.Unmarshal(value, &v); err != nil {
		return errs.Wrap(err)
	}
	if *m == nil {
		*m = make(map[K]V)
	}
	(*m)[name] = v
	return nil
}

// KeyValues returns the values of the rules by key.
func KeyValues(r *kcrules.Rules) map[string]json.RawMessage {
	out := make(map[string]json.RawMessage)
	addKeyValues(out, "versions", r.Versions)
	addKeyValues(out, "workspaces", r.Workspaces)
	addKeyValues(out, "services", r.Services)
	addKeyValues(out, "rollouts", r.Rollouts)
	addKeyValues(out, "classes", r.Classes)
	if len(r.PriceList.Steps) > 0 || r.PriceList.Currency != "" {
		out[priceListKey] = mustEncode(r.PriceList)
	}
	return out
}

func addKeyValues[K ~string, V any](out map[string]json.RawMessage, kind string, m map[K]V) {
	for name, v := range m {
		out[kind+"/"+string(name)] = mustEncode(v)
	}
}

// mustEncode returns v as JSON. Encoding the types of the rules cannot fail.
func mustEncode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic("kcconfig: rules cannot be encoded: " + err.Error())
	}
	return b
}
