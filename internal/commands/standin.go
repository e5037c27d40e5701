package commands

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

type standinCommand struct {
	Listen     string `default:"127.0.0.1:9090" help:"Address of the platform's services and of the stand-in controls."`
	Deployment string `placeholder:"FILE" help:"Deployment file: the upstreams and entry instances; without it those of the demo."`
	Seed       uint64 `default:"1" help:"Seed of the faults."`
	TokenMs    int64  `default:"5" help:"Time per generated token of the demo's engines in milliseconds."`

	Log     kcstandin.LogFaults          `embed:"" prefix:"log-" group:"Faults of the log"`
	List    kcstandin.InstanceListFaults `embed:"" prefix:"list-" group:"Faults of the list of instances"`
	Rater   kcstandin.RaterFaults        `embed:"" prefix:"rater-" group:"Faults of the rating service"`
	Weights kcstandin.WeightStoreFaults  `embed:"" prefix:"weights-" group:"Faults of the weight store"`
	Engine  kcstandin.EngineFaults       `embed:"" prefix:"engine-" group:"Faults of every engine"`
	Service kcstandin.ServiceFaults      `embed:"" prefix:"service-" group:"Faults of every plain service"`
}

// ExecuteStandin runs the stand-in program and returns its exit code.
func ExecuteStandin(args []string, stdout, stderr io.Writer) int {
	var cli standinCommand
	code := -1
	parser, err := kong.New(&cli, kong.Name("kingcuprail-standin"), kong.Writers(stdout, stderr),
		kong.Description("Stand-ins for the platform's services and for upstreams."),
		kong.Exit(func(n int) { code = n }))
	if err != nil {
		panic(err) // the command struct is invalid
	}
	_, err = parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "kingcuprail-standin: %v; see kingcuprail-standin --help\n", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cli.run(ctx, stdout); err != nil {
		_, _ = fmt.Fprintf(stderr, "kingcuprail-standin: %v\n", err)
		return 1
	}
	return 0
}

func (c *standinCommand) run(ctx context.Context, stdout io.Writer) error {
	opts := kcstandin.PlatformOptions{
		Clock: kcclock.System{}, Seed: c.Seed, TokenMillis: kcclock.Millis(c.TokenMs),
	}
	if c.Deployment != "" {
		d, err := kcstandin.ReadDeployment(c.Deployment)
		if err != nil {
			return err
		}
		opts.Deployment = &d
	}
	p, err := kcstandin.StartPlatform(ctx, opts)
	if err != nil {
		return err
	}
	defer p.Close()
	p.SetFaults(kcstandin.Faults{
		Log: c.Log, List: c.List, Rater: c.Rater, Weights: c.Weights, Engine: c.Engine, Service: c.Service,
	})
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	p.Register(mux)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	_, _ = fmt.Fprintf(stdout, "platform http://%s\n", ln.Addr())
	select {
	case <-ctx.Done():
		return srv.Close()
	case err := <-failed:
		return err
	}
}
