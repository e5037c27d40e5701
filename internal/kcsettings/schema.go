package kcsettings

import (
	"bytes"
	_ "embed" // for the schema file
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
)

// SchemaFile is the published JSON schema of a settings file. It is generated
// from Settings with: go generate ./internal/kcsettings.
//
//go:embed settings.schema.json
var SchemaFile []byte

//go:generate go test -run TestSchemaFileMatchesStructs -update .

const schemaURL = "settings.schema.json"

var compiledSchema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(SchemaFile))
	if err != nil {
		panic(err) // the embedded file is not valid JSON
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaURL, doc); err != nil {
		panic(err)
	}
	return c.MustCompile(schemaURL)
})

// GenerateSchema returns the JSON schema of a settings file, derived from the
// Settings struct.
func GenerateSchema() []byte {
	doc := schemaForType(reflect.TypeFor[Settings]())
	doc["$schema"] = "https://json-schema.org/draft/2020-12/schema"
	doc["title"] = "kingcuprail settings"
	b, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		panic(err) // the document holds only strings, maps and lists
	}
	return append(b, '\n')
}

// schemaForType returns the JSON schema for a Go type. It allows null for each
// value, because an overlay removes a value of its base with null.
func schemaForType(t reflect.Type) map[string]any {
	switch t.Kind() {
	case reflect.Struct:
		properties := make(map[string]any)
		for name, field := range jsonFields(t) {
			properties[name] = schemaForType(field)
		}
		return map[string]any{"type": []string{"object", "null"}, "properties": properties, "additionalProperties": false}
	case reflect.Map:
		return map[string]any{"type": []string{"object", "null"}, "additionalProperties": schemaForType(t.Elem())}
	case reflect.Slice:
		return map[string]any{"type": []string{"array", "null"}, "items": schemaForType(t.Elem())}
	case reflect.Pointer:
		return schemaForType(t.Elem())
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return map[string]any{"type": []string{"integer", "null"}}
	case reflect.Float64:
		return map[string]any{"type": []string{"number", "null"}}
	case reflect.Bool:
		return map[string]any{"type": []string{"boolean", "null"}}
	case reflect.String:
		return map[string]any{"type": []string{"string", "null"}}
	default:
		panic("settings: no schema for type " + t.String())
	}
}

// jsonFields returns the types of a struct's fields, keyed by their JSON names.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	return fields
}

// checkSchema reports unknown fields, values of the wrong type and nulls that
// have no base value to remove in one layer.
func checkSchema(s *layer) Problems {
	var problems Problems
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(s.jsonText))
	if err != nil {
		problems.add(Origin{File: s.name}, "", err.Error())
		return problems
	}
	var invalid *jsonschema.ValidationError
	if errors.As(compiledSchema().Validate(doc), &invalid) {
		addSchemaProblems(s, invalid, &problems)
	}
	if s.baseFile == "" && s.name != "--set" {
		for _, path := range kcset.Sorted(s.nullPointers) {
			problems.add(s.origin(path), path, "null removes a value of the base file, and this file names none; remove the line")
		}
	}
	return problems
}

func addSchemaProblems(s *layer, invalid *jsonschema.ValidationError, problems *Problems) {
	path := kcrules.JSONPointer(invalid.InstanceLocation...)
	switch k := invalid.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range slices.Sorted(slices.Values(k.Properties)) {
			at := path + kcrules.JSONPointer(name)
			problems.add(s.origin(at), at, "unknown field"+suggestField(invalid.InstanceLocation, name))
		}
	case *kind.Type:
		want := strings.Join(slices.DeleteFunc(slices.Clone(k.Want), func(t string) bool { return t == "null" }), " or ")
		message := fmt.Sprintf("is of type %s, must be %s", k.Got, want)
		if k.Got == "string" && (want == "integer" || want == "number" || want == "boolean") {
			message += "; remove the quotes"
		}
		problems.add(s.origin(path), path, message)
	default:
		if len(invalid.Causes) == 0 {
			problems.add(s.origin(path), path, invalid.Error())
		}
	}
	for _, c := range invalid.Causes {
		addSchemaProblems(s, c, problems)
	}
}

// suggestField returns a clause that suggests the name or the location that was
// probably meant by an unknown field.
func suggestField(location []string, name string) string {
	t := reflect.TypeFor[Settings]()
	for _, key := range location {
		t = childType(t, key)
	}
	known := make([]string, 0, 16)
	for field := range jsonFields(t) {
		known = append(known, field)
	}
	if near, ok := kcset.Nearest(name, known); ok {
		return "; did you mean " + strconv.Quote(near) + "?"
	}
	if place := findField(reflect.TypeFor[Settings](), name, ""); place != "" {
		return "; it belongs to " + place
	}
	slices.Sort(known)
	return "; known are " + strings.Join(known, ", ")
}

func childType(t reflect.Type, key string) reflect.Type {
	if t.Kind() == reflect.Struct {
		return jsonFields(t)[key]
	}
	return t.Elem()
}

// findField returns the pointer of the first object below path that has a field
// with the given name, or "". An asterisk in the pointer stands for any key.
func findField(t reflect.Type, name, path string) string {
	switch t.Kind() {
	case reflect.Map, reflect.Slice:
		return findField(t.Elem(), name, path+"/*")
	case reflect.Struct:
		fields := jsonFields(t)
		if _, ok := fields[name]; ok && path != "" {
			return path
		}
		for _, field := range sortedKeys(fields) {
			if place := findField(fields[field], name, path+"/"+field); place != "" {
				return place
			}
		}
	}
	return ""
}
