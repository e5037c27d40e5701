// Command kingcuprail routes model requests to versions and cascades.
package main

import (
	"os"

	"github.com/kingcuprail/kingcuprail/internal/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
