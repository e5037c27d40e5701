// Command measure measures the figures that docs/CAPACITY.md is based on.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/kingcuprail/kingcuprail/internal/kccapacity"
)

type command struct {
	Only []string `help:"Parts to measure; without it all."`
	JSON string   `placeholder:"FILE" help:"Write the figures as JSON."`
	Plot string   `placeholder:"FILE" help:"Write a plot as SVG."`
}

func main() {
	var c command
	kong.Parse(&c, kong.Description("Measures the cost of the control plane at several sizes and prints a table."))
	if err := c.run(); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "measure: %v\n", err)
		os.Exit(1)
	}
}

func (c *command) run() error {
	report, err := kccapacity.Run(context.Background(), c.Only)
	if err != nil {
		return err
	}
	fmt.Print(report.Table())
	if len(c.Only) == 0 {
		fmt.Printf("\nOne instance at the target size:\n\n%s",
			kccapacity.CostTable(kccapacity.PredictCosts(report, kccapacity.TargetSize())))
	}
	for path, text := range map[string]func() ([]byte, error){c.JSON: report.JSON, c.Plot: report.Plot} {
		if path == "" {
			continue
		}
		b, err := text()
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, b, 0o600); err != nil {
			return err
		}
	}
	return nil
}
