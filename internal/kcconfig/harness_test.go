package kcconfig_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// store is the log as one reader sees it.
type store struct {
	kclog.Log
	cut bool
	// end is the end of a copy of the log that lags, if it is above 0.
	end int64
}

func (s *store) Read(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (kclog.Page, error) {
	if s.cut {
		return kclog.Page{}, kclog.ErrUnavailable
	}
	page, err := s.Log.Read(ctx, stream, from, limit, wait)
	if s.end > 0 && err == nil {
		page.EndOffset = s.end
		page.Records = slices.DeleteFunc(page.Records, func(r kclog.Record) bool { return r.Offset >= s.end })
	}
	return page, err
}

// direct calls a reader as a peer, without a network.
type direct struct {
	kcpeer.Peer
	r     *kcconfig.Reader
	alter func(*kcpeer.ReadConfigResponse)
}

func (d direct) ReadConfig(ctx context.Context, req *kcpeer.ReadConfigRequest) (*kcpeer.ReadConfigResponse, error) {
	resp, err := d.r.ReadConfig(ctx, req)
	if err == nil && d.alter != nil {
		d.alter(resp)
	}
	return resp, err
}

// world is a log and the readers before it.
type world struct {
	clock   *kcclock.Manual
	log     *kcstandin.Log
	stores  map[string]*store
	readers map[string]*kcconfig.Reader
	zones   map[string]string
	taken   map[string]kcconfig.Snapshot
	alter   func(*kcpeer.ReadConfigResponse)
}

func newWorld() *world {
	clock := kcclock.NewManual(1_000_000)
	return &world{
		clock: clock, log: kcstandin.NewLog(kcstandin.LogOptions{Clock: clock, RetentionMs: 10_000}),
		stores: make(map[string]*store), readers: make(map[string]*kcconfig.Reader),
		zones: make(map[string]string), taken: make(map[string]kcconfig.Snapshot),
	}
}

func baseRules() kcrules.Rules {
	return kcrules.Rules{Versions: map[string]kcrules.Version{"base@1": version("active")}}
}

func version(state string) kcrules.Version {
	return kcrules.Version{State: kcrules.State(state), Quality: map[kcrules.Class]float64{kcrules.DefaultClass: 0.9}}
}

// start starts a reader with empty memory, or starts it anew.
func (w *world) start(id string) {
	if w.stores[id] == nil {
		w.stores[id] = &store{Log: w.log}
	}
	w.readers[id] = kcconfig.NewReader(kcconfig.ReaderOptions{
		Clock: w.clock, Store: w.stores[id], Base: baseRules(), Self: id, Zone: w.zones[id],
		Zones: func() map[string]string { return w.zones },
	})
}

// poll reads the log to its end.
func (w *world) poll(ctx context.Context, id string) error {
	for {
		more, err := w.readers[id].Poll(ctx, 0)
		if err != nil || !more {
			return err
		}
	}
}

// gossip lets reader a ask reader b.
func (w *world) gossip(ctx context.Context, a, b string) {
	d := &kcpeer.Digest{Instance: b, Zone: w.zones[b]}
	w.readers[b].FillDigest(d)
	w.readers[a].ReadAnswer(ctx, direct{r: w.readers[b], alter: w.alter}, d, w.clock.Now())
}

// change makes the body of a change from KEY=REVISION:VALUE. The value is the
// state of a version, the allowed models of a workspace, or null.
func change(specs []string) (kcconfig.Change, error) {
	c := kcconfig.Change{Set: make(map[string]kcconfig.Item)}
	for _, spec := range specs {
		key, rest, _ := strings.Cut(spec, "=")
		rev, value, ok := strings.Cut(rest, ":")
		n, err := strconv.ParseInt(rev, 10, 64)
		if err != nil || !ok {
			return c, fmt.Errorf("not KEY=REVISION:VALUE: %s", spec)
		}
		var v any
		switch {
		case value == "null":
		case strings.HasPrefix(key, "versions/"):
			v = version(value)
		default:
			v = kcrules.Workspace{AllowedModels: strings.Split(value, ",")}
		}
		b, err := json.Marshal(v)
		if err != nil {
			return c, err
		}
		c.Set[key] = kcconfig.Item{Revision: n, Value: b}
	}
	return c, nil
}

func (w *world) append(ctx context.Context, rec kclog.NewRecord) error {
	_, err := w.log.Append(ctx, kcconfig.Stream, []kclog.NewRecord{rec})
	return err
}

// describe prints what a script can ask of a reader.
func (w *world) describe(id string) map[string]string {
	r := w.readers[id]
	next, revision := r.Position()
	out := map[string]string{
		"next": strconv.FormatInt(next, 10), "rev": strconv.FormatInt(revision, 10), "fresh": r.Freshness().Reason,
	}
	for key, v := range r.Rules().Versions {
		out["versions/"+key] = string(v.State)
	}
	for key, ws := range r.Rules().Workspaces {
		out["workspaces/"+key] = strings.Join(ws.AllowedModels, ",")
	}
	return out
}

type stepFunc func(w *world, ctx context.Context, f []string) error

// steps are the words of a script.
var steps = map[string]stepFunc{
	"reader": func(w *world, _ context.Context, f []string) error {
		w.zones = maps.Clone(w.zones) // a reader may hold the map
		w.zones[f[0]] = f[1]
		w.start(f[0])
		return nil
	},
	"restart": func(w *world, _ context.Context, f []string) error {
		w.start(f[0])
		return nil
	},
	"poll": func(w *world, ctx context.Context, f []string) error {
		for _, id := range f {
			_ = w.poll(ctx, id) // the log may be down
		}
		return nil
	},
	"ask": func(w *world, ctx context.Context, f []string) error {
		for _, id := range f[1:] {
			w.gossip(ctx, f[0], id)
		}
		return nil
	},
	"publish": func(w *world, ctx context.Context, f []string) error {
		c, err := change(f[1:])
		if err != nil {
			return err
		}
		return w.append(ctx, kclog.Encode(f[0], kcconfig.KindChange, c))
	},
	"burst": func(w *world, ctx context.Context, f []string) error {
		n, err := strconv.Atoi(f[0])
		for i := range n {
			c, _ := change([]string{fmt.Sprintf("versions/burst@%d=-1:active", i)})
			if err := w.append(ctx, kclog.Encode("burst"+strconv.Itoa(i), kcconfig.KindChange, c)); err != nil {
				return err
			}
		}
		return err
	},
	"take": func(w *world, _ context.Context, f []string) error {
		w.taken[f[1]] = w.readers[f[0]].Snapshot()
		return nil
	},
	"append": func(w *world, ctx context.Context, f []string) error {
		return w.append(ctx, kclog.Encode(f[0], kcconfig.KindSnapshot, w.taken[f[0]]))
	},
	"cut":  func(w *world, _ context.Context, f []string) error { return w.cut(true, f) },
	"join": func(w *world, _ context.Context, f []string) error { return w.cut(false, f) },
	"down": func(w *world, _ context.Context, _ []string) error { return w.down(true) },
	"up":   func(w *world, _ context.Context, _ []string) error { return w.down(false) },
	"lag": func(w *world, _ context.Context, f []string) (err error) {
		w.stores[f[0]].end, err = strconv.ParseInt(f[1], 10, 64)
		return err
	},
	"relay": func(w *world, ctx context.Context, f []string) error {
		w.alter = alterations[f[0]]
		if f[0] == "overtaken" {
			w.alter = func(*kcpeer.ReadConfigResponse) { _ = w.poll(ctx, f[1]) }
		}
		return nil
	},
	"wait": func(w *world, _ context.Context, f []string) error {
		ms, err := strconv.Atoi(f[0])
		w.clock.Advance(kcclock.Millis(ms))
		return err
	},
	"want": func(w *world, _ context.Context, f []string) error {
		got := w.describe(f[0])
		for _, pair := range f[1:] {
			key, want, _ := strings.Cut(pair, "=")
			if got[key] != want {
				return fmt.Errorf("%s is %q; all: %v", key, got[key], got)
			}
		}
		return nil
	},
}

func (w *world) cut(cut bool, ids []string) error {
	for _, id := range ids {
		w.stores[id].cut = cut
	}
	return nil
}

func (w *world) down(down bool) error {
	w.log.SetFaults(kcstandin.LogFaults{Down: down})
	return nil
}

// alterations are what a faulty peer does to the records it relays.
var alterations = map[string]func(*kcpeer.ReadConfigResponse){
	"whole": nil,
	"gaps": func(resp *kcpeer.ReadConfigResponse) {
		if len(resp.Records) > 0 {
			resp.Records = resp.Records[1:]
		}
	},
	"forged": func(resp *kcpeer.ReadConfigResponse) {
		for _, rec := range resp.Records {
			rec.Body = []byte(strings.ReplaceAll(string(rec.Body), "withdrawn", "active"))
		}
	},
	"forgedState": func(resp *kcpeer.ReadConfigResponse) {
		resp.State = []byte(strings.ReplaceAll(string(resp.State), "withdrawn", "active"))
	},
	"old": func(resp *kcpeer.ReadConfigResponse) {
		for _, rec := range resp.Records {
			rec.Offset--
		}
	},
}
