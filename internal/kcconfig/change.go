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

// Kinds of records on the stream. Readers skip other kinds.
const (
	KindChange   = "change"
	KindSnapshot = "snapshot"
)

// NoRevision is the revision of a key that no accepted change has set.
const NoRevision = -1

// Change sets one or several keys, all of them or none.
type Change struct {
	// Author and Note are for the history only.
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	// Set has keys such as "versions/x@2" or "priceList".
	Set map[string]KeyUpdate `json:"set"`
	// Base is the settings layer that the publisher checked the change against.
	// It is sent where it differs from the one in the log, because readers with
	// other settings files must still accept and reject the same changes.
	Base map[string]json.RawMessage `json:"base,omitempty"`
}

// Item is the new value of one key.
type KeyUpdate struct {
	// Revision is the offset of the last accepted change of the key that the
	// new value builds on, or NoRevision.
	Revision int64 `json:"revision"`
	// Value is the JSON value; null removes the key, also from the settings
	// layer.
	Value json.RawMessage `json:"value"`
}

// Entry is the published value of one key. A removed key keeps its revision,
// so that a change which builds on an older one is rejected.
type Entry struct {
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Snapshot is the folded state of all records below Through.
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

// setKey sets or removes one key of the rules. The maps of the rules are
// changed in place. Keys of an unknown kind have no effect: a newer release
// may have published them.
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
	// Unknown fields are permitted, so that instances of an older release do
	// not reject what newer ones accept.
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

// Keys returns the rules as values by key.
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

// encode returns v as JSON. The types of the rules can always be encoded.
func mustEncode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic("kcconfig: rules cannot be encoded: " + err.Error())
	}
	return b
}
