// Command kingcuprail-standin serves simulated platform services and upstreams
// over TCP, for tests and trials.
package main

import (
	"os"

	"github.com/kingcuprail/kingcuprail/internal/commands"
)

func main() {
	os.Exit(commands.ExecuteStandin(os.Args[1:], os.Stdout, os.Stderr))
}
