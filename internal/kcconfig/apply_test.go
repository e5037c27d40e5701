package kcconfig_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Guards against rules in force that depend on how many changes are folded at a
// time, because only the values of changed keys are decoded.
func TestRulesInForceDoNotDependOnPageSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := kcclock.NewManual(1)
		log := kcstandin.NewLog(kcstandin.LogOptions{Clock: clock})
		reader := func() *kcconfig.Reader {
			return kcconfig.NewReader(kcconfig.ReaderOptions{Clock: clock, Store: log, Base: baseRules()})
		}
		steps, revisions := reader(), make(map[string]int64)
		keys := rapid.SampledFrom([]string{"workspaces/a", "workspaces/b", "versions/base@1"})
		values := rapid.SampledFrom([]string{
			`null`, `{"weight":1,"state":"active","quality":{"default":1}}`, `{"weight":2}`, `{"weight":-1}`,
		})
		for n := range rapid.IntRange(1, 12).Draw(t, "changes") {
			set := make(map[string]kcconfig.KeyUpdate)
			for _, key := range rapid.SliceOfN(keys, 1, 3).Draw(t, "keys") {
				base, ok := revisions[key]
				if !ok {
					base = kcconfig.NoRevision
				}
				set[key] = kcconfig.KeyUpdate{Revision: base, Value: json.RawMessage(values.Draw(t, "value"))}
			}
			rec := kclog.Encode(fmt.Sprintf("change-%d", n), kcconfig.KindChange, kcconfig.Change{Set: set})
			if _, err := log.Append(t.Context(), kcconfig.Stream, []kclog.NewRecord{rec}); err != nil {
				t.Fatal(err)
			}
			before := steps.Rules()
			keysBefore := kcconfig.KeyValues(before)
			if _, err := steps.Poll(t.Context(), 0); err != nil {
				t.Fatal(err)
			}
			if next, revision := steps.Position(); revision == next-1 {
				for key := range set {
					revisions[key] = revision
				}
			}
			whole := reader()
			if _, err := whole.Poll(t.Context(), 0); err != nil {
				t.Fatal(err)
			}
			if got, want := kcconfig.KeyValues(steps.Rules()), kcconfig.KeyValues(whole.Rules()); !reflect.DeepEqual(got, want) {
				t.Fatalf("after single polls %s, after one poll %s", got, want)
			}
			if got := kcconfig.KeyValues(before); !reflect.DeepEqual(got, keysBefore) {
				t.Fatalf("rules that were in force changed from %s to %s", keysBefore, got)
			}
		}
	})
}
