package kcsettings

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
)

// Origin is the place that a value came from.
type Origin struct {
	// File is the path of the settings file, "default" or "--set".
	File string `json:"file"`
	// Line counts from 1; 0 means that the origin has no lines.
	Line int `json:"line,omitempty"`
}

// originDefault is the File of values that no settings file states.
const originDefault = "default"

// String returns file:line.
func (o Origin) String() string {
	if o.Line == 0 {
		return o.File
	}
	return o.File + ":" + strconv.Itoa(o.Line)
}

// source is one layer of settings: a file or an override.
type source struct {
	name string
	// text is standard JSON.
	text []byte
	// lines has the JSON pointer of each value as key.
	lines map[string]int
	nulls kcset.Set[string]
	base  string
}

// hujsonPosition matches the position in a syntax error of hujson.
var hujsonPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

// readSources returns the file at path and the base files behind it, the
// innermost base first. Files that cannot be read or parsed are reported and
// left out. These problems have no path and so cover all others, because the
// missing values would only lead to more problems.
func readSources(path string) ([]*source, Problems) {
	var chain []*source
	var problems Problems
	seen := kcset.New[string]()
	for from := (Origin{File: path}); path != ""; {
		if seen.Has(path) {
			problems.add(from, "", "the base files form a circle; remove one base field")
			break
		}
		seen.Add(path)
		text, err := os.ReadFile(path)
		if err != nil {
			problems.add(from, "", "cannot read the settings file: "+err.Error())
			break
		}
		s, syntax := parseSource(path, text)
		problems = append(problems, syntax...)
		if s == nil {
			break
		}
		chain = append([]*source{s}, chain...)
		from, path = Origin{File: path, Line: s.lines["/base"]}, ""
		if s.base != "" {
			path = filepath.Join(filepath.Dir(s.name), s.base)
		}
	}
	return chain, problems
}

func parseSource(name string, text []byte) (*source, Problems) {
	var problems Problems
	root, err := hujson.Parse(text)
	if err != nil {
		origin, message := Origin{File: name}, err.Error()
		if m := hujsonPosition.FindStringSubmatch(message); m != nil {
			origin.Line, _ = strconv.Atoi(m[1])
			message = "column " + m[2] + ": " + m[3]
		}
		problems.add(origin, "", "not valid JSON with comments: "+message)
		return nil, problems
	}
	s := &source{name: name, lines: make(map[string]int), nulls: kcset.New[string]()}
	w := walker{source: s, text: text, line: 1, problems: &problems}
	w.walk("", root)
	root.Standardize()
	s.text = root.Pack()
	var head struct {
		Base any `json:"base"`
	}
	if json.Unmarshal(s.text, &head) == nil {
		s.base, _ = head.Base.(string)
	}
	return s, problems
}

// overrideSource returns the layer for an override of the form
// /path/to/value=VALUE. VALUE is JSON, or else a string.
func overrideSource(override string) (*source, Problems) {
	const name = "--set"
	var problems Problems
	pointer, value, ok := strings.Cut(override, "=")
	if !ok || !strings.HasPrefix(pointer, "/") {
		problems.add(Origin{File: name}, "", strconv.Quote(override)+" is not of the form /path/to/value=VALUE")
		return nil, problems
	}
	doc := []byte(value)
	if !json.Valid(doc) {
		doc, _ = json.Marshal(value)
	}
	keys := splitPointer(pointer)
	for i := len(keys) - 1; i >= 0; i-- {
		key, _ := json.Marshal(keys[i])
		doc = bytes.Join([][]byte{[]byte("{"), key, []byte(":"), doc, []byte("}")}, nil)
	}
	s, problems := parseSource(name, doc)
	for p := range s.lines {
		s.lines[p] = 0
	}
	return s, problems
}

// walker records the line of each value.
type walker struct {
	*source
	text     []byte
	offset   int
	line     int
	problems *Problems
}

func (w *walker) walk(pointer string, v hujson.Value) {
	if _, stated := w.lines[pointer]; !stated {
		w.lines[pointer] = w.lineAt(v.StartOffset)
	}
	switch t := v.Value.(type) {
	case *hujson.Object:
		for _, m := range t.Members {
			name, _ := m.Name.Value.(hujson.Literal)
			at := pointer + kcrules.JSONPointer(name.String())
			line := w.lineAt(m.Name.StartOffset)
			if first, repeated := w.lines[at]; repeated {
				w.problems.add(Origin{w.name, line}, at, "is stated twice; first on line "+strconv.Itoa(first))
			}
			w.lines[at] = line
			w.walk(at, m.Value)
		}
	case *hujson.Array:
		for i, e := range t.Elements {
			w.walk(pointer+"/"+strconv.Itoa(i), e)
		}
	case hujson.Literal:
		if t.Kind() == 'n' {
			w.nulls.Add(pointer)
		}
	}
}

// lineAt returns the line of a byte offset. Offsets only grow between calls.
func (w *walker) lineAt(offset int) int {
	w.line += bytes.Count(w.text[w.offset:offset], []byte("\n"))
	w.offset = offset
	return w.line
}

// splitPointer returns the keys of a JSON pointer.
func splitPointer(pointer string) []string {
	if pointer == "" {
		return nil
	}
	keys := strings.Split(pointer[1:], "/")
	for i, k := range keys {
		keys[i] = strings.ReplaceAll(strings.ReplaceAll(k, "~1", "/"), "~0", "~")
	}
	return keys
}

// parentPointer returns the pointer of the object or array around a value.
func parentPointer(pointer string) string {
	return pointer[:max(strings.LastIndexByte(pointer, '/'), 0)]
}
