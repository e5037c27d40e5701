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

// Origin is the place that sets a value.
type Origin struct {
	// File is the path of the settings file, "default" or "--set".
	File string `json:"file"`
	// Line counts from 1; 0 means that the origin has no lines.
	Line int `json:"line,omitempty"`
}

// originDefault is the File of values that neither a file nor an override sets.
const originDefault = "default"

// String returns file:line.
func (o Origin) String() string {
	if o.Line == 0 {
		return o.File
	}
	return o.File + ":" + strconv.Itoa(o.Line)
}

// layer is one layer of settings: a file or an override.
type layer struct {
	name string
	// jsonText is the content as standard JSON, without comments.
	jsonText []byte
	// lineByPointer maps the JSON pointer of each value to its line.
	lineByPointer map[string]int
	nullPointers  kcset.Set[string]
	baseFile      string
}

// hujsonPosition matches the position in a syntax error of hujson.
var hujsonPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

// readLayers reads the file at path and its chain of base files. The base file
// of lowest precedence comes first. A file that cannot be read or parsed is
// reported and omitted. Such a problem has no path and therefore suppresses all
// problems with single values, because the missing values would only lead to
// more problems.
func readLayers(path string) ([]*layer, Problems) {
	var chain []*layer
	var problems Problems
	visitedPaths := kcset.New[string]()
	for from := (Origin{File: path}); path != ""; {
		if visitedPaths.Has(path) {
			problems.add(from, "", "the base files form a circle; remove one base field")
			break
		}
		visitedPaths.Add(path)
		text, err := os.ReadFile(path)
		if err != nil {
			problems.add(from, "", "cannot read the settings file: "+err.Error())
			break
		}
		s, syntax := parseLayer(path, text)
		problems = append(problems, syntax...)
		if s == nil {
			break
		}
		chain = append([]*layer{s}, chain...)
		from, path = Origin{File: path, Line: s.lineByPointer["/base"]}, ""
		if s.baseFile != "" {
			path = filepath.Join(filepath.Dir(s.name), s.baseFile)
		}
	}
	return chain, problems
}

func parseLayer(name string, text []byte) (*layer, Problems) {
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
	s := &layer{name: name, lineByPointer: make(map[string]int), nullPointers: kcset.New[string]()}
	w := lineRecorder{layer: s, source: text, line: 1, problems: &problems}
	w.recordLines("", root)
	root.Standardize()
	s.jsonText = root.Pack()
	var head struct {
		Base any `json:"base"`
	}
	if json.Unmarshal(s.jsonText, &head) == nil {
		s.baseFile, _ = head.Base.(string)
	}
	return s, problems
}

// parseOverride returns the layer for an override of the form
// /path/to/value=VALUE. VALUE is taken as a string if it is not valid JSON.
func parseOverride(override string) (*layer, Problems) {
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
	s, problems := parseLayer(name, doc)
	for p := range s.lineByPointer {
		s.lineByPointer[p] = 0
	}
	return s, problems
}

// lineRecorder records the line and the nulls of a layer's values.
type lineRecorder struct {
	*layer
	source   []byte
	offset   int
	line     int
	problems *Problems
}

func (w *lineRecorder) recordLines(pointer string, v hujson.Value) {
	if _, stated := w.lineByPointer[pointer]; !stated {
		w.lineByPointer[pointer] = w.lineAt(v.StartOffset)
	}
	switch t := v.Value.(type) {
	case *hujson.Object:
		for _, m := range t.Members {
			name, _ := m.Name.Value.(hujson.Literal)
			at := pointer + kcrules.JSONPointer(name.String())
			line := w.lineAt(m.Name.StartOffset)
			if first, repeated := w.lineByPointer[at]; repeated {
				w.problems.add(Origin{w.name, line}, at, "is stated twice; first on line "+strconv.Itoa(first))
			}
			w.lineByPointer[at] = line
			w.recordLines(at, m.Value)
		}
	case *hujson.Array:
		for i, e := range t.Elements {
			w.recordLines(pointer+"/"+strconv.Itoa(i), e)
		}
	case hujson.Literal:
		if t.Kind() == 'n' {
			w.nullPointers.Add(pointer)
		}
	}
}

// lineAt returns the line of a byte offset. The offset must not be smaller than
// in the call before.
func (w *lineRecorder) lineAt(offset int) int {
	w.line += bytes.Count(w.source[w.offset:offset], []byte("\n"))
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

// parentPointer returns the pointer of the object or array that encloses a value.
func parentPointer(pointer string) string {
	return pointer[:max(strings.LastIndexByte(pointer, '/'), 0)]
}
