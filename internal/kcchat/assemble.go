package kcchat

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Assembler joins the chunks of a stream to a whole answer. It merges by the
// shape of the JSON, so that fields it does not know are kept.
type Assembler struct {
	topLevel map[string]any
	choices  indexedList
}

const (
	keyChoices = "choices"
	keyDelta   = "delta"
	keyIndex   = "index"
	keyMessage = "message"
	keyUsage   = "usage"
	// maxIndexedElements bounds the elements of a list that is merged by index.
	maxIndexedElements = 4096
)

// replacedKeys are the strings inside a delta that engines send whole, and
// some of them with every chunk. All other strings are joined.
var replacedKeys = map[string]bool{"role": true, "id": true, "type": true, "name": true}

// text is a string that grows; joining plain strings would copy the whole
// answer for each chunk.
type textBuilder struct{ strings.Builder }

// MarshalJSON returns the joined string.
func (t *textBuilder) MarshalJSON() ([]byte, error) { return json.Marshal(t.String()) }

// indexed is a list whose elements carry their position in the key "index".
type indexedList map[int]map[string]any

// MarshalJSON returns the elements in the order of their index.
func (l indexedList) MarshalJSON() ([]byte, error) {
	out := make([]map[string]any, 0, len(l))
	for _, n := range slices.Sorted(maps.Keys(l)) {
		out = append(out, l[n])
	}
	return json.Marshal(out)
}

// First returns the text and the finish reason of the first choice so far.
func (a *Assembler) FirstChoice() (content, finishReason string) {
	choice := a.choices[0]
	message, _ := choice[keyMessage].(map[string]any)
	switch c := message["content"].(type) {
	case *textBuilder:
		content = c.String()
	case string:
		content = c
	}
	finishReason, _ = choice["finish_reason"].(string)
	return content, finishReason
}

// Add appends one chunk.
func (a *Assembler) Add(data []byte) error {
	chunk, err := decodeObject(data)
	if err != nil {
		return err
	}
	if a.topLevel == nil {
		a.topLevel, a.choices = make(map[string]any), make(indexedList)
	}
	for k, v := range chunk {
		if k != keyChoices && v != nil {
			a.topLevel[k] = v
		}
	}
	choices, _ := chunk[keyChoices].([]any)
	for _, c := range choices {
		if err := a.addChoice(c); err != nil {
			return err
		}
	}
	return nil
}

func decodeObject(data []byte) (map[string]any, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	// Numbers keep their text, because a float64 changes large integers.
	dec.UseNumber()
	var out map[string]any
	return out, errs.Wrap(dec.Decode(&out))
}

func (a *Assembler) addChoice(v any) error {
	choice, ok := v.(map[string]any)
	if !ok {
		return errs.New("a choice of the answer is no object")
	}
	n, ok := elementIndex(choice)
	if !ok {
		return errs.New("a choice of the answer has no usable index")
	}
	dst := a.choices[n]
	if dst == nil {
		dst = map[string]any{keyMessage: map[string]any{"role": "assistant", "content": nil}, "finish_reason": nil}
		a.choices[n] = dst
	}
	for k, v := range choice {
		switch {
		case k == keyDelta:
			dst[keyMessage] = mergeValue(k, dst[keyMessage], v)
		case v == nil:
			if _, ok := dst[k]; !ok {
				dst[k] = nil
			}
		case isObject(v):
			dst[k] = mergeValue(k, dst[k], v)
		default:
			dst[k] = v
		}
	}
	return nil
}

func isObject(v any) bool {
	_, ok := v.(map[string]any)
	return ok
}

func elementIndex(m map[string]any) (int, bool) {
	num, ok := m[keyIndex].(json.Number)
	if !ok {
		return 0, false
	}
	n, err := num.Int64()
	return int(n), err == nil && n >= 0 && n < maxIndexedElements
}

// merge adds src to dst: strings are joined, objects merged by key, lists by
// index or appended, and other values replaced. Null changes nothing.
func mergeValue(key string, dst, src any) any {
	switch v := src.(type) {
	case nil:
		return dst
	case string:
		return mergeString(key, dst, v)
	case map[string]any:
		out, _ := dst.(map[string]any)
		if out == nil {
			out = make(map[string]any, len(v))
		}
		for k, x := range v {
			out[k] = mergeValue(k, out[k], x)
		}
		return out
	case []any:
		return mergeList(dst, v)
	default:
		return src
	}
}

func mergeString(key string, dst any, v string) any {
	if replacedKeys[key] {
		if old, ok := dst.(string); ok && v == "" {
			return old
		}
		return v
	}
	t, ok := dst.(*textBuilder)
	if !ok {
		t = &textBuilder{}
	}
	t.WriteString(v)
	return t
}

// mergeList merges elements that carry an index by it, and drops the index: a
// whole answer has none in its tool calls.
func mergeList(dst any, v []any) any {
	if !allIndexed(v) {
		old, _ := dst.([]any)
		return append(old, v...)
	}
	out, ok := dst.(indexedList)
	if !ok {
		out = make(indexedList, len(v))
	}
	for _, x := range v {
		m := x.(map[string]any)
		n, _ := elementIndex(m)
		delete(m, keyIndex)
		out[n], _ = mergeValue("", out[n], m).(map[string]any)
	}
	return out
}

func allIndexed(v []any) bool {
	for _, x := range v {
		m, ok := x.(map[string]any)
		if !ok {
			return false
		}
		if _, ok := elementIndex(m); !ok {
			return false
		}
	}
	return len(v) > 0
}

// Usage returns the usage that the engine reported so far.
func (a *Assembler) Usage() Usage {
	var u Usage
	if b, err := json.Marshal(a.topLevel[keyUsage]); err == nil {
		_ = json.Unmarshal(b, &u)
	}
	return u
}

// Completion returns the whole answer, as JSON, under the given id and model
// name.
func (a *Assembler) Completion(id, model string) ([]byte, error) {
	out := make(map[string]any, len(a.topLevel)+4)
	maps.Copy(out, a.topLevel)
	out["id"], out["object"], out["model"], out[keyChoices] = id, "chat.completion", model, a.choices
	b, err := json.Marshal(out)
	return b, errs.Wrap(err)
}
