package kcchat_test

import (
	"encoding/json"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcchat"
)

// Guards against a body that makes the router panic, and against fields of the
// caller that do not reach the engine.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"auto","messages":[{"role":"user","content":"x"}],"tools":[{"a":1}],"max_tokens":3}`))
	f.Add([]byte(`{"model":1,"messages":null}`))
	f.Add([]byte(`{"messages":[{"content":[{"type":"text"}]}],"stream":true,"stream_options":{"include_usage":true}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		req, err := kcchat.Parse(b)
		if err != nil {
			return
		}
		out, err := req.UpstreamBody("m@1")
		if err != nil {
			t.Fatalf("accepted body cannot be sent: %v", err)
		}
		var before, after map[string]any
		if err := json.Unmarshal(b, &before); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(out, &after); err != nil {
			t.Fatal(err)
		}
		for field := range before {
			if _, kept := after[field]; !kept {
				t.Errorf("field %q is lost", field)
			}
		}
		if after["model"] != "m@1" {
			t.Errorf("model %v", after["model"])
		}
	})
}
