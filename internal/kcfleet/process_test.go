// Package kcfleet tests the built programs as separate processes: several entry
// instances and one stand-in process for the platform and the upstreams.
// Instances are killed and faults are injected while callers send requests.
package kcfleet

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcprogram"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
)

// programs holds the paths of the built programs by name.
var programs = map[string]string{}

func TestMain(m *testing.M) {
	dir, remove, err := kcprogram.TempDir()
	if err != nil {
		panic(err)
	}
	for name, pkg := range map[string]string{"kingcuprail": "../..", "kingcuprail-standin": "../../cmd/kingcuprail-standin"} {
		if programs[name], err = kcprogram.Build(dir, pkg); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	remove()
	os.Exit(code)
}

func writeSettings(t *testing.T, s kcsettings.Settings) string {
	t.Helper()
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
