package kcgate

import (
	"maps"
	"strconv"
	"strings"
	"sync"

	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// touchMs is the age up to which the state of an order counts as the newest.
// It is below the time in which a bad version must be left.
const touchMs = 4000 * kcclock.Millisecond

// serviceOrder is the state of the order of one service.
type serviceOrder struct {
	order    kctable.Order
	progress kctable.Progress
	// known is true once progress belongs to the order.
	known bool
	// startedAt is the start of the order on the clock of this instance, which
	// a step of the time of day does not move. live is true if the order was
	// seen as it was written.
	startedAt kcclock.Millis
	live      bool
	// others are the sessions that stay at another version.
	others otherSessions
	// settled is the version that the order before left in force, dropped the one
	// that it took back. They are empty if there was none.
	settled, dropped string
	// caughtUp is closed once another instance has told all that it knows of
	// them. It is nil if the order was seen as it was written.
	caughtUp chan struct{}
	evidence *kcrollout.Evidence
	detector *kcrollout.Detector
	// held is set once the log tells that the order waits for more evidence.
	held bool
	// suspect is set once the evidence speaks against the target.
	suspect bool
	// outliers are the upstreams of the target whose evidence is left out.
	outliers kcset.Set[string]
	// relayed holds the instances whose evidence this one publishes.
	relayed kcset.Set[string]
	// changed counts the events since evidence was last published, bad those
	// that speak against the target.
	changed, bad int
}

// Orders holds the orders to move services to another version.
type Rollouts struct {
	opts Options

	mu       sync.Mutex
	services map[string]*serviceOrder
	// base is the version of services without an order.
	base map[string]string
	pins map[sessionKey]pin
	// stateRead is closed once the published states were read.
	stateRead chan struct{}
}

// NewRollouts returns an empty set.
func NewRollouts(opts Options) *Rollouts {
	return &Rollouts{
		opts: opts, services: make(map[string]*serviceOrder),
		base: make(map[string]string), pins: make(map[sessionKey]pin),
		stateRead: make(chan struct{}),
	}
}

// ApplyOrder takes an order of the operator and reports whether it is new. live
// is true if it was written just now.
func (o *Rollouts) ApplyOrder(order kctable.Order, live bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[order.Service]
	if s != nil && s.order.Offset >= order.Offset {
		return false
	}
	next := &serviceOrder{
		order: order, evidence: kcrollout.NewEvidence(), detector: kcrollout.NewOrderDetector(o.opts.Clock.Now(), order),
	}
	next.startedAt, next.live = o.opts.Clock.Now(), live
	if !live {
		next.caughtUp = make(chan struct{})
	}
	if s != nil {
		next.progress = s.progress
		next.known = s.progress.Order == order.Offset && s.progress.Target == order.Target
		next.settled, next.dropped = s.settled, s.dropped
		if s.order.Offset >= 0 && s.known {
			next.settled, next.dropped = afterOrder(s.progress, s.settled, s.dropped)
		}
	}
	o.collect(next)
	o.services[order.Service] = next
	return true
}

// MarkStatesLoaded notes that ApplyProgress got all states that were published before.
func (o *Rollouts) MarkStatesLoaded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !isClosed(o.stateRead) {
		close(o.stateRead)
	}
}

// unread reports whether a service has an order from before the start of this
// instance whose state is not known.
func (o *Rollouts) unread(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	return s != nil && s.order.Offset >= 0 && !s.live && !s.known
}

// ApplyProgress takes the published state of an order and reports whether it is
// news.
func (o *Rollouts) ApplyProgress(p kctable.Progress) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[p.Service]
	if s == nil {
		s = &serviceOrder{order: kctable.Order{Service: p.Service, Offset: -1}}
		o.services[p.Service] = s
	}
	changed := s.progress != p
	s.progress = p
	s.known = p.Order == s.order.Offset && p.Target == s.order.Target
	if p.Order < s.order.Offset {
		// The end of the order before was seen after this one.
		s.settled, s.dropped = afterOrder(p, s.settled, s.dropped)
		o.collect(s)
	}
	return changed
}

// elapsed returns the time since the start of an order. An instance that began
// later goes by the time of day.
func (o *Rollouts) elapsed(s *serviceOrder) kcclock.Millis {
	if s.live || !s.known {
		return o.opts.Clock.Now() - s.startedAt
	}
	return max(o.opts.WallClock.Now()-s.progress.StartedAt, 0)
}

// view returns what the stage of an order depends on.
func (o *Rollouts) view(s *serviceOrder) kcrollout.OrderView {
	age, known := o.opts.RolloutStateAge(o.opts.Clock.Now())
	return kcrollout.OrderView{
		Order: s.order, Progress: s.progress, Known: s.known, Elapsed: o.elapsed(s),
		InTouch: known && age < touchMs, Suspect: s.suspect,
		ExposureShare: o.opts.Deployment.Bounds.ExposureShare,
	}
}

// part returns the part of the upstreams of a version that get requests. The
// target of an order gets as many as its share of the requests, so that each
// has the load that it will have later: some versions are bad under load only.
func (o *Rollouts) part(service, version string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if s == nil || s.order.Offset < 0 || s.order.Target != version {
		return 1
	}
	if d := kcrollout.Decide(o.view(s)); !d.Only && d.Share < 1 {
		return d.Share
	}
	return 1
}

// Reasons for the version of a request, as in logs and metrics.
const (
	// byBase: there is no order.
	byBase = "base"
	// byState: the state of the order leaves one version.
	byState = "state"
	// byUpstreams: the target or the others have no upstreams.
	byUpstreams = "upstreams"
	// byStart: the order waits for its first step.
	byStart = "start"
	// byPin: the session was served lately.
	byPin = "pin"
	// byPeer: the session was served lately by another instance.
	byPeer = "peer"
	// byShare: the share of the target decides for a session without a version.
	byShare = "share"
	// byStopped: the session was served lately by a version that another order
	// has stopped.
	byStopped = "stopped"
)

// permit is which versions may run a request, and why.
type permit struct {
	allows func(version string) bool
	reason string
	// pin is the last known version of the session, empty if there is none, and
	// pinAgeMs its age.
	pin      string
	pinAgeMs kcclock.Millis
	// peer is the instance that told of the session, empty for this one.
	peer string
	// waitMs is the time after which the session is free to change its version,
	// for byStopped.
	waitMs kcclock.Millis
}

// known reports whether the session has a version.
func (p *permit) known(span kcclock.Millis) bool {
	if p.peer != "" {
		span += toldSlackMs
	}
	return p.pin != "" && p.pinAgeMs < span
}

// String renders the reason for the log.
func (p permit) String() string {
	about := p.pin
	if p.peer != "" {
		about += "@" + p.peer
	}
	if about == "" {
		return p.reason
	}
	return p.reason + "/" + about + "/" + strconv.FormatInt(int64(p.pinAgeMs), 10) + "ms"
}

// allow returns which versions of a service may run a request of a session.
func (o *Rollouts) allow(service, session string, have versions) permit {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	p := o.lastVersion(s, sessionKey{service, session})
	if s == nil || s.order.Offset < 0 && !s.known && s.progress.Target == "" {
		p.allows, p.reason = o.allowBase(service, have), byBase
		return p
	}
	target := s.order.Target
	if s.order.Offset < 0 {
		// The progress was read before the order.
		progress := s.progress
		p.allows = func(v string) bool { return v != progress.Target || progress.Stage == kctable.Complete }
		return p
	}
	if o.stopped(s, &p) {
		p.allows = func(string) bool { return false }
		return p
	}
	d := kcrollout.Decide(o.view(s))
	targets, others := have.of(target)
	toTarget := d.Only
	switch {
	case d.Only, d.Never:
	case targets == 0:
		p.reason = byUpstreams
	case others == 0:
		toTarget, p.reason = true, byUpstreams
	case d.Share == 0:
		p.reason = byStart
	default:
		toTarget = o.forTarget(s, session, &p, d)
	}
	stopped := s.leftOver(have)
	p.allows = func(v string) bool { return (v == target) == toTarget && !stopped.Has(v) }
	return p
}

// forTarget reports whether a session goes to the target of an order that runs,
// and sets the reason. A session that was served lately stays, unless sessions
// may move.
func (o *Rollouts) forTarget(s *serviceOrder, session string, p *permit, d kcrollout.Decision) bool {
	p.reason = byPin
	if p.peer != "" {
		p.reason = byPeer
	}
	switch known := p.known(o.opts.Deployment.Bounds.SessionMs); {
	case known && p.pin == s.order.Target:
		return true
	case known && !d.Move:
		return false
	}
	p.reason = byShare
	return point(session) < d.Share
}

// allowBase keeps a service without an order on one version: an order for a
// version whose upstreams are seen already may still be on its way.
func (o *Rollouts) allowBase(service string, have versions) func(string) bool {
	if have.counts[o.base[service]] == 0 && have.first != "" {
		o.base[service] = have.first
	}
	base := o.base[service]
	return func(v string) bool { return v == base }
}

// count adds an answer of an upstream to the evidence of an order that runs.
func (o *Rollouts) count(service string, c *choice, stratum string, signal kcrollout.Signal, bad bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if s == nil || s.evidence == nil || (s.known && s.progress.Stage != kctable.Running) {
		return
	}
	arm, onTarget := otherArm, c.Version == s.order.Target
	switch {
	case onTarget && s.progress.Step == 0:
		arm = upstreamArm(c.ID)
	case onTarget:
		arm = targetArm
	}
	s.evidence.Add(o.opts.Deployment.Instance, kcrollout.Arm{Version: arm, Stratum: stratum}, signal, bad)
	s.changed++
	if bad && onTarget {
		s.bad++
	}
	o.fold(s)
}

// onTrial reports whether a version is the target of an order that runs.
func (o *Rollouts) onTrial(service, version string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	return s != nil && s.order.Offset >= 0 && s.order.Target == version &&
		(!s.known || s.progress.Stage != kctable.Complete)
}

// Names of the two sides of an order in the evidence.
const (
	targetArm = "target"
	otherArm  = "other"
)

// fold runs the test over all the evidence.
func (o *Rollouts) fold(s *serviceOrder) {
	now := o.opts.Clock.Now()
	target, skipped := targetEvidence(s.evidence)
	if !maps.Equal(skipped, s.outliers) {
		o.opts.Log.Info("upstreams left out of the evidence", "service", s.order.Service, "version", s.order.Target,
			"upstreams", strings.Join(kcset.Sorted(skipped), ","), "order", s.order.Offset)
		s.outliers, s.suspect = skipped, false
		s.detector = kcrollout.NewOrderDetector(now, s.order)
	}
	s.detector.Fold(now, target, s.evidence.Pooled(otherArm))
	if _, bad := s.detector.Verdict(); bad && !s.suspect {
		s.suspect = true
		o.opts.Log.Warn("version suspected", "service", s.order.Service, "version", s.order.Target,
			"evidence", s.detector.Seen(), "order", s.order.Offset)
	}
}

// ArmTally is the evidence of one instance on one side of an order.
type ArmTally struct {
	Arm   kcrollout.Arm   `json:"arm"`
	Tally kcrollout.Tally `json:"tally"`
}

// Report is what an instance tells others of an order.
type EvidenceReport struct {
	Instance string     `json:"instance"`
	Service  string     `json:"service"`
	Order    int64      `json:"order"`
	Counts   []ArmTally `json:"counts"`
	// News is true if there are new answers that speak against the target.
	HasNewFailures bool `json:"news,omitempty"`
}

// ActiveRollout is an order without a final state.
type ActiveRollout struct {
	kctable.Order
	// ElapsedMs is the time since its start.
	ElapsedMs kcclock.Millis
	// Known is true if its start is published.
	StatePublished bool
	Progress       kctable.Progress
	// Changed and Bad count the events since TakeReport.
	NewEvents, NewFailures int
}

// Open returns the orders that run.
func (o *Rollouts) Active() []ActiveRollout {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []ActiveRollout
	for _, s := range o.services {
		if s.evidence == nil || s.order.Offset < 0 || (s.known && s.progress.Stage != kctable.Running) {
			continue
		}
		out = append(out, ActiveRollout{
			Order: s.order, ElapsedMs: o.elapsed(s), StatePublished: s.known, Progress: s.progress, NewEvents: s.changed, NewFailures: s.bad,
		})
	}
	return out
}

// TakeReports returns the evidence of this instance and of those that it
// publishes for.
func (o *Rollouts) TakeReports(service string) []EvidenceReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if s == nil || s.evidence == nil {
		return nil
	}
	s.changed, s.bad = 0, 0
	var out []EvidenceReport
	for _, instance := range append(kcset.Sorted(s.relayed), o.opts.Deployment.Instance) {
		r := EvidenceReport{Instance: instance, Service: service, Order: s.order.Offset}
		for arm, t := range s.evidence.Own(instance) {
			r.Counts = append(r.Counts, ArmTally{Arm: arm, Tally: t})
		}
		if len(r.Counts) > 0 {
			out = append(out, r)
		}
	}
	return out
}

// Relay takes the evidence of an instance that this one publishes for.
func (o *Rollouts) MergeForPublishing(r EvidenceReport) {
	o.MergeReport(r)
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[r.Service]
	if s == nil || s.evidence == nil || s.order.Offset != r.Order {
		return
	}
	if s.relayed == nil {
		s.relayed = kcset.New[string]()
	}
	s.relayed.Add(r.Instance)
	s.changed++
	if r.HasNewFailures {
		s.bad++
	}
}

// Merge takes the evidence of another instance.
func (o *Rollouts) MergeReport(r EvidenceReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[r.Service]
	if s == nil || s.evidence == nil || s.order.Offset != r.Order || r.Instance == o.opts.Deployment.Instance {
		return
	}
	for _, c := range r.Counts {
		s.evidence.Report(r.Instance, c.Arm, c.Tally)
	}
	o.fold(s)
}

// NextRolloutState returns the next state of an order that runs, if it is time, with
// the evidence that it rests on.
func (g *Gateway) NextRolloutState(service string) (p kctable.Progress, seen kcrollout.Tally, ok bool) {
	return g.Rollouts.conclude(service, g.Upstreams.versions(service))
}

func (o *Rollouts) conclude(service string, have versions) (p kctable.Progress, seen kcrollout.Tally, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if s == nil || !s.known || s.progress.Stage != kctable.Running {
		return kctable.Progress{}, seen, false
	}
	v := o.view(s)
	v.Targets, v.Others = have.of(s.order.Target)
	p, ok = kcrollout.Conclude(v, s.detector)
	if !ok && !s.held && p.Step == 0 && v.Elapsed >= kcrollout.LastStepMs(s.order) {
		s.held = true
		signal, doubt := s.detector.Doubt()
		o.opts.Log.Warn("order held back", "service", service, "target", s.order.Target, "signal", signal, "doubt", doubt,
			"evidence", s.detector.Seen(), "order", s.order.Offset)
	}
	return p, s.detector.Seen(), ok
}
