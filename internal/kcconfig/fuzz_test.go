package kcconfig_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Guards against a record that makes readers panic, and against a state that a
// snapshot does not restore.
func FuzzFold(f *testing.F) {
	f.Add("change", []byte(`{"set":{"versions/m@1":{"revision":-1,"value":{"state":"active","quality":{"default":1}}}}}`))
	f.Add("change", []byte(`{"set":{"rollouts/m":{"revision":-1,"value":null}},"base":{"x":1}}`))
	f.Add("snapshot", []byte(`{"through":5}`))
	f.Add("change", []byte(`{"set":{"/":{"value":{}}}}`))
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		if !json.Valid(body) {
			return // the log holds JSON
		}
		s := kcconfig.NewState()
		for n := range int64(2) {
			s.Fold(kclog.Record{Offset: n, NewRecord: kclog.NewRecord{ID: "a", Kind: kind, Body: body}})
		}
		snap := s.Snapshot()
		restored, err := kcconfig.StateFromSnapshot(snap)
		if err != nil {
			t.Fatalf("state cannot be restored: %v", err)
		}
		if again := restored.Snapshot(); !reflect.DeepEqual(again, snap) {
			t.Errorf("restored %+v, want %+v", again, snap)
		}
	})
}
