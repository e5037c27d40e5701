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

func newTestInstance(t *testing.T, id string, log *kcstandin.Log) *Instance {
	t.Helper()
	clock := kcclock.System{}
	set := kcsettings.Defaults()
	set.Instance = kcsettings.Instance{ID: id, Zone: "zone-a"}
	set.SessionKeys = kcsettings.DemoSessionKeys()
	set.Rules = kcsettings.DemoRules()
	set.Rules.Versions["small@2"] = set.Rules.Versions["small@1"]
	set.Rules.Rollouts = map[string]kcrules.Rollout{"small": {From: "small@1", To: "small@2", Stages: []float64{0.1, 1}}}
	i, err := New(Options{
		Settings: set, Clock: clock, Log: slog.New(slog.DiscardHandler), RecordLog: log, Lister: &kcstandin.InstanceList{Clock: clock},
	})
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// applyPublishedConfig applies the configuration stream up to its end.
func (i *Instance) applyPublishedConfig(t *testing.T) {
	t.Helper()
	for more := true; more; {
		var err error
		if more, err = i.configReader.Poll(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against evidence that is altered by its encoding in a digest, against
// evidence of several peers that is counted as that of one, and against a bad
// version that is stopped only at the instance that saw its responses.
func TestPeerEvidenceStopsRollout(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	a, b := newTestInstance(t, "a", log), newTestInstance(t, "b", log)
	a.applyPublishedConfig(t)
	b.applyPublishedConfig(t)
	b.routingSync.EvaluateRollouts()
	for version, bad := range map[string]int64{"small@1": 0, "small@2": 3} {
		var tally kcrollout.Tally
		for s := range tally {
			tally[s] = kcrollout.Count{Bad: bad, Total: 4 + int64(s)}
		}
		e := encodeEvidence(kcrollout.Arm{Version: version, Stratum: "menu"}, tally)
		if got := decodeTally(e); got != tally {
			t.Errorf("evidence %v is decoded as %v", tally, got)
		}
		for n := range 25 {
			b.routingSync.ReadDigest(&kcpeer.Digest{Instance: strconv.Itoa(n), Evidence: []*kcpeer.VersionEvidence{e}})
		}
	}
	b.routingSync.EvaluateRollouts()
	select {
	case c := <-b.routingSync.pendingChange:
		b.routingSync.publishChange(t.Context(), c)
	default:
		t.Fatal("75 of 100 bad answers did not stop the version")
	}
	a.applyPublishedConfig(t)
	if r := a.configReader.Rules().Rollouts["small"]; !r.Stopped || r.Reason == "" {
		t.Errorf("the stop is not applied at the other instance: %+v", r)
	}
}

// Guards against an automatic stop that overwrites a change which an operator
// published after the stop was decided and before it was published.
func TestOperatorChangeWinsOverAutomaticStop(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	i := newTestInstance(t, "a", log)
	i.applyPublishedConfig(t)
	late := rolloutChange{"small", i.configReader.RevisionOf("rollouts/small"), kcrules.Rollout{
		From: "small@1", To: "small@2", Stages: []float64{0.1, 1}, Stopped: true, Reason: "late",
	}}
	operator := late
	operator.rollout.Stopped, operator.rollout.StageIndex = false, 1
	i.routingSync.publishChange(t.Context(), operator)
	i.routingSync.publishChange(t.Context(), late)
	i.applyPublishedConfig(t)
	if r := i.configReader.Rules().Rollouts["small"]; r.Stopped || r.StageIndex != 1 {
		t.Errorf("the operator's change was overwritten: %+v", r)
	}
}

// Guards against ratings that are not requested, that are lost, or that are
// counted again when they are read twice.
func TestRatingsAreCountedOnce(t *testing.T) {
	clock := kcclock.System{}
	i := newTestInstance(t, "a", kcstandin.NewLog(kcstandin.LogOptions{Clock: clock}))
	i.applyPublishedConfig(t)
	rater := kcstandin.NewRater(kcstandin.RaterOptions{Clock: clock})
	engine := kcstandin.NewEngine(kcstandin.EngineOptions{ID: "e", Clock: clock, Versions: []string{"small@1"}})
	t.Cleanup(engine.Close)
	mux := http.NewServeMux()
	rater.Register(mux)
	engine.Register(mux)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	i.opts.Settings.Platform.Rater = srv.URL
	i.opts.Lister.(*kcstandin.InstanceList).Put(kcmember.Member{
		ID: "e", Role: kcmember.RoleEngine, Addr: srv.Listener.Addr().String(), Versions: []string{"small@1"},
	})
	if err := i.directory.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	done := i.ledger.Run(t.Context()) // responses wait for their bills
	t.Cleanup(func() { <-done })
	for range 100 {
		req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions",
			strings.NewReader(`{"model":"small@1","messages":[{"role":"user","content":"a menu for eleven hired hands"}]}`))
		req.Header.Set("Authorization", "Bearer "+kcsettings.DemoAPIKey)
		i.entry.Handler().ServeHTTP(httptest.NewRecorder(), req)
	}
	from := i.routingSync.exchangeRatings(t.Context(), 0)
	rated := func() int64 {
		return i.routingSync.LocalEvidence()[kcrollout.Arm{Version: "small@1", Stratum: "default"}][kcrollout.BadRating].Total
	}
	if from == 0 || rated() != from {
		t.Fatalf("%d ratings were read and %d counted for 100 responses", from, rated())
	}
	i.routingSync.exchangeRatings(t.Context(), 0)
	if rated() != from {
		t.Errorf("%d ratings were counted as %d", from, rated())
	}
}

// Guards against demand that is lost between instances, or counted twice when a
// digest is repeated.
func TestPeerDemandIsCountedOnce(t *testing.T) {
	log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}})
	i := newTestInstance(t, "a", log)
	for range 2 {
		i.routingSync.ReadDigest(&kcpeer.Digest{Instance: "b", Demand: []*kcpeer.WorkspaceDemand{
			{Instance: "b", Workspace: "demo", Requests: 2500},
		}})
	}
	want := map[string]float64{"demo": 2.5}
	if got := i.routingSync.demandByPeer["b"].requestsByWorkspace; !maps.Equal(got, want) {
		t.Errorf("demand %v, want %v", got, want)
	}
}
