package kcchat

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
)

// Guards against an assembled response that loses fields which the router does
// not know, such as tool calls and log probabilities.
func TestAssemblerKeepsEveryField(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/assemble.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(ar.Files); i += 2 {
		t.Run(strings.TrimSuffix(ar.Files[i].Name, ".chunks"), func(t *testing.T) {
			var a Assembler
			for line := range bytes.Lines(ar.Files[i].Data) {
				if err := a.Add(line); err != nil {
					t.Fatal(err)
				}
			}
			got, err := a.Completion("r", "v")
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decodeJSON(t, got), decodeJSON(t, ar.Files[i+1].Data)) {
				t.Errorf("got  %s\nwant %s", got, ar.Files[i+1].Data)
			}
		})
	}
}

func decodeJSON(t *testing.T, b []byte) (v any) {
	t.Helper()
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber()
	if err := dec.Decode(&v); err != nil {
		t.Fatal(err)
	}
	return v
}

// Guards against a chunk of a faulty engine that makes the router panic, or
// allocate memory in proportion to an index from the chunk.
func TestAssemblerRejectsBadChoices(t *testing.T) {
	for _, chunk := range []string{
		`{"choices":[{"index":-1,"delta":{}}]}`, `{"choices":[{"index":1000000000,"delta":{}}]}`,
		`{"choices":[7]}`, `{"choices":[{"delta":{}}]}`, `[]`, `{`,
	} {
		if err := new(Assembler).Add([]byte(chunk)); err == nil {
			t.Errorf("no error for %s", chunk)
		}
	}
}
