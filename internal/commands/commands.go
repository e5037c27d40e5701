// Package commands is the command line of kingcuprail, one file per command.
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

type root struct {
	Demo    demoCommand    `cmd:"" help:"Run one entry instance with every stand-in in one process."`
	Edge    edgeCommand    `cmd:"" help:"Run an instance on the users' platform."`
	Explain explainCommand `cmd:"" help:"Print how an instance would choose for a request."`
	Replay  replayCommand  `cmd:"" help:"Run a trace through the decision code and check its stated outcomes."`
	Serve   serveCommand   `cmd:"" help:"Run an entry instance."`
	Config  configCommand  `cmd:"" help:"Check and print settings."`
	Status  statusCommand  `cmd:"" help:"Print the state and the figures of a running instance."`
	Bills   billsCommand   `cmd:"" help:"Print the bills in the log, and check that none is missing or doubled."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// env is what a command may use of its surroundings.
type env struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	log    *slog.Logger
	// force is closed at the second signal.
	force <-chan struct{}
}

// Execute runs the command line and returns the exit code: 0 for success, 1
// for a failure of the command and 2 for wrong usage.
func Execute(args []string, stdout, stderr io.Writer) int {
	code := -1
	var cli root
	parser, err := kong.New(&cli, kong.Name("kingcuprail"), kong.Writers(stdout, stderr),
		kong.Description("A model-aware router for model versions and cascades."),
		kong.UsageOnError(), kong.Exit(func(n int) { code = n }))
	if err != nil {
		panic(err) // the command structs above are wrong
	}
	kctx, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "kingcuprail: %v; see kingcuprail --help\n", err)
		return 2
	}
	ctx, force, stop := signals()
	defer stop()
	e := &env{ctx: ctx, force: force, stdout: stdout, stderr: stderr, log: slog.New(slog.NewTextHandler(stderr, nil))}
	if err := kctx.Run(e); err != nil {
		_, _ = fmt.Fprintf(stderr, "kingcuprail: %v\n", err)
		return 1
	}
	return 0
}

// signals returns a context that ends at the first signal to stop, and a
// channel that is closed at the second.
func signals() (ctx context.Context, force <-chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	second := make(chan struct{})
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ch
		cancel()
		<-ch
		close(second)
	}()
	return ctx, second, func() { signal.Stop(ch); close(ch) }
}
