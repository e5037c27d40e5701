package kcsettings_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
)

var update = flag.Bool("update", false, "write the schema file")

// Guards against a published schema that rejects a field of the structs or
// accepts one that they lack.
func TestSchemaFileMatchesStructs(t *testing.T) {
	want := kcsettings.GenerateSchema()
	if *update {
		if err := os.WriteFile("settings.schema.json", want, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if !bytes.Equal(kcsettings.SchemaFile, want) {
		t.Error("settings.schema.json is out of date; run: go generate ./internal/kcsettings")
	}
}

// Guards against mistakes in a file that are accepted or reported at the wrong
// place, and against values with a wrong origin. Each archive in testdata holds
// settings files, of which site.jsonc is read. The section "problems" lists every
// reported problem, "origins" the origins of values, "overrides" one override per
// line and "rendered" lines of the rendered settings.
func TestSettingsFiles(t *testing.T) {
	archives, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(archives) == 0 {
		t.Fatalf("no archives: %v", err)
	}
	for _, a := range archives {
		t.Run(filepath.Base(a), func(t *testing.T) {
			dir, sections := unpackArchive(t, a)
			doc, problems := kcsettings.Read(filepath.Join(dir, "site.jsonc"), lines(sections["overrides"])...)
			clean := func(s string) string { return strings.ReplaceAll(s, dir+string(filepath.Separator), "") }
			if got := clean(problems.Error()); got != strings.TrimSpace(sections["problems"]) {
				t.Errorf("problems:\n%s", got)
			}
			for _, line := range lines(sections["origins"]) {
				pointer, want, _ := strings.Cut(line, " ")
				if got := clean(doc.Origin(pointer).String()); got != want {
					t.Errorf("origin of %s: got %s, want %s", pointer, got, want)
				}
			}
			if want, ok := sections["rendered"]; ok {
				var out strings.Builder
				if err := doc.Render(&out, false); err != nil {
					t.Fatal(err)
				}
				for _, line := range lines(want) {
					if !strings.Contains(clean(out.String()), line) {
						t.Errorf("rendered settings lack the line %q:\n%s", line, clean(out.String()))
					}
				}
			}
		})
	}
}

func unpackArchive(t *testing.T, archive string) (dir string, sections map[string]string) {
	t.Helper()
	a, err := txtar.ParseFile(archive)
	if err != nil {
		t.Fatal(err)
	}
	dir, sections = t.TempDir(), make(map[string]string)
	for _, f := range a.Files {
		sections[f.Name] = string(f.Data)
		if err := os.WriteFile(filepath.Join(dir, f.Name), f.Data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir, sections
}

func lines(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == '\n' })
}
