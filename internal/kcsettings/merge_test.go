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

// Guards against a value that is attributed to a file which does not set it.
// Each value of the merged settings must equal the value at the same pointer in
// the file that is reported as its origin, or the default.
func TestOriginStatesTheMergedValue(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(r *rapid.T) {
		layers := map[string]map[string]any{"default": collectLeaves(toJSONValue(t, kcsettings.Defaults()), "", map[string]any{})}
		names := []string{"inner.jsonc", "middle.jsonc", "site.jsonc"}
		for i, name := range names {
			layer := drawSettings(r, i > 0)
			if i > 0 {
				layer["base"] = names[i-1]
			}
			layers[name] = collectLeaves(toJSONValue(t, layer), "", map[string]any{})
			text, _ := json.Marshal(layer)
			if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
				r.Fatal(err)
			}
		}
		doc, _ := kcsettings.Read(filepath.Join(dir, "site.jsonc"))
		for pointer, value := range collectLeaves(toJSONValue(t, doc.Settings), "", map[string]any{}) {
			origin := filepath.Base(doc.Origin(pointer).File)
			// A value that neither a file nor the defaults set must be zero.
			stated, ok := layers[origin][pointer]
			if !reflect.DeepEqual(stated, value) && (ok || origin != "default" || !isZero(value)) {
				r.Fatalf("%s is %v, but its origin %s states %v", pointer, value, origin, stated)
			}
		}
	})
}

// drawSettings draws a random subset of the settings. An overlay may also remove
// values with null.
func drawSettings(r *rapid.T, overlay bool) map[string]any {
	number := func() any {
		if overlay && rapid.Bool().Draw(r, "remove") {
			return nil
		}
		return float64(rapid.IntRange(1, 9).Draw(r, "number"))
	}
	optionalFields := func(names []string, value func() any) map[string]any {
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
		object := optionalFields([]string{"allow"}, list)
		object["qualityTarget"] = optionalFields([]string{"default", "menu"}, number)
		return object
	}
	return map[string]any{
		"timing": optionalFields([]string{"stopMs", "shards", "listPollMs"}, number),
		"rules":  map[string]any{"workspaces": optionalFields([]string{"x", "y/z"}, workspace)},
	}
}

func toJSONValue(t *testing.T, v any) (out any) {
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

// collectLeaves adds the leaf values of v to values, by their JSON pointers, and
// returns it. A list counts as one value.
func collectLeaves(v any, pointer string, values map[string]any) map[string]any {
	object, ok := v.(map[string]any)
	if !ok {
		values[pointer] = v
	}
	for name, member := range object {
		collectLeaves(member, pointer+kcrules.JSONPointer(name), values)
	}
	return values
}

func isZero(v any) bool { return v == nil || reflect.ValueOf(v).IsZero() }
