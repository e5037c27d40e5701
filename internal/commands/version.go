package commands

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the version of the module and of Go.
func (versionCommand) Run(e *commandEnv) error {
	version, goVersion := "(devel)", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
		if info.Main.Version != "" {
			version = info.Main.Version
		}
	}
	_, err := fmt.Fprintf(e.stdout, "kingcuprail %s %s\n", version, goVersion)
	return err
}
