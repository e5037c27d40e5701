package commands

import (
	"fmt"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

type serveCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file: the overlay of the site, or a complete file."`
	overrides
}

// Run serves until the process is told to stop.
func (c *serveCommand) Run(e *env) error {
	set, err := kcsettings.Load(c.Settings, c.Set...)
	if err != nil {
		return err
	}
	platformTLS, err := set.TLS.Platform.ClientConfig()
	if err != nil {
		return err
	}
	registry := kcmetric.New()
	// Each service has a client of its own, so that its bytes are told apart.
	client := func(name string) *http.Client {
		return &http.Client{Transport: &http.Transport{
			TLSClientConfig: platformTLS, MaxIdleConnsPerHost: 16, DialContext: registry.Traffic(name).Dial,
		}}
	}
	inst, err := kcinstance.New(kcinstance.Options{
		Force:    e.force,
		Metrics:  registry,
		Settings: set, Clock: kcclock.System{}, Log: e.log.With("instance", set.Instance.ID),
		Rater:  client("rater"),
		Store:  &kclog.Client{BaseURL: set.Platform.Log, HTTP: client("log")},
		Lister: &kcmember.HTTPLister{BaseURL: set.Platform.List, HTTP: client("list")},
		SessionKeys: func() ([]kcsession.Key, error) {
			set, err := kcsettings.Load(c.Settings, c.Set...)
			return set.SessionKeys, err
		},
	})
	if err != nil {
		return err
	}
	return inst.Run(e.ctx, func(i *kcinstance.Instance) { printAddresses(e, i, "") })
}

// printAddresses tells where an instance listens, which differs from the
// settings if they state port 0.
func printAddresses(e *env, i *kcinstance.Instance, note string) {
	_, _ = fmt.Fprintf(e.stdout, "callers  http://%s/v1%s\nadmin    http://%s\n", i.CallerAddr, note, i.AdminAddr)
}
