package kcchat

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Assembler merges the chunks of a stream into a complete response. It merges
// by JSON type, so that fields it does not know are kept.
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
	// maxIndexedElements bounds the index of an element in a list that is
	// merged by index.
	maxIndexedElements = 4096
)

// replacedKeys are the strings within a delta that engines send as a whole,
// some engines with every chunk. All other strings are concatenated.
var replacedKeys = map[string]bool{"role": true, "id": true, "type": true, "name": true}

// textBuilder is a string that grows. Concatenating plain strings would copy
// the whole text for each chunk.
type textBuilder struct{ strings.Builder }

// MarshalJSON returns the concatenated string.
func (t *textBuilder) MarshalJSON() ([]byte, error) { return json.Marshal(t.String()) }

// indexedList is a list whose elements give their position in the key "index".
type indexedList map[int]map[string]any

// MarshalJSON returns the elements in the order of their index.
func (l indexedList) MarshalJSON() ([]byte, error) {
	out := make([]map[string]any, 0, len(l))
	for _, n := range slices.Sorted(maps.Keys(l)) {
		out = append(out, l[n])
	}
	return json.Marshal(out)
}

// FirstChoice returns the text and the finish reason that the first choice has
// so far.
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

// Add merges one chunk into the response.
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
	// Numbers are kept as text, because a float64 would round large integers.
	dec.UseNumber()
	var out map[string]any
	return out, errs.Wrap(dec.Decode(&out))
}

func (a *Assembler) addChoice(v any) error {
	choice, ok := v.(map[string]any)
	if !ok {
		return errs.New("choice in the response is not a JSON object")
	}
	n, ok := elementIndex(choice)
	if !ok {
		return errs.New("choice in the response has no valid index")
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

// mergeValue merges src into dst: strings are concatenated, objects merged by
// key, lists merged by index or appended, and other values replaced. Null
// changes nothing.
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

// mergeList merges elements that carry an index by that index and removes the
// key: the tool calls of a response that is not streamed have none.
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

// Usage returns the token usage that the engine has reported so far.
func (a *Assembler) Usage() Usage {
	var u Usage
	if b, err := json.Marshal(a.topLevel[keyUsage]); err == nil {
		_ = json.Unmarshal(b, &u)
	}
	return u
}

// Completion returns the complete response as JSON with the given id and model
// name.
func (a *Assembler) Completion(id, model string) ([]byte, error) {
	out := make(map[string]any, len(a.topLevel)+4)
	maps.Copy(out, a.topLevel)
	out["id"], out["object"], out["model"], out[keyChoices] = id, "chat.completion", model, a.choices
	b, err := json.Marshal(out)
	return b, errs.Wrap(err)
}
