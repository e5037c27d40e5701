package kcsettings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
)

// Guards against a value that is attributed to a file that does not state it:
// each value of the merged settings must equal the value at the same place of
// the file that is its origin, or the default.
func TestOriginStatesTheMergedValue(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(r *rapid.T) {
		layers := map[string]map[string]any{"default": leaves(encode(t, kcsettings.Defaults()), "", map[string]any{})}
		names := []string{"inner.jsonc", "middle.jsonc", "site.jsonc"}
		for i, name := range names {
			layer := drawSettings(r, i > 0)
			if i > 0 {
				layer["base"] = names[i-1]
			}
			layers[name] = leaves(encode(t, layer), "", map[string]any{})
			text, _ := json.Marshal(layer)
			if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
				r.Fatal(err)
			}
		}
		doc, _ := kcsettings.Read(filepath.Join(dir, "site.jsonc"))
		for pointer, value := range leaves(encode(t, doc.Settings), "", map[string]any{}) {
			origin := filepath.Base(doc.Origin(pointer).File)
			// A value that is neither stated nor a default is the zero value.
			stated, ok := layers[origin][pointer]
			if !reflect.DeepEqual(stated, value) && (ok || origin != "default" || !isZero(value)) {
				r.Fatalf("%s is %v, but its origin %s states %v", pointer, value, origin, stated)
			}
		}
	})
}

// drawSettings draws a few settings; an overlay may remove values.
func drawSettings(r *rapid.T, overlay bool) map[string]any {
	number := func() any {
		if overlay && rapid.Bool().Draw(r, "remove") {
			return nil
		}
		return float64(rapid.IntRange(1, 9).Draw(r, "number"))
	}
	some := func(names []string, value func() any) map[string]any {
		object := map[string]any{}
		for _, name := range names {
			if rapid.Bool().Draw(r, name) {
				object[name] = value()
			}
		}
		return object
	}
	list := func() any { return rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 0, 3).Draw(r, "allow") }
	workspace := func() any {
		if overlay && rapid.Bool().Draw(r, "removeWorkspace") {
			return nil
		}
		object := some([]string{"allow"}, list)
		object["qualityTarget"] = some([]string{"default", "menu"}, number)
		return object
	}
	return map[string]any{
		"timing": some([]string{"stopMs", "shards", "listPollMs"}, number),
		"rules":  map[string]any{"workspaces": some([]string{"x", "y/z"}, workspace)},
	}
}

func encode(t *testing.T, v any) (out any) {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// leaves returns the values inside v by their JSON pointer; a list is one value.
func leaves(v any, pointer string, into map[string]any) map[string]any {
	object, ok := v.(map[string]any)
	if !ok {
		into[pointer] = v
	}
	for name, member := range object {
		leaves(member, pointer+kcrules.JSONPointer(name), into)
	}
	return into
}

func isZero(v any) bool { return v == nil || reflect.ValueOf(v).IsZero() }
