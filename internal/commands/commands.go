// Package commands implements the command lines of kingcuprail and
// kingcuprail-standin, one file per command.
package commands

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type rootCommand struct {
	Demo       demoCommand       `cmd:"" help:"Run one entry instance and all stand-in services in one process."`
	Edge       edgeCommand       `cmd:"" help:"Run an instance on the users' platform."`
	Explain    explainCommand    `cmd:"" help:"Print which candidates an instance would choose for a request and why."`
	Replay     replayCommand     `cmd:"" help:"Run a trace through the decision code and check its stated outcomes."`
	Serve      serveCommand      `cmd:"" help:"Run an entry instance."`
	Config     configCommand     `cmd:"" help:"Check and print settings."`
	Status     statusCommand     `cmd:"" help:"Print the state and the metrics of a running instance."`
	Quarantine quarantineCommand `cmd:"" help:"Print and lift blocks of prompt parts on the users' platform."`
	Bills      billsCommand      `cmd:"" help:"Print the bills in the log, and check that none is missing or duplicated."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

// commandEnv holds the context, streams and logger of a command.
type commandEnv struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	log    *slog.Logger
	// forceStop is closed at the second signal.
	forceStop <-chan struct{}
}

// Execute runs the command line and returns the exit code: 0 for success, 1
// for a failure of the command and 2 for wrong usage.
func Execute(args []string, stdout, stderr io.Writer) int {
	code := -1
	var cli rootCommand
	parser, err := kong.New(&cli, kong.Name("kingcuprail"), kong.Writers(stdout, stderr),
		kong.Description("A model-aware router for model versions and cascades."),
		kong.UsageOnError(), kong.Exit(func(n int) { code = n }))
	if err != nil {
		panic(err) // the command structs are invalid
	}
	kctx, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "kingcuprail: %v; see kingcuprail --help\n", err)
		return 2
	}
	ctx, force, stop := notifyStopSignals()
	defer stop()
	e := &commandEnv{ctx: ctx, forceStop: force, stdout: stdout, stderr: stderr, log: slog.New(slog.NewTextHandler(stderr, nil))}
	if err := kctx.Run(e); err != nil {
		_, _ = fmt.Fprintf(stderr, "kingcuprail: %v\n", err)
		return 1
	}
	return 0
}

// notifyStopSignals returns a context that ends at the first interrupt or
// termination signal, and a channel that is closed at the second.
func notifyStopSignals() (ctx context.Context, force <-chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	forceStop := make(chan struct{})
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ch
		cancel()
		<-ch
		close(forceStop)
	}()
	return ctx, forceStop, func() { signal.Stop(ch); close(ch) }
}
