package kcstandin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// doRequest passes a request to a handler without a network connection.
func doRequest(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func newMux(register func(*http.ServeMux)) *http.ServeMux {
	m := http.NewServeMux()
	register(m)
	return m
}

func postChat(h http.Handler, id, text string, priority int) *httptest.ResponseRecorder {
	body := fmt.Sprintf(`{"model":"m@1","priority":%d,"messages":[{"role":"user","content":%q}]}`, priority, text)
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against ratings that ignore the quality of a version, that can be read
// before the delay or that differ between runs with the same seed.
func TestRatingsFollowQualityAndSeed(t *testing.T) {
	rateAnswers := func() (goodBefore, goodAfter int, trace []bool) {
		clock := kcclock.NewManual(0)
		r := kcstandin.NewRater(kcstandin.RaterOptions{Clock: clock, Seed: 7, Quality: map[string]float64{"m@1": 0.9}})
		r.SetFaults(kcstandin.RaterFaults{MeanDelayMs: 100})
		h := newMux(r.Register)
		for i := range 200 {
			if i == 100 {
				doRequest(h, http.MethodPut, "/standin/rater/quality/m@1", `{"quality":0.1}`)
			}
			doRequest(h, http.MethodPost, "/v1/ratings", fmt.Sprintf(`{"requestId":"r%d","version":"m@1"}`, i))
		}
		if ratings, _ := r.Ratings(0, 1000); len(ratings) != 0 {
			t.Fatalf("%d ratings before the delay", len(ratings))
		}
		clock.Advance(150)
		ratings, end := r.Ratings(0, 1000)
		if len(ratings) != 200 || end != 200 {
			t.Fatalf("%d ratings to offset %d, want 200", len(ratings), end)
		}
		slices.SortFunc(ratings, func(a, b kcstandin.Rating) int { return strings.Compare(a.RequestID, b.RequestID) })
		for _, x := range ratings {
			var n int
			_, _ = fmt.Sscanf(x.RequestID, "r%d", &n)
			switch {
			case x.Good && n < 100:
				goodBefore++
			case x.Good:
				goodAfter++
			}
			trace = append(trace, x.Good)
		}
		return goodBefore, goodAfter, trace
	}
	before, after, first := rateAnswers()
	if before < 80 || after > 20 {
		t.Errorf("%d good of 100 at quality 0.9, %d good of 100 at 0.1", before, after)
	}
	if _, _, second := rateAnswers(); !slices.Equal(first, second) {
		t.Error("the same seed gave other ratings")
	}
}

// Guards against rating requests that are accepted above the rate limit, and
// against ratings that can be read while the service is down.
func TestRaterRefusesWhenDownOrOverLimit(t *testing.T) {
	clock := kcclock.NewManual(0)
	r := kcstandin.NewRater(kcstandin.RaterOptions{Clock: clock})
	h := newMux(r.Register)
	doRequest(h, http.MethodPut, "/standin/rater/faults", `{"perSecond":1}`)
	for i, want := range []int{http.StatusAccepted, http.StatusTooManyRequests, http.StatusAccepted} {
		if got := doRequest(h, http.MethodPost, "/v1/ratings", `{}`).Code; got != want {
			t.Errorf("request %d: status %d, want %d", i, got, want)
		}
		clock.Advance(kcclock.Millis(i) * kcclock.Second)
	}
	doRequest(h, http.MethodPut, "/standin/rater/faults", `{"down":true}`)
	if got := doRequest(h, http.MethodGet, "/v1/ratings?from=0", "").Code; got != http.StatusServiceUnavailable {
		t.Errorf("status %d while down", got)
	}
}

func engineState(t *testing.T, h http.Handler) (s kcstandin.EngineState) {
	t.Helper()
	if err := json.Unmarshal(doRequest(h, http.MethodGet, "/v1/state", "").Body.Bytes(), &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against an engine that accepts orders with an outdated fencing token
// although it checks tokens, that refuses them although it ignores tokens, or
// that serves a version before its weights have been fetched.
func TestEngineOrdersFencingAndLoading(t *testing.T) {
	for _, ignoresFence := range []bool{false, true} {
		clock := kcclock.NewManual(0)
		weights := kcstandin.NewWeightStore(clock, map[string]int64{"m@2": 2000, "m@3": 1000})
		weights.SetFaults(kcstandin.WeightStoreFaults{BytesPerSecond: 1000})
		changed := make(chan []string, 8)
		e := kcstandin.NewEngine(kcstandin.EngineOptions{
			ID: "e", Clock: clock, Versions: []string{"m@1"}, IgnoresFence: ignoresFence, WeightStore: weights,
			OnVersionsChanged: func(v []string) { changed <- v },
		})
		h := newMux(e.Register)
		if s := doRequest(h, http.MethodPost, "/v1/orders", `{"fence":5,"versions":["m@1","m@2"]}`).Code; s != http.StatusOK {
			t.Fatalf("status %d", s)
		}
		<-changed
		clock.AwaitWaiters(1)
		s := engineState(t, h)
		if got := fmt.Sprint(s.Versions, s.Loading, s.Fence); got != "[m@1] [m@2] 5" {
			t.Errorf("state while loading: %s", got)
		}
		clock.Advance(2 * kcclock.Second)
		if v := <-changed; !slices.Equal(v, []string{"m@1", "m@2"}) {
			t.Errorf("versions after loading: %v", v)
		}
		status, want := doRequest(h, http.MethodPost, "/v1/orders", `{"fence":4,"versions":[]}`).Code, http.StatusConflict
		if ignoresFence {
			want = http.StatusOK
			<-changed
		}
		if status != want || (len(engineState(t, h).Versions) == 0) != ignoresFence {
			t.Errorf("outdated fencing token: status %d, want %d; state %+v", status, want, engineState(t, h))
		}
		e.Close()
	}
}

// Guards against load reports without the configured lag, a missing load header
// and cache events that can be read before their delay or without gaps for lost
// events.
func TestEngineReportsLagAndLoseEvents(t *testing.T) {
	clock := kcclock.NewManual(1000)
	e := kcstandin.NewEngine(kcstandin.EngineOptions{
		ID: "e", Clock: clock, Versions: []string{"m@1"}, MaxCachedPrefixes: 8, Seed: 3,
	})
	defer e.Close()
	e.SetFaults(kcstandin.EngineFaults{LoadLagMs: 500, CacheEventDelayMs: 100, LostCacheEventShare: 0.3})
	h := newMux(e.Register)
	for i := range 40 {
		w := postChat(h, fmt.Sprint("r", i), fmt.Sprint("text ", i), 0)
		var load kcstandin.Load
		if err := json.Unmarshal([]byte(w.Header().Get(kcstandin.HeaderEngineLoad)), &load); err != nil || load.At != 500 {
			t.Fatalf("load header %+v, %v", load, err)
		}
	}
	readCacheEvents := func() (events []kcstandin.CacheEvent) {
		var body struct{ Events []kcstandin.CacheEvent }
		if err := json.Unmarshal(doRequest(h, http.MethodGet, "/v1/cacheEvents?from=0", "").Body.Bytes(), &body); err != nil {
			t.Fatal(err)
		}
		return body.Events
	}
	if n := len(readCacheEvents()); n != 0 {
		t.Errorf("%d cache events before the delay", n)
	}
	clock.Advance(100)
	events := readCacheEvents()
	last := events[len(events)-1].Offset
	// 40 prefixes are stored in a cache of 8, so 32 are evicted again.
	if int64(len(events)) >= last+1 || last < 60 || last > 71 {
		t.Errorf("%d events up to offset %d, want gaps in 72", len(events), last)
	}
}

// Guards against generations that are kept without a limit, and against a fully
// loaded engine that ignores the priority of waiting requests.
func TestEngineBoundsGenerationsAndHonoursPriority(t *testing.T) {
	clock := kcclock.NewManual(0)
	e := kcstandin.NewEngine(kcstandin.EngineOptions{
		ID: "e", Clock: clock, Versions: []string{"m@1"}, Slots: 1, MaxKeptGenerations: 3, TokenMillis: 10,
	})
	defer e.Close()
	h := newMux(e.Register)
	done := make(chan string, 3)
	awaitRequests := func(n int) {
		for {
			var l kcstandin.Load
			_ = json.Unmarshal(doRequest(h, http.MethodGet, "/v1/load", "").Body.Bytes(), &l)
			if l.Waiting+l.Running == n {
				return
			}
		}
	}
	for i, id := range []string{"first", "patient", "urgent"} {
		go func() {
			postChat(h, id, "", []int{0, 5, 1}[i])
			done <- id
		}()
		awaitRequests(i + 1)
	}
	for _, want := range []string{"first", "urgent", "patient"} {
		for range 2 { // "You said:" has two tokens
			clock.AwaitWaiters(1)
			clock.Advance(10)
		}
		if got := <-done; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	e.SetFaults(kcstandin.EngineFaults{ExtraTokenMs: -10})
	postChat(h, "fourth", "", 0)
	for id, want := range map[string]int{"first": http.StatusNotFound, "fourth": http.StatusOK} {
		if got := doRequest(h, http.MethodGet, "/v1/streams/"+id+"?from=0", "").Code; got != want {
			t.Errorf("resume of %s: status %d, want %d", id, got, want)
		}
	}
}

func startPlatform(
	t *testing.T, clock kcclock.Clock, d *kcstandin.Deployment,
) (*kcstandin.Platform, http.Handler, []kcmember.Member) {
	t.Helper()
	p, err := kcstandin.StartPlatform(t.Context(), kcstandin.PlatformOptions{Clock: clock, Deployment: d, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	members, err := p.InstanceList.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return p, newMux(p.Register), members
}

// Guards against a silence fault that also affects new connections, or that
// leaves the open ones working.
func TestSilenceAffectsOnlyOpenConnections(t *testing.T) {
	_, controls, members := startPlatform(t, kcclock.NewManual(0), nil)
	url := "http://" + members[len(members)-1].Addr + "/v1/services/orders/lookup"
	post := func(ctx context.Context, c *http.Client) error {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{}"))
		resp, err := c.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return err
	}
	old := &http.Client{Transport: &http.Transport{}}
	if err := post(t.Context(), old); err != nil {
		t.Fatal(err)
	}
	if s := doRequest(controls, http.MethodPost, "/standin/services/orders/silence", "").Code; s != http.StatusOK {
		t.Fatalf("status %d", s)
	}
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan error, 1)
	go func() { answered <- post(ctx, old) }()
	if err := post(t.Context(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}); err != nil {
		t.Errorf("new connection: %v", err)
	}
	cancel()
	if err := <-answered; err == nil {
		t.Error("the silenced connection got a response")
	}
}

// Guards against a lost availability zone whose upstreams still respond, and
// against upstreams that come back at an address other than the listed one.
func TestZoneLossAndRecovery(t *testing.T) {
	d := &kcstandin.Deployment{Services: []kcstandin.ServiceSpec{
		{ID: "a", Service: "orders", Location: kcstandin.Location{Zone: "zone-a"}},
		{ID: "b", Service: "orders", Location: kcstandin.Location{Zone: "zone-b"}},
	}}
	p, controls, _ := startPlatform(t, kcclock.NewManual(0), d)
	for _, zoneLost := range []bool{false, true, false} {
		doRequest(controls, http.MethodPut, "/standin/upstreams/zone-a/listening", fmt.Sprintf(`{"listening":%t}`, !zoneLost))
		members, err := p.InstanceList.List(t.Context())
		if err != nil || len(members) != 2 {
			t.Fatalf("list %v, %v", members, err)
		}
		for _, m := range members {
			resp, err := http.Get("http://" + m.Addr + "/v1/load")
			if err == nil {
				_ = resp.Body.Close()
			}
			if (err != nil) != (zoneLost && m.Zone == "zone-a") {
				t.Errorf("zone-a lost: %t: request to %s: error %v", zoneLost, m.ID, err)
			}
		}
	}
}

// Guards against effects that are reported per instance of a service instead of
// being summed, which would hide a second execution on another instance, and
// against faults that are not determined by the seed.
func TestServiceEffectsAreSummedAndFaultsFollowSeed(t *testing.T) {
	sendOrders := func() (outcomes []int) {
		d := &kcstandin.Deployment{Services: []kcstandin.ServiceSpec{{ID: "o", Service: "orders", Count: 2}}}
		p, controls, _ := startPlatform(t, kcclock.NewManual(0), d)
		doRequest(controls, http.MethodPut, "/standin/services/o-1/faults", `{"refuseShare":0.5}`)
		for i := range 20 {
			r := httptest.NewRequest(http.MethodPost, "/v1/services/orders/place", strings.NewReader("{}"))
			r.Header.Set("Idempotency-Key", "k")
			w := httptest.NewRecorder()
			newMux(p.Services[i%2].Register).ServeHTTP(w, r)
			outcomes = append(outcomes, w.Code)
		}
		okCount := len(slices.DeleteFunc(slices.Clone(outcomes), func(s int) bool { return s != http.StatusOK }))
		want := fmt.Sprintf(`{"effects":[{"service":"orders","operation":"place","idempotencyKey":"k","count":%d}]}`, okCount)
		got := strings.TrimSpace(doRequest(controls, http.MethodGet, "/standin/effects", "").Body.String())
		if got != want || okCount == 20 || okCount < 10 {
			t.Errorf("got %s, want %s", got, want)
		}
		return outcomes
	}
	if a, b := sendOrders(), sendOrders(); !slices.Equal(a, b) {
		t.Errorf("the same seed gave %v and %v", a, b)
	}
}

// Guards against a log that accepts more appends than its rate limit allows.
func TestLogLimitsAppends(t *testing.T) {
	clock := kcclock.NewManual(0)
	l := kcstandin.NewLog(kcstandin.LogOptions{Clock: clock})
	l.SetFaults(kcstandin.LogFaults{AppendsPerSecond: 100})
	accepted := 0
	for range 30 {
		for range 50 {
			if _, err := l.Append(t.Context(), "s", []kclog.NewRecord{{ID: "a"}}); err == nil {
				accepted++
			}
		}
		clock.Advance(100)
	}
	// The bucket holds 100 appends at the start and gains 100 a second during the
	// 2.9 s until the last append.
	if accepted != 390 {
		t.Errorf("%d appends accepted, want 390", accepted)
	}
}
