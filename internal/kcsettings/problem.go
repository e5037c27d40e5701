package kcsettings

import (
	"cmp"
	"slices"
	"strings"
)

// Problem is one reason why settings are rejected.
type Problem struct {
	Origin
	// Path is the JSON pointer of the value.
	Path string
	// Message states what is wrong and how to fix it.
	Message string
}

// String returns file:line, the path and the message.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Origin.String() + ": " + p.Message
	}
	return p.Origin.String() + ": " + p.Path + ": " + p.Message
}

// Problems is the error for rejected settings.
type Problems []Problem

// Error returns one problem per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func (ps *Problems) add(origin Origin, path, message string) {
	*ps = append(*ps, Problem{origin, path, message})
}

// overlapsPath reports whether there is already a problem with the value at
// path, with a value inside it or with a value that encloses it. Only one of
// these is reported, because the others are often consequences of it.
func (ps Problems) overlapsPath(path string) bool {
	return slices.ContainsFunc(ps, func(p Problem) bool {
		return p.Path == path || strings.HasPrefix(p.Path, path+"/") || strings.HasPrefix(path, p.Path+"/")
	})
}

func (ps Problems) sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
