package commands

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

type quarantineCommand struct {
	List quarantineListCommand `cmd:"" help:"Print the blocked prompt parts and the crashes that speak against them."`
	Lift quarantineLiftCommand `cmd:"" help:"Lift the block of a prompt part at all instances."`
}

// platformStore is the address of the store of the users' platform.
type platformStore struct {
	Store     string         `required:"" placeholder:"ADDRESS" help:"Address of the store of the platform, IP:port."`
	TimeoutMs kcclock.Millis `default:"5000" help:"Longest time for a call in milliseconds."`
}

func (p platformStore) open() (*kcplatform.Store, func()) {
	pool := kcconn.NewPool(kcconn.Options{
		Clock: kcclock.System{}, DialTimeoutMs: p.TimeoutMs, UnackedTimeoutMs: p.TimeoutMs, IdleTimeoutMs: p.TimeoutMs,
		MaxIdlePerAddr: 1,
	})
	return &kcplatform.Store{Pool: pool, Addr: p.Store}, pool.Close
}

type quarantineListCommand struct {
	platformStore
	JSON bool `name:"json" help:"Print JSON."`
}

// Run prints the blocked prompt parts.
func (c *quarantineListCommand) Run(e *commandEnv) error {
	store, closeStore := c.open()
	defer closeStore()
	ctx, cancel := kcclock.WithTimeout(e.ctx, kcclock.System{}, c.TimeoutMs)
	defer cancel()
	page, err := store.ReadSnapshot(ctx, kcplatform.TopicStatus, kcfeed.Position{})
	if err != nil {
		return errs.New("cannot read the blocked parts: %v", err)
	}
	blocks := []kcquarantine.Block{}
	for _, r := range page.Records {
		if _, ok := kcplatform.BlockedPart(r.Key); !ok || len(r.Value) == 0 {
			continue
		}
		var b kcquarantine.Block
		if err := json.Unmarshal(r.Value, &b); err != nil {
			return errs.New("cannot decode %s at offset %d: %v", r.Key, r.Offset, err)
		}
		blocks = append(blocks, b)
	}
	if c.JSON {
		return json.NewEncoder(e.stdout).Encode(blocks)
	}
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "part\tcrashes\tnext trial\tupstream\tcrashed at\trequest")
	for _, b := range blocks {
		for i, x := range b.Evidence {
			part, crashes, next := "", "", ""
			if i == 0 {
				part, crashes, next = b.Part.String(), fmt.Sprint(b.Failures), formatTime(b.NextTrialAt)
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", part, crashes, next, x.Upstream, formatTime(x.At), x.Request)
		}
	}
	return w.Flush()
}

func formatTime(at kcclock.Millis) string {
	return time.UnixMilli(int64(at)).UTC().Format("2006-01-02T15:04:05.000Z")
}

type quarantineLiftCommand struct {
	platformStore
	Part string `arg:"" help:"The part, as list prints it."`
}

// Run deletes the record of a blocked part, which lifts the block at all instances
// that read the store.
func (c *quarantineLiftCommand) Run(e *commandEnv) error {
	part, err := kcquarantine.ParsePart(c.Part)
	if err != nil {
		return errs.New("%q is not a part: use the first column of kingcuprail quarantine list", c.Part)
	}
	store, closeStore := c.open()
	defer closeStore()
	ctx, cancel := kcclock.WithTimeout(e.ctx, kcclock.System{}, c.TimeoutMs)
	defer cancel()
	if err := store.SetKey(ctx, kcplatform.TopicStatus, kcplatform.BlockKey(part.String()), nil); err != nil {
		return errs.New("cannot lift the block: %v", err)
	}
	_, _ = fmt.Fprintln(e.stdout, "lifted", part)
	return nil
}
