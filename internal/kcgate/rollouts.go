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

// stateFreshMs is the age up to which the state of an order counts as the newest.
// It is below the time in which a bad version must be left.
const stateFreshMs = 4000 * kcclock.Millisecond

// serviceRollout is the state of the order of one service.
type serviceRollout struct {
	order    kctable.Order
	progress kctable.Progress
	// known is true once progress belongs to the order.
	published bool
	// startedAt is the start of the order on the clock of this instance, which
	// a step of the time of day does not move. live is true if the order was
	// seen as it was written.
	startedAt kcclock.Millis
	seenLive  bool
	// others are the sessions that stay at another version.
	sessions trackedSessions
	// settled is the version that the order before left in force, dropped the one
	// that it took back. They are empty if there was none.
	activeVersion, revertedVersion string
	// sessionsSynced is closed once another instance has told all that it knows of
	// them. It is nil if the order was seen as it was written.
	sessionsSynced chan struct{}
	evidence       *kcrollout.Evidence
	detector       *kcrollout.Detector
	// held is set once the log tells that the order waits for more evidence.
	holdLogged bool
	// suspect is set once the evidence speaks against the target.
	suspected bool
	// outliers are the upstreams of the target whose evidence is left out.
	outliers kcset.Set[string]
	// relayed holds the instances whose evidence this one publishes.
	publishedFor kcset.Set[string]
	// changed counts the events since evidence was last published, bad those
	// that speak against the target.
	newEvents, newFailures int
}

// Orders holds the orders to move services to another version.
type Rollouts struct {
	opts Options

	mu       sync.Mutex
	services map[string]*serviceRollout
	// base is the version of services without an order.
	baseVersions map[string]string
	pins         map[sessionKey]sessionPin
	// statesLoaded is closed once the published states were read.
	statesLoaded chan struct{}
}

// NewRollouts returns an empty set.
func NewRollouts(opts Options) *Rollouts {
	return &Rollouts{
		opts: opts, services: make(map[string]*serviceRollout),
		baseVersions: make(map[string]string), pins: make(map[sessionKey]sessionPin),
		statesLoaded: make(chan struct{}),
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
	next := &serviceRollout{
		order: order, evidence: kcrollout.NewEvidence(), detector: kcrollout.NewOrderDetector(o.opts.Clock.Now(), order),
	}
	next.startedAt, next.seenLive = o.opts.Clock.Now(), live
	if !live {
		next.sessionsSynced = make(chan struct{})
	}
	if s != nil {
		next.progress = s.progress
		next.published = s.progress.Order == order.Offset && s.progress.Target == order.Target
		next.activeVersion, next.revertedVersion = s.activeVersion, s.revertedVersion
		if s.order.Offset >= 0 && s.published {
			next.activeVersion, next.revertedVersion = versionsAfterOrder(s.progress, s.activeVersion, s.revertedVersion)
		}
	}
	o.collectSessions(next)
	o.services[order.Service] = next
	return true
}

// MarkStatesLoaded notes that ApplyProgress got all states that were published before.
func (o *Rollouts) MarkStatesLoaded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !isClosed(o.statesLoaded) {
		close(o.statesLoaded)
	}
}

// unread reports whether a service has an order from before the start of this
// instance whose state is not known.
func (o *Rollouts) stateMissing(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	return s != nil && s.order.Offset >= 0 && !s.seenLive && !s.published
}

// ApplyProgress takes the published state of an order and reports whether it is
// news.
func (o *Rollouts) ApplyProgress(p kctable.Progress) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[p.Service]
	if s == nil {
		s = &serviceRollout{order: kctable.Order{Service: p.Service, Offset: -1}}
		o.services[p.Service] = s
	}
	changed := s.progress != p
	s.progress = p
	s.published = p.Order == s.order.Offset && p.Target == s.order.Target
	if p.Order < s.order.Offset {
		// The end of the order before was seen after this one.
		s.activeVersion, s.revertedVersion = versionsAfterOrder(p, s.activeVersion, s.revertedVersion)
		o.collectSessions(s)
	}
	return changed
}

// elapsed returns the time since the start of an order. An instance that began
// later goes by the time of day.
func (o *Rollouts) elapsed(s *serviceRollout) kcclock.Millis {
	if s.seenLive || !s.published {
		return o.opts.Clock.Now() - s.startedAt
	}
	return max(o.opts.WallClock.Now()-s.progress.StartedAt, 0)
}

// view returns what the stage of an order depends on.
func (o *Rollouts) view(s *serviceRollout) kcrollout.OrderView {
	age, known := o.opts.RolloutStateAge(o.opts.Clock.Now())
	return kcrollout.OrderView{
		Order: s.order, Progress: s.progress, Known: s.published, Elapsed: o.elapsed(s),
		InTouch: known && age < stateFreshMs, Suspect: s.suspected,
		ExposureShare: o.opts.Deployment.Bounds.ExposureShare,
	}
}

// part returns the part of the upstreams of a version that get requests. The
// target of an order gets as many as its share of the requests, so that each
// has the load that it will have later: some versions are bad under load only.
func (o *Rollouts) upstreamShare(service, version string) float64 {
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
	// versionReasonBase: there is no order.
	versionReasonBase = "base"
	// versionReasonState: the state of the order leaves one version.
	versionReasonState = "state"
	// versionReasonUpstreams: the target or the others have no upstreams.
	versionReasonUpstreams = "upstreams"
	// versionReasonStart: the order waits for its first step.
	versionReasonStart = "start"
	// versionReasonPin: the session was served lately.
	versionReasonPin = "pin"
	// versionReasonPeer: the session was served lately by another instance.
	versionReasonPeer = "peer"
	// versionReasonShare: the share of the target decides for a session without a version.
	versionReasonShare = "share"
	// versionReasonStopped: the session was served lately by a version that another order
	// has stopped.
	versionReasonStopped = "stopped"
)

// permit is which versions may run a request, and why.
type versionDecision struct {
	allows func(version string) bool
	reason string
	// pin is the last known version of the session, empty if there is none, and
	// lastVersionAgeMs its age.
	lastVersion      string
	lastVersionAgeMs kcclock.Millis
	// peer is the instance that told of the session, empty for this one.
	reportedBy string
	// retryAfterMs is the time after which the session is free to change its version,
	// for versionReasonStopped.
	retryAfterMs kcclock.Millis
}

// known reports whether the session has a version.
func (p *versionDecision) hasRecentVersion(span kcclock.Millis) bool {
	if p.reportedBy != "" {
		span += peerSessionSlackMs
	}
	return p.lastVersion != "" && p.lastVersionAgeMs < span
}

// String renders the reason for the log.
func (p versionDecision) String() string {
	about := p.lastVersion
	if p.reportedBy != "" {
		about += "@" + p.reportedBy
	}
	if about == "" {
		return p.reason
	}
	return p.reason + "/" + about + "/" + strconv.FormatInt(int64(p.lastVersionAgeMs), 10) + "ms"
}

// allow returns which versions of a service may run a request of a session.
func (o *Rollouts) decideVersion(service, session string, have versionCounts) versionDecision {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	p := o.lastKnownVersion(s, sessionKey{service, session})
	if s == nil || s.order.Offset < 0 && !s.published && s.progress.Target == "" {
		p.allows, p.reason = o.baseVersionFilter(service, have), versionReasonBase
		return p
	}
	target := s.order.Target
	if s.order.Offset < 0 {
		// The progress was read before the order.
		progress := s.progress
		p.allows = func(v string) bool { return v != progress.Target || progress.Stage == kctable.Complete }
		return p
	}
	if o.mustWait(s, &p) {
		p.allows = func(string) bool { return false }
		return p
	}
	d := kcrollout.Decide(o.view(s))
	targets, others := have.split(target)
	toTarget := d.Only
	switch {
	case d.Only, d.Never:
	case targets == 0:
		p.reason = versionReasonUpstreams
	case others == 0:
		toTarget, p.reason = true, versionReasonUpstreams
	case d.Share == 0:
		p.reason = versionReasonStart
	default:
		toTarget = o.routesToTarget(s, session, &p, d)
	}
	stopped := s.stoppedVersions(have)
	p.allows = func(v string) bool { return (v == target) == toTarget && !stopped.Has(v) }
	return p
}

// routesToTarget reports whether a session goes to the target of an order that runs,
// and sets the reason. A session that was served lately stays, unless sessions
// may move.
func (o *Rollouts) routesToTarget(s *serviceRollout, session string, p *versionDecision, d kcrollout.Decision) bool {
	p.reason = versionReasonPin
	if p.reportedBy != "" {
		p.reason = versionReasonPeer
	}
	switch known := p.hasRecentVersion(o.opts.Deployment.Bounds.SessionMs); {
	case known && p.lastVersion == s.order.Target:
		return true
	case known && !d.Move:
		return false
	}
	p.reason = versionReasonShare
	return hashFraction(session) < d.Share
}

// baseVersionFilter keeps a service without an order on one version: an order for a
// version whose upstreams are seen already may still be on its way.
func (o *Rollouts) baseVersionFilter(service string, have versionCounts) func(string) bool {
	if have.counts[o.baseVersions[service]] == 0 && have.oldestVersion != "" {
		o.baseVersions[service] = have.oldestVersion
	}
	base := o.baseVersions[service]
	return func(v string) bool { return v == base }
}

// count adds an answer of an upstream to the evidence of an order that runs.
func (o *Rollouts) recordOutcome(service string, c *pickedUpstream, stratum string, signal kcrollout.Signal, bad bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if s == nil || s.evidence == nil || (s.published && s.progress.Stage != kctable.Running) {
		return
	}
	arm, onTarget := controlArm, c.Version == s.order.Target
	switch {
	case onTarget && s.progress.Step == 0:
		arm = upstreamArm(c.ID)
	case onTarget:
		arm = targetArm
	}
	s.evidence.Add(o.opts.Deployment.Instance, kcrollout.Arm{Version: arm, Stratum: stratum}, signal, bad)
	s.newEvents++
	if bad && onTarget {
		s.newFailures++
	}
	o.updateDetector(s)
}

// isRolloutTarget reports whether a version is the target of an order that runs.
func (o *Rollouts) isRolloutTarget(service, version string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	return s != nil && s.order.Offset >= 0 && s.order.Target == version &&
		(!s.published || s.progress.Stage != kctable.Complete)
}

// Names of the two sides of an order in the evidence.
const (
	targetArm  = "target"
	controlArm = "other"
)

// fold runs the test over all the evidence.
func (o *Rollouts) updateDetector(s *serviceRollout) {
	now := o.opts.Clock.Now()
	target, skipped := targetEvidence(s.evidence)
	if !maps.Equal(skipped, s.outliers) {
		o.opts.Log.Info("upstreams left out of the evidence", "service", s.order.Service, "version", s.order.Target,
			"upstreams", strings.Join(kcset.Sorted(skipped), ","), "order", s.order.Offset)
		s.outliers, s.suspected = skipped, false
		s.detector = kcrollout.NewOrderDetector(now, s.order)
	}
	s.detector.Fold(now, target, s.evidence.Pooled(controlArm))
	if _, bad := s.detector.Verdict(); bad && !s.suspected {
		s.suspected = true
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
		if s.evidence == nil || s.order.Offset < 0 || (s.published && s.progress.Stage != kctable.Running) {
			continue
		}
		out = append(out, ActiveRollout{
			Order: s.order, ElapsedMs: o.elapsed(s), StatePublished: s.published, Progress: s.progress, NewEvents: s.newEvents, NewFailures: s.newFailures,
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
	s.newEvents, s.newFailures = 0, 0
	var out []EvidenceReport
	for _, instance := range append(kcset.Sorted(s.publishedFor), o.opts.Deployment.Instance) {
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
	if s.publishedFor == nil {
		s.publishedFor = kcset.New[string]()
	}
	s.publishedFor.Add(r.Instance)
	s.newEvents++
	if r.HasNewFailures {
		s.newFailures++
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
	o.updateDetector(s)
}

// NextRolloutState returns the next state of an order that runs, if it is time, with
// the evidence that it rests on.
func (g *Gateway) NextRolloutState(service string) (p kctable.Progress, seen kcrollout.Tally, ok bool) {
	return g.Rollouts.nextState(service, g.Upstreams.versions(service))
}

func (o *Rollouts) nextState(service string, have versionCounts) (p kctable.Progress, seen kcrollout.Tally, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if s == nil || !s.published || s.progress.Stage != kctable.Running {
		return kctable.Progress{}, seen, false
	}
	v := o.view(s)
	v.Targets, v.Others = have.split(s.order.Target)
	p, ok = kcrollout.Conclude(v, s.detector)
	if !ok && !s.holdLogged && p.Step == 0 && v.Elapsed >= kcrollout.LastStepMs(s.order) {
		s.holdLogged = true
		signal, doubt := s.detector.Doubt()
		o.opts.Log.Warn("order held back", "service", service, "target", s.order.Target, "signal", signal, "doubt", doubt,
			"evidence", s.detector.Seen(), "order", s.order.Offset)
	}
	return p, s.detector.Seen(), ok
}
