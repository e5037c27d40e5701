package kcsettings

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
)

// redactedSecret replaces secrets in rendered settings.
const redactedSecret = "(hidden)"

// Render writes the merged settings as JSON with a comment after each value that
// names its origin. Secrets are redacted unless showSecrets is set.
func (d *Document) Render(w io.Writer, showSecrets bool) error {
	shown := d.Settings
	if !showSecrets {
		shown.SessionKeys = nil
		for _, k := range d.Settings.SessionKeys {
			k.Secret = redactedSecret
			shown.SessionKeys = append(shown.SessionKeys, k)
		}
	}
	text, err := json.Marshal(shown)
	if err != nil {
		return errs.Wrap(err)
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return errs.Wrap(err)
	}
	r := renderer{document: d}
	r.writeValue("", root, "", "")
	_, err = io.WriteString(w, r.out.String())
	return errs.Wrap(err)
}

type renderer struct {
	document *Document
	out      strings.Builder
}

// writeValue writes one value. The caller has written its name and indentation.
func (r *renderer) writeValue(pointer string, v hujson.Value, indent, comma string) {
	inner := indent + "  "
	switch t := v.Value.(type) {
	case *hujson.Object:
		if len(t.Members) == 0 {
			r.writeLeaf(pointer, "{}", comma)
			return
		}
		r.out.WriteString("{\n")
		for i, m := range t.Members {
			name := m.Name.Value.(hujson.Literal)
			r.out.WriteString(inner + string(name) + ": ")
			r.writeValue(pointer+kcrules.JSONPointer(name.String()), m.Value, inner, commaUnlessLast(i, len(t.Members)))
		}
		r.out.WriteString(indent + "}" + comma + "\n")
	case *hujson.Array:
		if len(t.Elements) == 0 {
			r.writeLeaf(pointer, "[]", comma)
			return
		}
		r.out.WriteString("[\n")
		for i, e := range t.Elements {
			r.out.WriteString(inner)
			r.writeValue(fmt.Sprintf("%s/%d", pointer, i), e, inner, commaUnlessLast(i, len(t.Elements)))
		}
		r.out.WriteString(indent + "]" + comma + "\n")
	case hujson.Literal:
		r.writeLeaf(pointer, string(t), comma)
	}
}

func (r *renderer) writeLeaf(pointer, text, comma string) {
	fmt.Fprintf(&r.out, "%s%s // %s\n", text, comma, r.document.Origin(pointer))
}

func commaUnlessLast(i, n int) string {
	if i == n-1 {
		return ""
	}
	return ","
}
