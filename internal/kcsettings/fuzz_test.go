package kcsettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
)

// Guards against a settings file that makes the process panic, or that "serve"
// accepts although "config check" reports problems, and against a problem that
// does not name its file.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"instance": {"id": "a"}, "limits": {"attempts": -1}, "unknown": 1}`))
	f.Add([]byte("{// comment\n\"rules\": {\"versions\": {\"m@1\": {\"state\": \"gone\"}}},}"))
	f.Add([]byte(`{"base": "settings.jsonc"}`))
	f.Add([]byte(`[1, 2`))
	f.Fuzz(func(t *testing.T, b []byte) {
		path := filepath.Join(t.TempDir(), "settings.jsonc")
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		_, problems := kcsettings.Read(path)
		if _, err := kcsettings.Load(path); (err == nil) != (len(problems) == 0) {
			t.Errorf("%d problems, but Load says %v", len(problems), err)
		}
		for _, p := range problems {
			if !strings.Contains(p.String(), "settings.jsonc") {
				t.Errorf("problem without its file: %s", p)
			}
		}
	})
}
