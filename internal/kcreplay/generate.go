package kcreplay

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Names of the scenarios of a generated day.
const (
	ScenarioPlain           = "plain"
	ScenarioPoolExhausted   = "poolExhausted"
	ScenarioVersionDegraded = "versionBad"
	ScenarioRolloutStuck    = "rolloutStuck"
	ScenarioStoreDown       = "storeDown"
	ScenarioRegionPartition = "regionCut"
	ScenarioFlood           = "flood"
)

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	return []string{
		ScenarioPlain, ScenarioPoolExhausted, ScenarioVersionDegraded, ScenarioRolloutStuck, ScenarioStoreDown,
		ScenarioRegionPartition, ScenarioFlood,
	}
}

// Deployments returns the names of both deployments.
func Deployments() []string { return []string{"harvest", "registry"} }

// Durations of generated days.
const (
	longDayDuration  = 12 * kcclock.Hour
	shortDayDuration = 3 * kcclock.Hour
	tinyDayDuration  = 2 * kcclock.Minute
)

// Generate returns the trace with the name DEPLOYMENT/SCENARIO, or
// DEPLOYMENT/SCENARIO/short for a day of 3 hours and /tiny for one of 2
// minutes. The same name and seed give the same trace.
func Generate(name string, seed uint64) (*Trace, error) {
	parts := strings.Split(name, "/")
	g := &generator{rand: rand.New(rand.NewPCG(seed, 0)), end: longDayDuration, trace: &Trace{}}
	if len(parts) == 3 {
		if end, ok := map[string]kcclock.Millis{"short": shortDayDuration, "tiny": tinyDayDuration}[parts[2]]; ok {
			g.end, parts = end, parts[:2]
		}
	}
	if len(parts) != 2 || !slices.Contains(Scenarios(), parts[1]) {
		return nil, errs.New("no trace %q; use harvest or registry, a slash and one of %s",
			name, strings.Join(Scenarios(), ", "))
	}
	switch parts[0] {
	case "harvest":
		g.deployment = harvestDeployment()
	case "registry":
		g.deployment = registryDeployment()
	default:
		return nil, errs.New("no deployment %q; use harvest or registry", parts[0])
	}
	g.scenario = parts[1]
	g.trace.Header = Header{
		Name: name, Seed: seed, EndMs: g.end, Rules: g.deployment.rules(), Environment: g.deployment.environment(),
	}
	g.addArrivals()
	g.addFaults()
	return g.trace, nil
}

type generator struct {
	rand       *rand.Rand
	deployment deployment
	scenario   string
	end        kcclock.Millis
	trace      *Trace
}

// workload describes one class of requests of a deployment.
type workload struct {
	class kcrules.Class
	// requestsPerSecond is the mean rate. At the busiest time the rate is
	// peakFactor times as high.
	requestsPerSecond, peakFactor      float64
	meanPromptTokens, meanOutputTokens int
	// maxWait is the time from arrival to deadline. If dueAtDayShare is set, the
	// deadline is at that share of the day instead, but between maxWait and one
	// hour after the arrival.
	maxWait       kcclock.Millis
	dueAtDayShare float64
	service       string
	nonIdempotent bool
	// sessionShare is the share of the requests that belong to a session.
	sessionShare float64
}

type deployment struct {
	modelPrefix      string
	versions         map[string]kcrules.Version
	quality          map[string]map[kcrules.Class]float64
	qualityTargets   map[kcrules.Class]float64
	workloads        []workload
	maxRolloutShares []float64
	clientDelayMs    kcclock.Millis
	service          string
}

// workspaceTrafficShares are the shares of the workspaces in all traffic. A few
// workspaces are large.
var workspaceTrafficShares = []float64{0.28, 0.2, 0.14, 0.1, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02}

// addArrivals draws a Poisson process per workload whose rate varies over the
// day.
func (g *generator) addArrivals() {
	for _, w := range g.deployment.workloads {
		for at := 0.0; ; {
			at += g.rand.ExpFloat64() / (w.requestsPerSecond * w.peakFactor) * float64(kcclock.Second)
			if at >= float64(g.end) {
				break
			}
			// Thinning: candidates arrive at the peak rate and are accepted in
			// proportion to the current rate.
			if g.rand.Float64()*w.peakFactor <= relativeRate(at/float64(g.end), w.peakFactor) {
				g.addArrival(w, kcclock.Millis(at), g.drawWorkspace())
			}
		}
	}
	if g.scenario == ScenarioFlood {
		g.addFlood()
	}
	slices.SortStableFunc(g.trace.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

// relativeRate returns the request rate at the share x of the day relative to the
// mean. It rises to peakFactor at 60% of the day; the mean over the day is near 1.
func relativeRate(x, peakFactor float64) float64 {
	const peakPosition, peakWidth = 0.6, 0.15
	bump := math.Exp(-(x - peakPosition) * (x - peakPosition) / (2 * peakWidth * peakWidth))
	area := peakWidth * math.Sqrt(2*math.Pi)
	base := (1 - peakFactor*area) / (1 - area)
	return base + (peakFactor-base)*bump
}

// addFlood adds chats of the largest workspace at 12 times the mean rate of the
// first workload of the whole deployment, for 15 minutes but at most a quarter
// of the day.
func (g *generator) addFlood() {
	const factor = 12
	w := g.deployment.workloads[0]
	from, until := g.end/2, g.end/2+min(15*kcclock.Minute, g.end/4)
	for at := float64(from); at < float64(until); at += g.rand.ExpFloat64() /
		(w.requestsPerSecond * factor) * float64(kcclock.Second) {
		g.addArrival(w, kcclock.Millis(at), 0)
	}
}

// drawWorkspace draws the index of a workspace in proportion to its traffic.
func (g *generator) drawWorkspace() int {
	u := g.rand.Float64()
	for i, p := range workspaceTrafficShares {
		if u -= p; u < 0 {
			return i
		}
	}
	return 0
}

func (g *generator) addArrival(w workload, at kcclock.Millis, ws int) {
	a := Arrival{
		At: at, Workspace: workspaceName(ws), Class: w.class, MaxWaitMs: w.maxWait, Service: w.service, NonIdempotent: w.nonIdempotent,
	}
	if w.dueAtDayShare > 0 {
		a.MaxWaitMs = max(w.maxWait, min(kcclock.Millis(w.dueAtDayShare*float64(g.end))-at, kcclock.Hour))
	}
	if w.service == "" {
		a.PromptTokens, a.OutputTokens = g.drawSize(w.meanPromptTokens), g.drawSize(w.meanOutputTokens)
		a.Prefixes = []uint64{uint64(ws + 1), uint64(ws*100+g.rand.IntN(40)) + 1000}
		if g.rand.Float64() < w.sessionShare {
			// A session lasts about ten minutes.
			n := int(at/(10*kcclock.Minute))*10 + g.rand.IntN(10)
			a.Session = "s" + strconv.Itoa(ws) + "-" + strconv.Itoa(n)
			a.Prefixes = append(a.Prefixes, uint64(1_000_000+ws*1000+n))
		}
	}
	g.trace.Arrivals = append(g.trace.Arrivals, a)
}

// drawSize draws a log-normal size around mean, limited to the range from a third
// of mean to three times mean and to at least 4 tokens.
func (g *generator) drawSize(mean int) int {
	f := math.Exp(g.rand.NormFloat64() * 0.4)
	return max(int(float64(mean)*min(max(f, 1.0/3), 3)), 4)
}

func workspaceName(i int) string { return "w" + strconv.Itoa(i) }

// addFaults adds the faults of the scenario.
func (g *generator) addFaults() {
	atDayShare := func(dayShare float64) kcclock.Millis { return kcclock.Millis(dayShare * float64(g.end)) }
	addFault := func(f Fault) { g.trace.Faults = append(g.trace.Faults, f) }
	targetVersion := g.deployment.modelPrefix + "-mid@2"
	switch g.scenario {
	case ScenarioPoolExhausted:
		// Three of the four runners stop. With no runner left for a version,
		// no policy could serve the sessions bound to it.
		addFault(Fault{
			Kind: FaultRunnersDown, Target: g.deployment.modelPrefix + "-mid@1", Factor: 0.75,
			At: atDayShare(0.4), Until: atDayShare(0.7),
		})
	case ScenarioVersionDegraded:
		addFault(Fault{Kind: FaultVersionDegraded, Target: targetVersion, Factor: 0.4, At: atDayShare(0.5)})
	case ScenarioRolloutStuck:
		addFault(Fault{Kind: FaultRolloutStuck, At: atDayShare(0.12), Until: atDayShare(1)})
		addFault(Fault{Kind: FaultVersionDegraded, Target: targetVersion, Factor: 0.4, At: atDayShare(0.5)})
	case ScenarioStoreDown:
		// Two hours of the long day of 12 hours.
		addFault(Fault{Kind: FaultStoreDown, At: atDayShare(0.5), Until: atDayShare(0.5 + 1.0/6)})
	case ScenarioRegionPartition:
		addFault(Fault{Kind: FaultRegionPartition, At: atDayShare(0.5), Until: atDayShare(0.5 + 1.0/12)})
	}
}
