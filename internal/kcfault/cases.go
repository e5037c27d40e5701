// Package kcfault provides servers whose responses break HTTP, break off or never
// end, for the tests of all that reads responses.
package kcfault

import (
	_ "embed"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
)

// End is what a server does with a connection after a response.
type End string

// The ends of a connection.
const (
	// Close ends the connection in order.
	Close End = "close"
	// Reset ends it with a reset.
	Reset End = "reset"
	// Hold keeps it open and sends nothing more.
	Hold End = "hold"
	// Keep reads the next request.
	Keep End = "keep"
)

// Case is a response and how its connection ends.
type Case struct {
	Name string
	// Sound is true if the response is complete and correct, so that it must be
	// accepted.
	Sound bool
	// Whole is true if the whole body arrives although its framing is broken. Readers
	// of bodies with an end of their own may accept it.
	Whole bool
	// Unframed responses have neither a length nor chunks. Readers that require either
	// must reject them.
	Unframed bool
	// Early responses are sent while the client still writes its request, of which
	// the server reads no more. Only the upload of a body of UploadBytes blocks.
	Early bool
	// Response is sent as it is, with placeholders for the parts of a sound response.
	Response string
	// Flood, if not empty, follows the response again and again until the client
	// closes the connection.
	Flood string
	End   End
}

//go:embed testdata/responses.txtar
var responses []byte

// Cases returns the cases of testdata/responses.txtar, which explains their format.
func Cases(tb testing.TB) []Case {
	tb.Helper()
	var cases []Case
	for _, f := range txtar.Parse(responses).Files {
		c, err := parseCase(f)
		if err != nil {
			tb.Fatal(err)
		}
		cases = append(cases, c)
	}
	return cases
}

// parseText returns the text of a string of Go, which may stand behind the number of its
// repetitions.
func parseText(arg string) (string, error) {
	n := 1
	if count, rest, _ := strings.Cut(arg, " "); strings.Trim(count, "0123456789") == "" {
		var err error
		if n, err = strconv.Atoi(count); err != nil {
			return "", err
		}
		arg = rest
	}
	text, err := strconv.Unquote(arg)
	return strings.Repeat(text, n), err
}

func parseCase(f txtar.File) (Case, error) {
	c := Case{Name: f.Name, End: Close}
	for line := range strings.Lines(string(f.Data)) {
		word, arg, _ := strings.Cut(strings.TrimSpace(line), " ")
		var err error
		switch word {
		case "":
		case "sound":
			c.Sound = true
		case "whole":
			c.Whole = true
		case "unframed":
			c.Unframed = true
		case "early":
			c.Early = true
		case "end":
			c.End = End(arg)
		case "send", "flood":
			var text string
			text, err = parseText(arg)
			if word == "flood" {
				c.Flood += text
			} else {
				c.Response += text
			}
		default:
			err = fmt.Errorf("unknown word %q", word)
		}
		if err != nil {
			return c, fmt.Errorf("case %q, line %q: %w", f.Name, line, err)
		}
	}
	return c, nil
}
