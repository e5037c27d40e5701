package kcgate

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// limitLoad is a load on upstreams of which some name a limit for a while.
type limitLoad struct {
	Name                        string
	Instances, Zones, Upstreams int
	// Limited is the number of upstreams that name a limit of PerSecond.
	Limited           int
	PerSecond         float64
	RequestsPerSecond float64
	LossPercent       int
	// RestartPercent of the instances restart while the limit holds, and forget it.
	RestartPercent int
}

const (
	limitStartMs   = 3 * kcclock.Second
	limitRestartMs = 8 * kcclock.Second
	limitEndMs     = 17 * kcclock.Second
	limitLoadMs    = 23 * kcclock.Second
	limitWindowMs  = 4 * kcclock.Second
	limitMessageMs = 15 * kcclock.Millisecond
)

type limitAnswer struct {
	at, endAt kcclock.Millis
	instance  int
	picked    *pickedUpstream
	named     bool
}

type limitMessage struct {
	at     kcclock.Millis
	to     int
	load   *kcload.Message
	limits *kcload.LimitReport
}

// limitSim plays a limitLoad against the upstream lists of the instances.
type limitSim struct {
	limitLoad
	rnd       *rand.Rand
	clock     *kcclock.Manual
	start     kcclock.Millis
	ups       []kctable.Upstream
	zones     map[string]string
	instances []*Upstreams
	// startedAt is when an instance has started.
	startedAt []kcclock.Millis
	// toldAt is when an instance was first told by an upstream.
	toldAt   []map[int]kcclock.Millis
	answers  []limitAnswer
	messages []limitMessage
	// arrivals holds the times of the requests of each upstream, fromTold those from
	// instances that the upstream had told half a second before.
	arrivals, fromTold [][]kcclock.Millis
	rejected           int
}

func newLimitSim(load limitLoad, seed uint64) *limitSim {
	s := &limitSim{
		limitLoad: load, rnd: rand.New(rand.NewPCG(seed, 3)), clock: kcclock.NewManual(1_000_000), zones: make(map[string]string),
		instances: make([]*Upstreams, load.Instances), toldAt: make([]map[int]kcclock.Millis, load.Instances),
		startedAt: make([]kcclock.Millis, load.Instances),
		arrivals:  make([][]kcclock.Millis, load.Upstreams), fromTold: make([][]kcclock.Millis, load.Upstreams),
	}
	s.start = s.clock.Now()
	for z := range load.Zones {
		s.zones[fmt.Sprint("z", z)] = "r"
	}
	for i := range load.Upstreams {
		s.ups = append(s.ups, kctable.Upstream{
			ID: fmt.Sprint("e", i), Service: "s", Zone: fmt.Sprint("z", i%load.Zones), Version: "v", Slots: 64,
		})
	}
	for i := range s.instances {
		s.startInstance(i)
	}
	return s
}

func (s *limitSim) startInstance(i int) {
	l := NewUpstreams(s.clock, fmt.Sprint("z", i%s.Zones), s.zones)
	l.instance, l.intN = strconv.Itoa(i), s.rnd.IntN
	l.Replace(s.ups, 0)
	zones := make(map[string]string)
	for k := range s.Instances {
		zones[strconv.Itoa(k)] = fmt.Sprint("z", k%s.Zones)
	}
	l.SetPeerZones(zones)
	s.instances[i], s.toldAt[i], s.startedAt[i] = l, make(map[int]kcclock.Millis), s.clock.Now()
}

func (s *limitSim) elapsed() kcclock.Millis { return s.clock.Now() - s.start }

func (s *limitSim) limitInForce(upstream int) bool {
	return upstream < s.Limited && s.elapsed() >= limitStartMs && s.elapsed() < limitEndMs
}

func (s *limitSim) play() {
	for ; s.elapsed() < limitLoadMs; s.clock.Advance(1) {
		now := s.clock.Now()
		if s.elapsed() == limitRestartMs {
			for i := range s.instances {
				if s.rnd.IntN(100) < s.RestartPercent {
					s.startInstance(i)
				}
			}
		}
		s.deliver(now)
		s.exchange(now)
		s.answer(now)
		if s.rnd.Float64() < s.RequestsPerSecond/1000 {
			s.request(now)
		}
	}
}

// exchange sends load reports to the zone every 25 ms or, from hundreds of
// instances, less often, and limits to all.
func (s *limitSim) exchange(now kcclock.Millis) {
	interval := max(25, 5*kcclock.Millis(s.Instances/2))
	for i, from := range s.instances {
		if (now+7*kcclock.Millis(i))%25 == 0 {
			if r, ok := from.LimitReport(); ok {
				s.send(i, limitMessage{limits: &r}, true)
			}
		}
		if toRegion := (now+7*kcclock.Millis(i))%(8*interval) == 0; toRegion || (now+7*kcclock.Millis(i))%interval == 0 {
			m := kcload.Message{Instance: from.instance, Seq: uint64(now), Loads: from.LoadShares()}
			s.send(i, limitMessage{load: &m}, toRegion)
		}
	}
}

func (s *limitSim) send(from int, m limitMessage, toRegion bool) {
	m.at = s.clock.Now() + limitMessageMs
	for to := range s.instances {
		if to != from && (toRegion || to%s.Zones == from%s.Zones) && s.rnd.IntN(100) >= s.LossPercent {
			m.to = to
			s.messages = append(s.messages, m)
		}
	}
}

func (s *limitSim) deliver(now kcclock.Millis) {
	n := 0
	for ; n < len(s.messages) && s.messages[n].at <= now; n++ {
		m := s.messages[n]
		if m.load != nil {
			s.instances[m.to].SetPeerLoad(*m.load)
		} else {
			s.instances[m.to].MergeLimits(*m.limits)
		}
	}
	s.messages = s.messages[n:]
}

func (s *limitSim) answer(now kcclock.Millis) {
	s.answers = slices.DeleteFunc(s.answers, func(a limitAnswer) bool {
		l := s.instances[a.instance]
		if s.startedAt[a.instance] > a.at {
			return true // the instance has restarted
		}
		if a.at == now {
			l.recordLimit(a.picked, ResponseMeta{FromApplication: true, HasLimit: a.named, LimitPerSecond: s.PerSecond})
			if u := upstreamNumber(a.picked); a.named && s.toldAt[a.instance][u] == 0 {
				s.toldAt[a.instance][u] = now
			}
		}
		if a.endAt <= now {
			l.release(a.picked, outcomeGood)
		}
		return a.endAt <= now
	})
}

func upstreamNumber(c *pickedUpstream) int {
	i, err := strconv.Atoi(c.ID[1:])
	if err != nil {
		panic(err) // the test has given it another name
	}
	return i
}

func (s *limitSim) request(now kcclock.Millis) {
	i := s.rnd.IntN(len(s.instances))
	c, ok := s.instances[i].pick(pickCriteria{
		service: "s", allowsVersion: anyVersion, prompt: kcprefix.Prompt{Tokens: 1000 + s.rnd.IntN(8000), MsPerToken: 0.01},
	})
	if !ok {
		s.rejected++
		return
	}
	u := upstreamNumber(c)
	s.arrivals[u] = append(s.arrivals[u], now)
	if told := s.toldAt[i][u]; told != 0 && now-told >= 500 {
		s.fromTold[u] = append(s.fromTold[u], now)
	}
	at := now + kcclock.Millis(30+s.rnd.IntN(150))
	s.answers = append(s.answers, limitAnswer{
		at: at, endAt: at + kcclock.Millis(s.rnd.IntN(2500)), instance: i, picked: c, named: s.limitInForce(u),
	})
}

func countBetween(times []kcclock.Millis, from, to kcclock.Millis) (n int) {
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Guards against upstreams that get more requests than they take from all
// instances together, against limits that are not used, and against upstreams that
// are left out for long after their limit has ended.
func TestLimitsUnderLoad(t *testing.T) {
	t.Parallel()
	raw, err := os.ReadFile("testdata/limitLoads.json")
	var loads []limitLoad
	if err == nil {
		err = json.Unmarshal(raw, &loads)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, load := range loads {
		t.Run(load.Name, func(t *testing.T) {
			s := newLimitSim(load, 1)
			s.play()
			s.check(t)
		})
	}
}

func (s *limitSim) check(t *testing.T) {
	t.Helper()
	allowed := int(1.5*s.PerSecond*float64(limitWindowMs)/1000) + 5
	mostTold, used, after, afterFree := 0, 0, 0, 0
	limitFrom, limitTo := s.start+limitStartMs+limitWindowMs, s.start+limitEndMs
	for u := range s.Upstreams {
		n := countBetween(s.arrivals[u], limitTo+2*kcclock.Second, s.start+limitLoadMs)
		if u >= s.Limited {
			afterFree += n
			continue
		}
		after += n
		used += countBetween(s.arrivals[u], limitFrom, limitTo)
		for from := limitFrom; from+limitWindowMs <= limitTo; from += 50 {
			mostTold = max(mostTold, countBetween(s.fromTold[u], from, from+limitWindowMs))
		}
	}
	perSecond := float64(used) / float64(s.Limited) / (float64(limitTo-limitFrom) / 1000)
	perLimited, perFree := float64(after)/float64(s.Limited), float64(afterFree)/float64(s.Upstreams-s.Limited)
	t.Logf("most in 4 s %d, allowed %d; %.2f a second of %.2f used; %.1f requests after the end, %.1f at others; %d rejected",
		mostTold, allowed, perSecond, s.PerSecond, perLimited, perFree, s.rejected)
	if mostTold > allowed {
		t.Errorf("an upstream got %d requests in 4 s, allowed %d", mostTold, allowed)
	}
	if perSecond < s.PerSecond/2 {
		t.Errorf("%.2f of %.2f requests a second are used", perSecond, s.PerSecond)
	}
	if perLimited < perFree/2 {
		t.Errorf("%.1f requests at an upstream 2 s after the end of its limit, %.1f at others", perLimited, perFree)
	}
	if s.rejected > 0 {
		t.Errorf("%d requests were rejected although other upstreams had room", s.rejected)
	}
}

// Guards against a limit that outlives the process which named it: the next one has
// its id, and a peer has not heard of it yet.
func TestLimitEndsWithItsProcess(t *testing.T) {
	clock := kcclock.NewManual(1_000_000)
	newList := func(name string) *Upstreams {
		l := NewUpstreams(clock, "z", map[string]string{"z": "r"})
		l.instance = name
		l.Replace([]kctable.Upstream{{ID: "u", Service: "s", Zone: "z", Version: "v", StartedAtMs: 1}}, 0)
		return l
	}
	own, peer := newList("own"), newList("peer")
	pick := func(l *Upstreams) (*pickedUpstream, bool) {
		return l.pick(pickCriteria{service: "s", allowsVersion: anyVersion})
	}
	c, _ := pick(peer)
	peer.recordLimit(c, ResponseMeta{FromApplication: true, HasLimit: true, LimitPerSecond: 0.1})
	r, _ := peer.LimitReport()
	own.MergeLimits(r)
	if _, ok := pick(own); ok {
		t.Error("the limit of a peer is not kept")
	}
	own.Upsert(kctable.Upstream{ID: "u", Service: "s", Zone: "z", Version: "v", StartedAtMs: 2})
	own.MergeLimits(r)
	if _, ok := pick(own); !ok {
		t.Error("the limit of the process before is kept")
	}
}
