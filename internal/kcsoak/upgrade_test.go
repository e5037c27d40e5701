package kcsoak

import (
	"bufio"
	"errors"
	"flag"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcprogram"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

const (
	// earlierCommit is the last commit whose tunnels do not tell the end of an upstream.
	// Its test binary is an instance if it gets the arguments of this one.
	earlierCommit = "5ac35928fbc8c88c779fffb2df67bd7913bc7952"
	// framedMs is the time, before the ends and after them, in which nothing ends and all
	// responses have framing, settleMs the time until its requests have ended.
	framedMs = 1500 * kcclock.Millisecond
	settleMs = 1000 * kcclock.Millisecond
)

// upgradeLine replaces the lines of testdata/upgrades.txt.
var upgradeLine = flag.String("upgrade", "", "the builds of the instances, as a line of testdata/upgrades.txt")

// build is a build of an instance.
type build string

// Values of build. An empty one is currentBuild.
const (
	currentBuild build = "current"
	earlierBuild build = "earlier"
)

func (b build) other() build {
	if b == earlierBuild {
		return currentBuild
	}
	return earlierBuild
}

// Values of upgrade.Restart.
const (
	restartSame  = "same"
	restartOther = "other"
	restartTurns = "turns"
)

// Values of upgrade.End.
const (
	endPassing = "passing"
	endAll     = "all"
	endNone    = "none"
)

// upgrade is a line of testdata/upgrades.txt, which describes the fields.
type upgrade struct {
	Cut, Passing []build
	Restart, End string
	Unframed     int
	// Framed adds the times before and after the ends, see framedMs.
	Framed bool
}

func parseUpgrade(line string) (u upgrade, err error) {
	for field := range strings.FieldsSeq(line) {
		name, value, _ := strings.Cut(field, "=")
		known := true
		switch name {
		case "cut":
			u.Cut, known = parseBuilds(value)
		case "passing":
			u.Passing, known = parseBuilds(value)
		case "restart":
			u.Restart, known = value, slices.Contains([]string{restartSame, restartOther, restartTurns}, value)
		case "end":
			u.End, known = value, slices.Contains([]string{endPassing, endAll, endNone}, value)
		case "unframed":
			u.Unframed, err = strconv.Atoi(value)
		default:
			known = false
		}
		if err != nil || !known {
			return u, errs.New("cannot read %q", field)
		}
	}
	return u, nil
}

func parseBuilds(list string) (builds []build, known bool) {
	for b := range strings.SplitSeq(list, ",") {
		if build(b) != currentBuild && build(b) != earlierBuild {
			return nil, false
		}
		builds = append(builds, build(b))
	}
	return builds, true
}

// upgradeOf returns the upgrade that a seed plays.
func upgradeOf(t *testing.T, seed uint64) upgrade {
	t.Helper()
	lines := []string{*upgradeLine}
	if *upgradeLine == "" {
		raw, err := os.ReadFile("testdata/upgrades.txt")
		if err != nil {
			t.Fatal(err)
		}
		lines = nil
		for sc := bufio.NewScanner(strings.NewReader(string(raw))); sc.Scan(); {
			if !strings.HasPrefix(sc.Text(), "#") {
				lines = append(lines, sc.Text())
			}
		}
	}
	line := lines[(seed-1)%uint64(len(lines))]
	u, err := parseUpgrade(line)
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	u.Framed = true
	t.Logf("seed %d: %s", seed, line)
	return u
}

// buildOf returns the build of the first process of an instance.
func (u upgrade) buildOf(n int) build {
	builds := u.Cut
	if n >= cutInstances {
		builds, n = u.Passing, n-cutInstances
	}
	if len(builds) == 0 {
		return currentBuild
	}
	return builds[n%len(builds)]
}

// processStart is the start of a process of an instance.
type processStart struct {
	build build
	at    time.Time
}

// buildLog holds the builds of the processes of an instance.
type buildLog struct {
	firstBuild build
	restart    string

	buildMu   sync.Mutex
	processes []processStart
}

// startBuild returns the build of the next process and records its start.
func (l *buildLog) startBuild() build {
	l.buildMu.Lock()
	defer l.buildMu.Unlock()
	b := l.firstBuild
	if n := len(l.processes); l.restart == restartOther && n > 0 || l.restart == restartTurns && n%2 == 1 {
		b = b.other()
	}
	l.processes = append(l.processes, processStart{b, time.Now()})
	return b
}

// mayBeEarlier reports whether a process of the earlier build may have run between from
// and to. The end of a process is not recorded: it is before the next start.
func (l *buildLog) mayBeEarlier(from, to time.Time) bool {
	l.buildMu.Lock()
	defer l.buildMu.Unlock()
	for n, p := range l.processes {
		if p.build == earlierBuild && p.at.Before(to) && (n == len(l.processes)-1 || l.processes[n+1].at.After(from)) {
			return true
		}
	}
	return false
}

var buildEarlier = sync.OnceValues(func() (string, error) {
	return kcprogram.BuildTestOf(programDir, "../..", earlierCommit, "./internal/kcsoak")
})

// withEarlierBuild returns u, or the same with the current build alone where the history
// does not hold the earlier one.
func (u upgrade) withEarlierBuild(t *testing.T) upgrade {
	t.Helper()
	switch _, err := buildEarlier(); {
	case errors.Is(err, kcprogram.ErrNoHistory):
		t.Logf("all instances are of the current build: %v", err)
		u.Cut, u.Passing, u.Restart = nil, nil, restartSame
	case err != nil:
		t.Fatal(err)
	}
	return u
}

// Guards against responses that end early and look whole, requests that run twice, and
// responses with framing that are lost, while two builds run side by side. An instance
// of the earlier build behind another one may take a response that ends early for whole.
// testdata/upgradeSeeds.txt lists seeds that failed before.
func TestSoakOfPeersOfEarlierBuild(t *testing.T) {
	t.Parallel()
	for _, seed := range seedsToRun(t, "testdata/upgradeSeeds.txt") {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runPeerEnds(t, seed, upgradeOf(t, seed).withEarlierBuild(t))
		})
	}
}

// mayLookWhole reports whether a response that ends early may look whole, as both the
// instance and a peer on the way may be of the earlier build. Instances that are cut off
// pass nothing on.
func (s *soakRun) mayLookWhole(a kcplatformtest.Attempt, p partition) bool {
	i := s.instanceNamed(a.Instance)
	cut := a.Start.After(p.from) && a.End.Before(p.to)
	return i.mayBeEarlier(a.Start, a.End) && slices.ContainsFunc(s.instances, func(o *instance) bool {
		return o != i && (!cut || !slices.Contains(p.instances, o)) && o.mayBeEarlier(a.Start, a.End)
	})
}

// endsEarly reports whether a response differs from the expected one by its end only.
func endsEarly(a kcplatformtest.Attempt) bool {
	if strings.HasPrefix(a.Mismatch, "stream ended cleanly ") {
		return true
	}
	body, err := strconv.Unquote(strings.TrimPrefix(a.Mismatch, "body "))
	return err == nil && strings.HasPrefix("answer to "+a.ID, body)
}

// serveFramed waits while nothing ends and all responses have framing. It returns the
// period from when all instances serve: for a while after an end, upstreams behind it
// are not used.
func (s *soakRun) serveFramed(phase string) faultPeriod {
	for _, u := range s.upstreams {
		u.SetFaults(kcplatformtest.UpstreamFaults{PauseMs: workMs})
	}
	s.checkAllInstancesServe(phase)
	p := faultPeriod{kind: phase, from: time.Now()}
	_ = kcclock.Wait(s.ctx, s.clock, framedMs)
	p.to = time.Now()
	_ = kcclock.Wait(s.ctx, s.clock, settleMs)
	return p
}

// checkFramed checks that all requests that began in a period of serveFramed were served.
func (s *soakRun) checkFramed(p faultPeriod) {
	served := make(map[string]int)
	for _, a := range s.attempts {
		switch {
		case a.Start.Before(p.from) || a.Start.After(p.to):
		case a.Status == http.StatusOK && a.Err == nil:
			served[a.Instance]++
		default:
			s.errorf("%s, with framing: %s (%s) to %s at %s: status %d, %v", p.kind, a.ID, a.Kind, a.Instance,
				a.Start.Format("15:04:05.000"), a.Status, a.Err)
		}
	}
	s.t.Logf("seed %d: %s, with framing, served: %v", s.seed, p.kind, served)
	if len(served) < cutInstances {
		s.errorf("%s, with framing: served %v", p.kind, served)
	}
}

// answerCounts counts what came of the requests to instances of one build.
type answerCounts struct {
	// Unframed and Framed count the requests by the upstream that they reached first,
	// Unreached those that reached none.
	Unframed, Framed, Unreached firstTries
	Statuses                    map[int]int
	// BrokenOff counts the responses with status 200 that broke off.
	BrokenOff int
}

// countAnswers counts the requests that began between two times, by the build of the
// instance that they came to. unframed is the number of upstreams without framing.
func (s *soakRun) countAnswers(from, to time.Time, unframed int) map[build]*answerCounts {
	counts := map[build]*answerCounts{
		currentBuild: {Statuses: make(map[int]int)}, earlierBuild: {Statuses: make(map[int]int)},
	}
	reached := s.firstReached()
	for _, a := range s.attempts {
		if a.Start.Before(from) || a.Start.After(to) {
			continue
		}
		c := counts[currentBuild]
		if s.instanceNamed(a.Instance).mayBeEarlier(a.Start, a.End) {
			c = counts[earlierBuild]
		}
		f := &c.Framed
		if n, ok := reached[a.ID]; !ok {
			f = &c.Unreached
		} else if n < unframed {
			f = &c.Unframed
		}
		c.Statuses[a.Status]++
		if a.Status == http.StatusOK && a.Err == nil && a.Mismatch == "" {
			f.served++
			continue
		}
		f.failed++
		if a.Status == http.StatusOK && a.Err != nil {
			c.BrokenOff++
		}
	}
	return counts
}

// firstReached returns the index of the upstream that a request has reached first, by
// request id.
func (s *soakRun) firstReached() map[string]int {
	reached, at := make(map[string]int), make(map[string]time.Time)
	for n, u := range s.upstreams {
		for _, a := range u.Arrivals() {
			if t, ok := at[a.ID]; !ok || a.At.Before(t) {
				reached[a.ID], at[a.ID] = n, a.At
			}
		}
	}
	return reached
}

// checkServedAlike checks that instances of both builds serve alike, if all responses
// have framing and the peers of both are the same.
func (s *soakRun) checkServedAlike(counts map[build]*answerCounts, up upgrade) {
	for b, c := range counts {
		s.t.Logf("seed %d: %s instances while peers end: %+v", s.seed, b, *c)
	}
	if up.Unframed > 0 || up.End == endAll {
		return
	}
	sum := func(b build) firstTries {
		c := counts[b]
		return firstTries{c.Framed.served + c.Unreached.served, c.Framed.failed + c.Unreached.failed}
	}
	for b := range counts {
		if f, others := sum(b), sum(b.other()); f.fallsShortOf(others) {
			s.errorf("instances of the %s build served %+v requests with framing, the others %+v", b, f, others)
		}
	}
}
