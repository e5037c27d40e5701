package commands

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// siteFlags selects the platform and the base rules, either by a settings file
// or by the address of a demo.
type siteFlags struct {
	Settings string        `type:"existingfile" xor:"site" required:"" help:"Settings file of any instance of the site."`
	Demo     string        `placeholder:"ADDR" xor:"site" required:"" help:"Admin address of a running demo, instead of settings."`
	Timeout  time.Duration `default:"30s" help:"Time limit of the command."`
}

// rulesFileArg is the argument of commands that compare a file of rules with the
// rules in force.
type rulesFileArg struct {
	File string `arg:"" type:"existingfile" help:"Rules in the form of the settings; null removes a key, absent keys stay."`
}

func (f rulesFileArg) readStandardJSON() ([]byte, error) {
	b, err := os.ReadFile(f.File)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	std, err := hujson.Standardize(b)
	if err != nil {
		return nil, errs.New("%s: %v", f.File, err)
	}
	return std, nil
}

// loadSettings returns the settings in the file, or those of the demo.
func (s siteFlags) loadSettings() (kcsettings.Settings, error) {
	if s.Demo == "" {
		return kcsettings.Load(s.Settings)
	}
	set := kcsettings.Defaults()
	set.Platform.Log, set.Platform.List = "http://"+s.Demo, "http://"+s.Demo
	set.Rules = kcsettings.DemoRules()
	return set, nil
}

// newPlatformClient returns the HTTP client for the log and the member list.
func newPlatformClient(set kcsettings.Settings) (*http.Client, error) {
	config, err := set.TLS.Platform.ClientConfig()
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: kcresponse.NewTransport(&http.Transport{TLSClientConfig: config})}, nil
}

func (s siteFlags) newPublisher(ctx context.Context, note string) (*kcconfig.Publisher, kcsettings.Settings, error) {
	set, err := s.loadSettings()
	if err != nil {
		return nil, set, err
	}
	client, err := newPlatformClient(set)
	if err != nil {
		return nil, set, err
	}
	opts := kcconfig.PublisherOptions{
		Store: &kclog.Client{BaseURL: set.Platform.Log, HTTP: client}, Clock: kcclock.System{},
		Base: set.Rules, Note: note,
	}
	if u, err := user.Current(); err == nil {
		opts.Author = u.Username
	}
	p, err := kcconfig.NewPublisher(ctx, opts)
	return p, set, err
}

type configDiffCommand struct {
	rulesFileArg
	siteFlags
}

// Run prints the keys whose values in the file are not in force.
func (c *configDiffCommand) Run(e *commandEnv) error {
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	p, _, err := c.newPublisher(ctx, "")
	if err != nil {
		return err
	}
	_, err = c.printDiff(e, p)
	return err
}

func (f rulesFileArg) printDiff(e *commandEnv, p *kcconfig.Publisher) ([]kcconfig.Difference, error) {
	file, err := f.readStandardJSON()
	if err != nil {
		return nil, err
	}
	diff, err := p.Diff(file)
	if err != nil {
		return nil, errs.New("%s: %v", f.File, err)
	}
	for _, d := range diff {
		_, _ = fmt.Fprintf(e.stdout, "%s\n  in force %s\n  new      %s\n", d.Key,
			cmp.Or(string(d.InForce), "none"), cmp.Or(string(d.New), "removed"))
	}
	if len(diff) == 0 {
		_, _ = fmt.Fprintln(e.stdout, "no differences")
	}
	return diff, nil
}

type configPublishCommand struct {
	rulesFileArg
	siteFlags
	Note string `help:"Reason for the change, for the history."`
}

// Run publishes the differences as one change and waits until it is in force
// on every instance of the list.
func (c *configPublishCommand) Run(e *commandEnv) error {
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	p, set, err := c.newPublisher(ctx, c.Note)
	if err != nil {
		return err
	}
	diff, err := c.printDiff(e, p)
	if err != nil || len(diff) == 0 {
		return err
	}
	offset, err := p.Publish(ctx, p.BuildChange(diff))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.stdout, "accepted at offset %d\n", offset)
	client, err := newPlatformClient(set)
	if err != nil {
		return err
	}
	members, err := (&kcmember.HTTPLister{BaseURL: set.Platform.List, HTTP: client}).List(ctx)
	if err != nil {
		return errs.New("the change is accepted; cannot tell where it is in force: %v", err)
	}
	peerTLS, err := set.TLS.Peer.ClientConfig()
	if err != nil {
		return err
	}
	deployment := set.Platform.DeploymentID()
	if c.Demo != "" {
		deployment = kcsettings.Platform{}.DeploymentID() // the log of a demo is in its process
	}
	node := kcpeer.NewNode(kcpeer.Options{
		Clock: kcclock.System{}, Metrics: kcmetric.New(), TLS: peerTLS, Deployment: deployment,
	})
	return printInForce(e, kcconfig.AwaitInForce(ctx, kcclock.System{}, node, members, offset))
}

func printInForce(e *commandEnv, instances []kcconfig.InForceResult) error {
	if len(instances) == 0 {
		_, _ = fmt.Fprintln(e.stdout, "the list names no entry instances")
		return nil
	}
	slices.SortFunc(instances, func(a, b kcconfig.InForceResult) int {
		return cmp.Or(cmp.Compare(a.Member.Zone, b.Member.Zone), cmp.Compare(a.Member.ID, b.Member.ID))
	})
	zones, missing := make(map[string][2]int), 0
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	for _, f := range instances {
		n := zones[f.Member.Zone]
		n[1]++
		state := fmt.Sprintf("in force after %d ms", f.AfterMs)
		switch {
		case f.AfterMs >= 0:
			n[0]++
		case f.Err != nil:
			state = "no answer: " + f.Err.Error()
			missing++
		default:
			state = "not in force yet"
			missing++
		}
		zones[f.Member.Zone] = n
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", f.Member.ID, f.Member.Zone, state)
	}
	_ = w.Flush()
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		_, _ = fmt.Fprintf(e.stdout, "%s: in force on %d of %d instances\n", zone, zones[zone][0], zones[zone][1])
	}
	if missing > 0 {
		return errs.New("the change is accepted and remains so, but %d instances did not report it in time; see their status", missing)
	}
	return nil
}

type configHistoryCommand struct {
	siteFlags
	Limit int `default:"20" help:"Number of changes, newest first."`
}

// Run prints the newest changes in the log and whether each was accepted.
func (c *configHistoryCommand) Run(e *commandEnv) error {
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	p, _, err := c.newPublisher(ctx, "")
	if err != nil {
		return err
	}
	history := p.History()
	for n, f := range slices.Backward(history) {
		if len(history)-n > c.Limit {
			break
		}
		verdict := "accepted"
		if !f.Result.Accepted {
			verdict = "rejected: " + f.Result.Reason
		}
		at := time.UnixMilli(int64(f.AppendedAt)).UTC().Format(time.RFC3339)
		keys := strings.Join(slices.Sorted(maps.Keys(f.Change.Set)), " ")
		_, _ = fmt.Fprintf(e.stdout, "%d %s %s author=%q note=%q %s (%s)\n",
			f.Offset, at, f.ID, f.Change.Author, f.Change.Note, keys, verdict)
	}
	if len(history) == 0 {
		_, _ = fmt.Fprintln(e.stdout, "the log holds no changes")
	}
	return nil
}
