package commands

import (
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

type demoCommand struct {
	Listen string `default:"127.0.0.1:8080" help:"Address for callers."`
	Admin  string `default:"127.0.0.1:8081" help:"Address for operators."`
}

// Run serves the demo until the process is told to stop.
func (c *demoCommand) Run(e *env) error {
	platform, err := kcstandin.StartPlatform(e.ctx, kcstandin.PlatformOptions{Clock: kcclock.System{}})
	if err != nil {
		return err
	}
	defer platform.Close()
	set := kcsettings.Defaults()
	set.Instance = kcsettings.Instance{
		ID: "demo", Zone: "zone-a", Region: "region-1", Listen: c.Listen, Admin: c.Admin, Peer: "127.0.0.1:0",
	}
	set.SessionKeys = kcsettings.DemoSessionKeys()
	set.Rules = kcsettings.DemoRules()
	inst, err := kcinstance.New(kcinstance.Options{
		Force:    e.force,
		Settings: set, Clock: kcclock.System{}, Log: e.log, Store: platform.Log, Lister: platform.List,
		SingleMemory: true,
		Admin:        func(mux *http.ServeMux) { platform.Register(mux) },
	})
	if err != nil {
		return err
	}
	return inst.Run(e.ctx, func(i *kcinstance.Instance) {
		platform.List.Put(kcmember.Member{
			ID: set.Instance.ID, Role: kcmember.RoleEntry, Addr: i.PeerAddr, Zone: set.Instance.Zone, Region: set.Instance.Region,
		})
		printAddresses(e, i, " with key "+kcsettings.DemoKey)
	})
}
