package commands

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcedge"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

type edgeCommand struct {
	Settings    string `placeholder:"FILE" help:"Settings file; by default the one that the platform names in the environment."`
	MetricsPort int    `placeholder:"PORT" help:"Port of the metrics on the address of the instance; none by default."`
	Check       bool   `help:"Check the settings and exit."`
}

// Run serves on the users' platform until the process is told to stop.
func (c *edgeCommand) Run(e *env) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(kcplatform.SettingsPathEnv)
	}
	if path == "" {
		return errs.New("no settings: use --settings or set %s", kcplatform.SettingsPathEnv)
	}
	d, err := kcplatform.ReadSettings(path)
	if err != nil || c.Check {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	reload, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-hangups:
				select {
				case reload <- struct{}{}:
				case <-done:
					return
				}
			case <-done:
				return
			}
		}
	}()
	out := newLogWriter(e.stdout)
	defer out.Close()
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: shortError}))
	return kcedge.New(kcedge.Options{
		Deployment: d, SettingsPath: path, MetricsPort: c.MetricsPort, Log: log, Reload: reload,
	}).Run(e.ctx)
}

// shortError logs an error by its message: the default adds its stack.
func shortError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
