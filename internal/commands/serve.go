package commands

import (
	"fmt"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

type serveCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file: the overlay of the site, or a complete file."`
	settingOverrides
}

// Run serves until a signal stops the process.
func (c *serveCommand) Run(e *commandEnv) error {
	set, err := kcsettings.Load(c.Settings, c.Set...)
	if err != nil {
		return err
	}
	platformTLS, err := set.TLS.Platform.ClientConfig()
	if err != nil {
		return err
	}
	registry := kcmetric.New()
	// Each platform service has its own client, so that its traffic is counted
	// separately.
	newClient := func(name string) *http.Client {
		return &http.Client{Transport: kcresponse.NewTransport(&http.Transport{
			TLSClientConfig: platformTLS, MaxIdleConnsPerHost: 16, DialContext: registry.Traffic(name).Dial,
		})}
	}
	inst, err := kcinstance.New(kcinstance.Options{
		ForceStop: e.forceStop,
		Metrics:   registry,
		Settings:  set, Clock: kcclock.System{}, Log: e.log.With("instance", set.Instance.ID),
		RatingClient: newClient("rater"),
		RecordLog:    &kclog.Client{BaseURL: set.Platform.Log, HTTP: newClient("log")},
		Lister: &kcmember.HTTPLister{
			BaseURL: set.Platform.List, HTTP: newClient("list"),
			OnMalformed: func(n int) { e.log.Warn("malformedMembers", "members", n) },
		},
		ReloadSessionKeys: func() ([]kcsession.Key, error) {
			set, err := kcsettings.Load(c.Settings, c.Set...)
			return set.SessionKeys, err
		},
	})
	if err != nil {
		return err
	}
	return inst.Run(e.ctx, func(i *kcinstance.Instance) { printAddresses(e, i, "") })
}

// printAddresses prints the addresses that an instance listens on. They differ
// from the settings if those use port 0.
func printAddresses(e *commandEnv, i *kcinstance.Instance, note string) {
	_, _ = fmt.Fprintf(e.stdout, "callers  http://%s/v1%s\nadmin    http://%s\n", i.CallerAddr, note, i.AdminAddr)
}
