package commands

import (
	"testing"

	"github.com/alecthomas/kong"
)

// Guards against commands, arguments and flags without a help text.
func TestEverythingHasHelp(t *testing.T) {
	for _, cli := range []any{&rootCommand{}, &standinCommand{}} {
		parser, err := kong.New(cli)
		if err != nil {
			t.Fatal(err)
		}
		err = kong.Visit(parser.Model, func(node kong.Visitable, next kong.Next) error {
			name, help := "", ""
			switch n := node.(type) {
			case *kong.Flag:
				name, help = n.Name, n.Help
			case *kong.Value:
				name, help = n.Name, n.Help
			case *kong.Node:
				name, help = n.Path(), n.Help
			}
			if name != "" && help == "" {
				t.Errorf("%s has no help", name)
			}
			return next(nil)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
