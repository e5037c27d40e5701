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

// store is the log as seen by one reader.
type store struct {
	kclog.Log
	cut bool
	// visibleEnd is the end offset of a log replica that lags behind. 0 means that
	// it does not lag.
	visibleEnd int64
}

func (s *store) Read(ctx context.Context, stream string, from int64, limit int, wait kcclock.Millis) (kclog.Page, error) {
	if s.cut {
		return kclog.Page{}, kclog.ErrUnavailable
	}
	page, err := s.Log.Read(ctx, stream, from, limit, wait)
	if s.visibleEnd > 0 && err == nil {
		page.EndOffset = s.visibleEnd
		page.Records = slices.DeleteFunc(page.Records, func(r kclog.Record) bool { return r.Offset >= s.visibleEnd })
	}
	return page, err
}

// directPeer calls a reader as a peer, without a network.
type directPeer struct {
	kcpeer.Peer
	r             *kcconfig.Reader
	alterResponse func(*kcpeer.ReadConfigResponse)
}

func (d directPeer) ReadConfig(ctx context.Context, req *kcpeer.ReadConfigRequest) (*kcpeer.ReadConfigResponse, error) {
	resp, err := d.r.ReadConfig(ctx, req)
	if err == nil && d.alterResponse != nil {
		d.alterResponse(resp)
	}
	return resp, err
}

// cluster is a log and the readers that follow it.
type cluster struct {
	clock      *kcclock.Manual
	log        *kcstandin.Log
	stores     map[string]*store
	readers    map[string]*kcconfig.Reader
	zones      map[string]string
	snapshots  map[string]kcconfig.Snapshot
	alterRelay func(*kcpeer.ReadConfigResponse)
}

func newCluster() *cluster {
	clock := kcclock.NewManual(1_000_000)
	return &cluster{
		clock: clock, log: kcstandin.NewLog(kcstandin.LogOptions{Clock: clock, RetentionMs: 10_000}),
		stores: make(map[string]*store), readers: make(map[string]*kcconfig.Reader),
		zones: make(map[string]string), snapshots: make(map[string]kcconfig.Snapshot),
	}
}

func baseRules() kcrules.Rules {
	return kcrules.Rules{Versions: map[string]kcrules.Version{"base@1": version("active")}}
}

func version(state string) kcrules.Version {
	return kcrules.Version{State: kcrules.State(state), Quality: map[kcrules.Class]float64{kcrules.DefaultClass: 0.9}}
}

// start starts or restarts a reader with an empty state.
func (w *cluster) start(id string) {
	if w.stores[id] == nil {
		w.stores[id] = &store{Log: w.log}
	}
	w.readers[id] = kcconfig.NewReader(kcconfig.ReaderOptions{
		Clock: w.clock, Store: w.stores[id], Base: baseRules(), InstanceID: id, Zone: w.zones[id],
		InstanceZones: func() map[string]string { return w.zones },
	})
}

// poll reads the log to its end.
func (w *cluster) poll(ctx context.Context, id string) error {
	for {
		more, err := w.readers[id].Poll(ctx, 0)
		if err != nil || !more {
			return err
		}
	}
}

// exchange makes reader a call reader b as its peer.
func (w *cluster) exchange(ctx context.Context, a, b string) {
	d := &kcpeer.Digest{Instance: b, Zone: w.zones[b]}
	w.readers[b].FillDigest(d)
	w.readers[a].ReadDigestResponse(ctx, directPeer{r: w.readers[b], alterResponse: w.alterRelay}, d, w.clock.Now())
}

// parseChange returns the body of a change from KEY=REVISION:VALUE. The value
// is the state of a version, the allowed models of a workspace, or null.
func parseChange(specs []string) (kcconfig.Change, error) {
	c := kcconfig.Change{Set: make(map[string]kcconfig.KeyUpdate)}
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
			v = kcrules.Workspace{Allow: strings.Split(value, ",")}
		}
		b, err := json.Marshal(v)
		if err != nil {
			return c, err
		}
		c.Set[key] = kcconfig.KeyUpdate{Revision: n, Value: b}
	}
	return c, nil
}

func (w *cluster) append(ctx context.Context, rec kclog.NewRecord) error {
	_, err := w.log.Append(ctx, kcconfig.Stream, []kclog.NewRecord{rec})
	return err
}

// describe returns the values of a reader that a script can check.
func (w *cluster) describe(id string) map[string]string {
	r := w.readers[id]
	next, revision := r.Position()
	out := map[string]string{
		"next": strconv.FormatInt(next, 10), "rev": strconv.FormatInt(revision, 10), "fresh": r.Freshness().Reason,
	}
	for key, v := range r.Rules().Versions {
		out["versions/"+key] = string(v.State)
	}
	for key, ws := range r.Rules().Workspaces {
		out["workspaces/"+key] = strings.Join(ws.Allow, ",")
	}
	return out
}

type stepFunc func(w *cluster, ctx context.Context, f []string) error

// steps are the commands of a script.
var steps = map[string]stepFunc{
	"reader": func(w *cluster, _ context.Context, f []string) error {
		w.zones = maps.Clone(w.zones) // a reader may hold the map
		w.zones[f[0]] = f[1]
		w.start(f[0])
		return nil
	},
	"restart": func(w *cluster, _ context.Context, f []string) error {
		w.start(f[0])
		return nil
	},
	"poll": func(w *cluster, ctx context.Context, f []string) error {
		for _, id := range f {
			_ = w.poll(ctx, id) // the log may be down
		}
		return nil
	},
	"ask": func(w *cluster, ctx context.Context, f []string) error {
		for _, id := range f[1:] {
			w.exchange(ctx, f[0], id)
		}
		return nil
	},
	"publish": func(w *cluster, ctx context.Context, f []string) error {
		c, err := parseChange(f[1:])
		if err != nil {
			return err
		}
		return w.append(ctx, kclog.Encode(f[0], kcconfig.KindChange, c))
	},
	"burst": func(w *cluster, ctx context.Context, f []string) error {
		n, err := strconv.Atoi(f[0])
		for i := range n {
			c, _ := parseChange([]string{fmt.Sprintf("versions/burst@%d=-1:active", i)})
			if err := w.append(ctx, kclog.Encode("burst"+strconv.Itoa(i), kcconfig.KindChange, c)); err != nil {
				return err
			}
		}
		return err
	},
	"take": func(w *cluster, _ context.Context, f []string) error {
		w.snapshots[f[1]] = w.readers[f[0]].Snapshot()
		return nil
	},
	"append": func(w *cluster, ctx context.Context, f []string) error {
		return w.append(ctx, kclog.Encode(f[0], kcconfig.KindSnapshot, w.snapshots[f[0]]))
	},
	"cut":  func(w *cluster, _ context.Context, f []string) error { return w.setLogCut(true, f) },
	"join": func(w *cluster, _ context.Context, f []string) error { return w.setLogCut(false, f) },
	"down": func(w *cluster, _ context.Context, _ []string) error { return w.setLogDown(true) },
	"up":   func(w *cluster, _ context.Context, _ []string) error { return w.setLogDown(false) },
	"lag": func(w *cluster, _ context.Context, f []string) (err error) {
		w.stores[f[0]].visibleEnd, err = strconv.ParseInt(f[1], 10, 64)
		return err
	},
	"relay": func(w *cluster, ctx context.Context, f []string) error {
		w.alterRelay = relayFaults[f[0]]
		if f[0] == "overtaken" {
			w.alterRelay = func(*kcpeer.ReadConfigResponse) { _ = w.poll(ctx, f[1]) }
		}
		return nil
	},
	"wait": func(w *cluster, _ context.Context, f []string) error {
		ms, err := strconv.Atoi(f[0])
		w.clock.Advance(kcclock.Millis(ms))
		return err
	},
	"want": func(w *cluster, _ context.Context, f []string) error {
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

func (w *cluster) setLogCut(setLogCut bool, ids []string) error {
	for _, id := range ids {
		w.stores[id].cut = setLogCut
	}
	return nil
}

func (w *cluster) setLogDown(setLogDown bool) error {
	w.log.SetFaults(kcstandin.LogFaults{Down: setLogDown})
	return nil
}

// relayFaults modify the records that a faulty peer relays.
var relayFaults = map[string]func(*kcpeer.ReadConfigResponse){
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
