package kcinstance

import (
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

func newInstance(t *testing.T, id string, log *kcstandin.Log) *Instance {
	t.Helper()
	clock := kcclock.System{}
	set := kcsettings.Defaults()
	set.Instance = kcsettings.Instance{ID: id, Zone: "zone-a"}
	set.SessionKeys = kcsettings.DemoSessionKeys()
	set.Rules = kcsettings.DemoRules()
	set.Rules.Versions["small@2"] = set.Rules.Versions["small@1"]
	set.Rules.Rollouts = map[string]kcrules.Rollout{"small": {From: "small@1", To: "small@2", Stages: []float64{0.1, 1}}}
	i, err := New(Options{
		Settings: set, Clock: clock, Log: slog.New(slog.DiscardHandler), Store: log, Lister: &kcstandin.List{Clock: clock},
	})
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// catchUp folds the configuration stream to its end.
func (i *Instance) catchUp(t *testing.T) {
	t.Helper()
	for more := true; more; {
		var err error
		if more, err = i.config.Poll(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against evidence that changes on its way to a peer, against that of
// several peers being taken for one, and against a bad version that is stopped
// only where its answers were seen.
func TestStopFromEvidenceOfPeers(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	a, b := newInstance(t, "a", log), newInstance(t, "b", log)
	a.catchUp(t)
	b.catchUp(t)
	b.decisions.EvaluateRollouts()
	for version, bad := range map[string]int64{"small@1": 0, "small@2": 3} {
		var tally kcrollout.Tally
		for s := range tally {
			tally[s] = kcrollout.Count{Bad: bad, Total: 4 + int64(s)}
		}
		e := evidenceOf(kcrollout.Arm{Version: version, Stratum: "menu"}, tally)
		if got := tallyOf(e); got != tally {
			t.Errorf("evidence %v arrives as %v", tally, got)
		}
		for n := range 25 {
			b.decisions.ReadDigest(&kcpeer.Digest{Instance: strconv.Itoa(n), Evidence: []*kcpeer.VersionEvidence{e}})
		}
	}
	b.decisions.EvaluateRollouts()
	select {
	case c := <-b.decisions.changes:
		b.decisions.publish(t.Context(), c)
	default:
		t.Fatal("75 of 100 bad answers did not stop the version")
	}
	a.catchUp(t)
	if r := a.config.Rules().Rollouts["small"]; !r.Stopped || r.Reason == "" {
		t.Errorf("the stop is not in force at the other instance: %+v", r)
	}
}

// Guards against a stop that overrules a change which an operator made while
// the stop was on its way.
func TestOperatorsChangeWins(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	i := newInstance(t, "a", log)
	i.catchUp(t)
	late := rolloutChange{"small", i.config.RevisionOf("rollouts/small"), kcrules.Rollout{
		From: "small@1", To: "small@2", Stages: []float64{0.1, 1}, Stopped: true, Reason: "late",
	}}
	operator := late
	operator.rollout.Stopped, operator.rollout.Stage = false, 1
	i.decisions.publish(t.Context(), operator)
	i.decisions.publish(t.Context(), late)
	i.catchUp(t)
	if r := i.config.Rules().Rollouts["small"]; r.Stopped || r.Stage != 1 {
		t.Errorf("the operator's change was overruled: %+v", r)
	}
}

// Guards against ratings that are not asked for, lost, or counted again when
// they are read twice.
func TestRatings(t *testing.T) {
	clock := kcclock.System{}
	i := newInstance(t, "a", kcstandin.NewLog(kcstandin.LogOptions{Clock: clock}))
	i.catchUp(t)
	rater := kcstandin.NewRater(kcstandin.RaterOptions{Clock: clock})
	engine := kcstandin.NewEngine(kcstandin.EngineOptions{ID: "e", Clock: clock, Versions: []string{"small@1"}})
	t.Cleanup(engine.Close)
	mux := http.NewServeMux()
	rater.Register(mux)
	engine.Register(mux)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	i.opts.Settings.Platform.Rater = srv.URL
	i.opts.Lister.(*kcstandin.List).Put(kcmember.Member{
		ID: "e", Role: kcmember.RoleEngine, Addr: srv.Listener.Addr().String(), Versions: []string{"small@1"},
	})
	if err := i.directory.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	done := i.ledger.Run(t.Context()) // answers wait for their bills
	t.Cleanup(func() { <-done })
	for range 100 {
		req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions",
			strings.NewReader(`{"model":"small@1","messages":[{"role":"user","content":"a menu for eleven hired hands"}]}`))
		req.Header.Set("Authorization", "Bearer "+kcsettings.DemoKey)
		i.entry.Handler().ServeHTTP(httptest.NewRecorder(), req)
	}
	from := i.decisions.ratings(t.Context(), 0)
	rated := func() int64 {
		return i.decisions.LocalEvidence()[kcrollout.Arm{Version: "small@1", Stratum: "default"}][kcrollout.BadRating].Total
	}
	if from == 0 || rated() != from {
		t.Fatalf("%d ratings were read and %d counted of 100 answers", from, rated())
	}
	i.decisions.ratings(t.Context(), 0)
	if rated() != from {
		t.Errorf("%d ratings were counted as %d", from, rated())
	}
}

// Guards against demand that is lost or counted twice between instances.
func TestDemandOfPeers(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	i := newInstance(t, "a", log)
	for range 2 {
		i.decisions.ReadDigest(&kcpeer.Digest{Instance: "b", Demand: []*kcpeer.WorkspaceDemand{
			{Instance: "b", Workspace: "demo", Requests: 2500},
		}})
	}
	want := map[string]float64{"demo": 2.5}
	if got := i.decisions.demand["b"].byWorkspace; !maps.Equal(got, want) {
		t.Errorf("demand %v, want %v", got, want)
	}
}
