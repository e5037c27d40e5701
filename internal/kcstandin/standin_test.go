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

// call sends a request to a handler in memory.
func call(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func mux(register func(*http.ServeMux)) *http.ServeMux {
	m := http.NewServeMux()
	register(m)
	return m
}

func chat(h http.Handler, id, text string, priority int) *httptest.ResponseRecorder {
	body := fmt.Sprintf(`{"model":"m@1","priority":%d,"messages":[{"role":"user","content":%q}]}`, priority, text)
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against ratings that ignore the quality of a version, come early or
// differ between runs with one seed.
func TestRaterFollowsQuality(t *testing.T) {
	rate := func() (goodBefore, goodAfter int, trace []bool) {
		clock := kcclock.NewManual(0)
		r := kcstandin.NewRater(kcstandin.RaterOptions{Clock: clock, Seed: 7, Quality: map[string]float64{"m@1": 0.9}})
		r.SetFaults(kcstandin.RaterFaults{MeanDelayMs: 100})
		h := mux(r.Register)
		for i := range 200 {
			if i == 100 {
				call(h, http.MethodPut, "/standin/rater/quality/m@1", `{"quality":0.1}`)
			}
			call(h, http.MethodPost, "/v1/ratings", fmt.Sprintf(`{"requestId":"r%d","version":"m@1"}`, i))
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
	before, after, first := rate()
	if before < 80 || after > 20 {
		t.Errorf("%d good of 100 at quality 0.9, %d good of 100 at 0.1", before, after)
	}
	if _, _, second := rate(); !slices.Equal(first, second) {
		t.Error("the same seed gave other ratings")
	}
}

// Guards against ratings that come while the service is down or over its
// limit.
func TestRaterFaults(t *testing.T) {
	clock := kcclock.NewManual(0)
	r := kcstandin.NewRater(kcstandin.RaterOptions{Clock: clock})
	h := mux(r.Register)
	call(h, http.MethodPut, "/standin/rater/faults", `{"perSecond":1}`)
	for i, want := range []int{http.StatusAccepted, http.StatusTooManyRequests, http.StatusAccepted} {
		if got := call(h, http.MethodPost, "/v1/ratings", `{}`).Code; got != want {
			t.Errorf("request %d: status %d, want %d", i, got, want)
		}
		clock.Advance(kcclock.Millis(i) * kcclock.Second)
	}
	call(h, http.MethodPut, "/standin/rater/faults", `{"down":true}`)
	if got := call(h, http.MethodGet, "/v1/ratings?from=0", "").Code; got != http.StatusServiceUnavailable {
		t.Errorf("status %d while down", got)
	}
}

func engineState(t *testing.T, h http.Handler) (s kcstandin.EngineState) {
	t.Helper()
	if err := json.Unmarshal(call(h, http.MethodGet, "/v1/state", "").Body.Bytes(), &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against an engine that takes orders it must refuse, refuses orders it
// must take, or shows a version before its weights have arrived.
func TestEngineOrders(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		clock := kcclock.NewManual(0)
		weights := kcstandin.NewWeightStore(clock, map[string]int64{"m@2": 2000, "m@3": 1000})
		weights.SetFaults(kcstandin.WeightStoreFaults{MaxBytesPerSecond: 1000})
		changed := make(chan []string, 8)
		e := kcstandin.NewEngine(kcstandin.EngineOptions{
			ID: "e", Clock: clock, Versions: []string{"m@1"}, IgnoresFence: ignores, WeightStore: weights,
			OnVersionsChanged: func(v []string) { changed <- v },
		})
		h := mux(e.Register)
		if s := call(h, http.MethodPost, "/v1/orders", `{"fence":5,"versions":["m@1","m@2"]}`).Code; s != http.StatusOK {
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
		status, want := call(h, http.MethodPost, "/v1/orders", `{"fence":4,"versions":[]}`).Code, http.StatusConflict
		if ignores {
			want = http.StatusOK
			<-changed
		}
		if status != want || (len(engineState(t, h).Versions) == 0) != ignores {
			t.Errorf("old fencing number: status %d, want %d; state %+v", status, want, engineState(t, h))
		}
		e.Close()
	}
}

// Guards against load reports without a lag, a missing load header and cache
// events that arrive early or without gaps.
func TestEngineReports(t *testing.T) {
	clock := kcclock.NewManual(1000)
	e := kcstandin.NewEngine(kcstandin.EngineOptions{ID: "e", Clock: clock, Versions: []string{"m@1"}, MaxCachedPrefixes: 8, Seed: 3})
	defer e.Close()
	e.SetFaults(kcstandin.EngineFaults{LoadLagMs: 500, CacheEventDelayMs: 100, LostCacheEventShare: 0.3})
	h := mux(e.Register)
	for i := range 40 {
		w := chat(h, fmt.Sprint("r", i), fmt.Sprint("text ", i), 0)
		var load kcstandin.Load
		if err := json.Unmarshal([]byte(w.Header().Get(kcstandin.HeaderEngineLoad)), &load); err != nil || load.At != 500 {
			t.Fatalf("load header %+v, %v", load, err)
		}
	}
	read := func() (events []kcstandin.CacheEvent) {
		var body struct{ Events []kcstandin.CacheEvent }
		if err := json.Unmarshal(call(h, http.MethodGet, "/v1/cacheEvents?from=0", "").Body.Bytes(), &body); err != nil {
			t.Fatal(err)
		}
		return body.Events
	}
	if n := len(read()); n != 0 {
		t.Errorf("%d cache events before the delay", n)
	}
	clock.Advance(100)
	events := read()
	last := events[len(events)-1].Offset
	// 40 prefixes are stored and 32 of them are evicted again.
	if int64(len(events)) >= last+1 || last < 60 || last > 71 {
		t.Errorf("%d events up to offset %d, want gaps in 72", len(events), last)
	}
}

// Guards against answers that are kept for ever, and against a full engine
// that ignores priorities.
func TestEngineBoundsRunsAndHonoursPriority(t *testing.T) {
	clock := kcclock.NewManual(0)
	e := kcstandin.NewEngine(kcstandin.EngineOptions{
		ID: "e", Clock: clock, Versions: []string{"m@1"}, Slots: 1, MaxKeptGenerations: 3, TokenMillis: 10,
	})
	defer e.Close()
	h := mux(e.Register)
	done := make(chan string, 3)
	waiting := func(n int) {
		for {
			var l kcstandin.Load
			_ = json.Unmarshal(call(h, http.MethodGet, "/v1/load", "").Body.Bytes(), &l)
			if l.Waiting+l.Running == n {
				return
			}
		}
	}
	for i, id := range []string{"first", "patient", "urgent"} {
		go func() {
			chat(h, id, "", []int{0, 5, 1}[i])
			done <- id
		}()
		waiting(i + 1)
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
	chat(h, "fourth", "", 0)
	for id, want := range map[string]int{"first": http.StatusNotFound, "fourth": http.StatusOK} {
		if got := call(h, http.MethodGet, "/v1/streams/"+id+"?from=0", "").Code; got != want {
			t.Errorf("resume of %s: status %d, want %d", id, got, want)
		}
	}
}

func platform(t *testing.T, clock kcclock.Clock, d *kcstandin.Deployment) (*kcstandin.Platform, http.Handler, []kcmember.Member) {
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
	return p, mux(p.Register), members
}

// Guards against a silence that also takes new connections, or that lets the
// old ones go on.
func TestSilenceTakesOpenConnectionsOnly(t *testing.T) {
	_, controls, members := platform(t, kcclock.NewManual(0), nil)
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
	if s := call(controls, http.MethodPost, "/standin/services/orders/silence", "").Code; s != http.StatusOK {
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
		t.Error("the old connection got an answer")
	}
}

// Guards against a lost availability zone whose upstreams still answer, and
// against upstreams that come back at another address than the list states.
func TestZoneCanBeLostAndComeBack(t *testing.T) {
	d := &kcstandin.Deployment{Services: []kcstandin.ServiceSpec{
		{ID: "a", Service: "orders", Location: kcstandin.Location{Zone: "zone-a"}},
		{ID: "b", Service: "orders", Location: kcstandin.Location{Zone: "zone-b"}},
	}}
	p, controls, _ := platform(t, kcclock.NewManual(0), d)
	for _, lost := range []bool{false, true, false} {
		call(controls, http.MethodPut, "/standin/upstreams/zone-a/listening", fmt.Sprintf(`{"listening":%t}`, !lost))
		members, err := p.InstanceList.List(t.Context())
		if err != nil || len(members) != 2 {
			t.Fatalf("list %v, %v", members, err)
		}
		for _, m := range members {
			resp, err := http.Get("http://" + m.Addr + "/v1/load")
			if err == nil {
				_ = resp.Body.Close()
			}
			if (err != nil) != (lost && m.Zone == "zone-a") {
				t.Errorf("zone-a lost: %t: %s answers with error %v", lost, m.ID, err)
			}
		}
	}
}

// Guards against effects that are counted for each instance of a service
// alone, which would hide a second run, and against faults that do not follow
// the seed.
func TestServiceFaultsAndEffects(t *testing.T) {
	run := func() (outcomes []int) {
		d := &kcstandin.Deployment{Services: []kcstandin.ServiceSpec{{ID: "o", Service: "orders", Count: 2}}}
		p, controls, _ := platform(t, kcclock.NewManual(0), d)
		call(controls, http.MethodPut, "/standin/services/o-1/faults", `{"refuseShare":0.5}`)
		for i := range 20 {
			r := httptest.NewRequest(http.MethodPost, "/v1/services/orders/place", strings.NewReader("{}"))
			r.Header.Set("Idempotency-Key", "k")
			w := httptest.NewRecorder()
			mux(p.Services[i%2].Register).ServeHTTP(w, r)
			outcomes = append(outcomes, w.Code)
		}
		ran := len(slices.DeleteFunc(slices.Clone(outcomes), func(s int) bool { return s != http.StatusOK }))
		want := fmt.Sprintf(`{"effects":[{"service":"orders","operation":"place","idempotencyKey":"k","count":%d}]}`, ran)
		got := strings.TrimSpace(call(controls, http.MethodGet, "/standin/effects", "").Body.String())
		if got != want || ran == 20 || ran < 10 {
			t.Errorf("got %s, want %s", got, want)
		}
		return outcomes
	}
	if a, b := run(), run(); !slices.Equal(a, b) {
		t.Errorf("the same seed gave %v and %v", a, b)
	}
}

// Guards against a log that takes more appends than the platform does.
func TestLogLimitsAppends(t *testing.T) {
	clock := kcclock.NewManual(0)
	l := kcstandin.NewLog(kcstandin.LogOptions{Clock: clock})
	l.SetFaults(kcstandin.LogFaults{MaxAppendsPerSecond: 100})
	taken := 0
	for range 30 {
		for range 50 {
			if _, err := l.Append(t.Context(), "s", []kclog.NewRecord{{ID: "a"}}); err == nil {
				taken++
			}
		}
		clock.Advance(100)
	}
	// 100 at once and 100 a second for the 2.9 s until the last append.
	if taken != 390 {
		t.Errorf("%d appends taken, want 390", taken)
	}
}
