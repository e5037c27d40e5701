package commands

import (
	"fmt"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
)

type configCommand struct {
	Check  configCheckCommand  `cmd:"" help:"Check settings files and report every mistake with its location and the likely fix."`
	Render configRenderCommand `cmd:"" help:"Print the merged settings of a file, each value with its origin."`
	Schema configSchemaCommand `cmd:"" help:"Print the JSON schema of a settings file."`

	Diff    configDiffCommand    `cmd:"" help:"Print the rules of a file that are not in force."`
	Publish configPublishCommand `cmd:"" help:"Publish the rules of a file and wait until they are in force everywhere."`
	History configHistoryCommand `cmd:"" help:"Print the changes in the log and whether each was accepted."`
}

// settingOverrides holds the flags of commands that read settings.
type settingOverrides struct {
	Set []string `placeholder:"POINTER=VALUE" sep:"none" help:"Override a value, as in /instance/id=entry-2; may be repeated."`
}

type configCheckCommand struct {
	Files   []string `arg:"" name:"file" help:"Settings files: overlays or complete files."`
	Partial bool     `help:"Allow values that an overlay still has to supply; for base files."`
	settingOverrides
}

// Run checks the files. It reports each problem once, even if several files
// share a base file.
func (c *configCheckCommand) Run(e *commandEnv) error {
	reported := kcset.New[string]()
	for _, file := range c.Files {
		_, problems := kcsettings.Read(file, c.Set...)
		if c.Partial {
			problems = problems.WithoutMissingOverlayValues()
		}
		if len(problems) == 0 {
			_, _ = fmt.Fprintf(e.stdout, "%s: ok\n", file)
		}
		for _, p := range problems {
			if line := p.String(); !reported.Has(line) {
				reported.Add(line)
				_, _ = fmt.Fprintln(e.stdout, line)
			}
		}
	}
	if n := len(reported); n > 0 {
		return errs.New("%d problems in the settings", n)
	}
	return nil
}

type configRenderCommand struct {
	File string `arg:"" help:"Settings file."`
	settingOverrides
	ShowSecrets bool `help:"Print the secrets of the session keys, which are hidden otherwise."`
}

// Run prints the merged settings. It rejects settings that serve would reject.
func (c *configRenderCommand) Run(e *commandEnv) error {
	doc, problems := kcsettings.Read(c.File, c.Set...)
	if len(problems) > 0 {
		return problems
	}
	return doc.Render(e.stdout, c.ShowSecrets)
}

type configSchemaCommand struct{}

// Run prints the schema.
func (configSchemaCommand) Run(e *commandEnv) error {
	_, err := e.stdout.Write(kcsettings.SchemaFile)
	return errs.Wrap(err)
}
