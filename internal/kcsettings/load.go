package kcsettings

import (
	"encoding/json"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/zeebo/errs"
)

// Document is the result of merging a settings file with its base files and
// overrides.
type Document struct {
	Settings Settings
	// layers starts with the base file of lowest precedence and ends with the
	// overrides.
	layers []*layer
}

// Read reads the settings file at path, applies it to its base files as a JSON
// merge patch (RFC 7396) and applies the overrides, which have the form
// /path/to/value=VALUE. A *Document is returned even if there are problems; it
// then holds the settings that could be read.
func Read(path string, overrides ...string) (*Document, Problems) {
	d := &Document{Settings: Defaults()}
	var problems Problems
	d.layers, problems = readLayers(path)
	for _, o := range overrides {
		s, overrideProblems := parseOverride(o)
		problems = append(problems, overrideProblems...)
		if s != nil {
			d.layers = append(d.layers, s)
		}
	}
	if len(d.layers) == 0 {
		return d, problems
	}
	for _, s := range d.layers {
		problems = append(problems, checkSchema(s)...)
	}
	if err := d.mergeLayers(); err != nil {
		if len(problems) == 0 {
			problems.add(Origin{File: path}, "", err.Error())
		}
	}
	for _, p := range checkSettings(&d.Settings) {
		if !problems.overlapsPath(p.Path) {
			problems.add(d.nearestOrigin(p.Path), p.Path, p.Message)
		}
	}
	problems.sort()
	return d, problems
}

// Load reads the settings file at path with the overrides. The error is of
// type Problems.
func Load(path string, overrides ...string) (Settings, error) {
	d, problems := Read(path, overrides...)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return d.Settings, nil
}

func (d *Document) mergeLayers() error {
	merged := []byte("{}")
	for _, s := range d.layers {
		var err error
		if merged, err = jsonpatch.MergePatch(merged, s.jsonText); err != nil {
			return errs.New("%s: %v", s.name, err)
		}
	}
	err := json.Unmarshal(merged, &d.Settings)
	d.Settings.Schema, d.Settings.Base = "", ""
	return errs.Wrap(err)
}

// Origin returns the place that sets the value at a JSON pointer.
func (d *Document) Origin(pointer string) Origin {
	for _, s := range slices.Backward(d.layers) {
		if _, ok := s.lineByPointer[pointer]; ok && !s.nullPointers.Has(pointer) {
			return s.origin(pointer)
		}
		for p := pointer; p != ""; p = parentPointer(p) {
			if s.nullPointers.Has(p) {
				return Origin{File: originDefault}
			}
		}
	}
	return Origin{File: originDefault}
}

// nearestOrigin returns the origin of the value at pointer, or of the innermost
// enclosing value that a layer sets.
func (d *Document) nearestOrigin(pointer string) Origin {
	for p := pointer; p != ""; p = parentPointer(p) {
		if o := d.Origin(p); o.File != originDefault {
			return o
		}
	}
	return Origin{File: d.requestedLayer().name}
}

// requestedLayer returns the layer of the settings file that was passed to Read.
func (d *Document) requestedLayer() *layer {
	for _, s := range slices.Backward(d.layers) {
		if s.name != "--set" {
			return s
		}
	}
	return d.layers[0]
}

// origin returns the place of the value at pointer, or of the innermost
// enclosing value that the layer sets.
func (s *layer) origin(pointer string) Origin {
	for ; ; pointer = parentPointer(pointer) {
		if line, ok := s.lineByPointer[pointer]; ok || pointer == "" {
			return Origin{File: s.name, Line: line}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
