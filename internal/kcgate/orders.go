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

// stateFreshMs is the age up to which the state of a rollout counts as current.
// It is less than the time in which traffic must leave a bad version.
const stateFreshMs = 4000 * kcclock.Millisecond

// serviceRollout is the state of the rollout of one service.
type serviceRollout struct {
	kcrollout.OrderHistory
	// startedAt is the start of the order on the monotonic clock of this
	// instance, which steps of the wall clock do not affect. seenLive is true if
	// the order was read as it was written.
	startedAt kcclock.Millis
	seenLive  bool
	// sessions are the sessions that stay at another version than the target.
	sessions trackedSessions
	// sessionsSynced is closed once another instance has sent all sessions that
	// it knows. It is nil if the order was read as it was written.
	sessionsSynced chan struct{}
	evidence       *kcrollout.Evidence
	detector       *kcrollout.Detector
	// holdLogged is set once the log says that the order waits for more evidence.
	holdLogged bool
	// suspected is set once the detector has found the target to be bad.
	suspected bool
	// outliers are the upstreams of the target whose evidence is left out.
	outliers kcset.Set[string]
	// publishedFor holds the instances whose evidence this instance publishes.
	publishedFor kcset.Set[string]
	// newEvents counts the events since evidence was last published. newFailures
	// counts those that speak against the target.
	newEvents, newFailures int
}

// Rollouts holds the orders that move services to another version, and the
// versions of sessions.
type Rollouts struct {
	opts Options

	mu       sync.Mutex
	services map[string]*serviceRollout
	// baseVersions holds the version of each service without an order, and of its
	// upstreams in the regions that a request may use.
	baseVersions map[versionsKey]string
	pins         map[sessionKey]sessionPin
	// statesLoaded is closed once the published states are read.
	statesLoaded chan struct{}
}

// NewRollouts returns a Rollouts without orders.
func NewRollouts(opts Options) *Rollouts {
	return &Rollouts{
		opts: opts, services: make(map[string]*serviceRollout),
		baseVersions: make(map[versionsKey]string), pins: make(map[sessionKey]sessionPin),
		statesLoaded: make(chan struct{}),
	}
}

// ApplyOrder records an order of the operator and reports whether it is newer
// than the known one. live is true if the order was read as it was written.
func (o *Rollouts) ApplyOrder(order kctable.RolloutOrder, live bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.service(order.Service)
	if !s.ReadOrder(order, false) {
		return false
	}
	next := &serviceRollout{
		OrderHistory: s.OrderHistory, startedAt: o.opts.Clock.Now(), seenLive: live,
		evidence: kcrollout.NewEvidence(), detector: kcrollout.NewOrderDetector(o.opts.Clock.Now(), order),
	}
	if !live {
		next.sessionsSynced = make(chan struct{})
	}
	o.collectSessions(next)
	o.services[order.Service] = next
	return true
}

// RestoreOrder records where the copy of a restored store holds a known order.
func (o *Rollouts) RestoreOrder(order kctable.RolloutOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.services[order.Service]; s != nil {
		s.ReadOrder(order, true)
	}
}

// service returns the rollout of a service.
func (o *Rollouts) service(name string) *serviceRollout {
	if o.services[name] == nil {
		o.services[name] = &serviceRollout{OrderHistory: kcrollout.NewOrderHistory(name)}
	}
	return o.services[name]
}

// MarkStatesLoaded records that ApplyProgress has got all states that were
// published so far.
func (o *Rollouts) MarkStatesLoaded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !isClosed(o.statesLoaded) {
		close(o.statesLoaded)
	}
}

// stateMissing reports whether a service has an order that is older than this
// instance and whose state is not known yet.
func (o *Rollouts) stateMissing(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	return s != nil && s.Order.Offset >= 0 && !s.seenLive && !s.Published
}

// ApplyProgress records the published state of a rollout and reports whether it
// has changed. A state that was published before the known one changes nothing.
func (o *Rollouts) ApplyProgress(p kctable.RolloutProgress) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.service(p.Service)
	changed := s.ReadProgress(p)
	if changed && !s.Published {
		o.collectSessions(s)
	}
	return changed
}

// elapsed returns the time since the start of an order. An instance that started
// later computes it from the wall clock.
func (o *Rollouts) elapsed(s *serviceRollout) kcclock.Millis {
	if s.seenLive || !s.Published {
		return o.opts.Clock.Now() - s.startedAt
	}
	return max(o.opts.WallClock.Now()-s.Progress.StartedAt, 0)
}

// view returns the inputs for the decision about the stage of an order.
func (o *Rollouts) view(s *serviceRollout) kcrollout.OrderView {
	age, known := o.opts.RolloutStateAge(o.opts.Clock.Now())
	return kcrollout.OrderView{
		Order: s.Order, Progress: s.Progress, ProgressKnown: s.Published, Elapsed: o.elapsed(s),
		ProgressFresh: known && age < stateFreshMs, LocallySuspect: s.suspected,
		ExposureShare: o.opts.Deployment.Bounds.MaxExposureShare,
	}
}

// upstreamShare returns the share of the upstreams of a version that get
// requests. The target of an order uses the same share of its upstreams as of the
// requests, so that each of them has its final load: some versions fail only
// under load.
func (o *Rollouts) upstreamShare(service, version string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if s == nil || s.Order.Offset < 0 || s.Order.Target != version {
		return 1
	}
	if d := kcrollout.SplitTraffic(o.view(s)); !d.TargetOnly && d.TargetShare < 1 {
		return d.TargetShare
	}
	return 1
}

// Reasons for the version of a request, as in logs and metrics.
const (
	// versionReasonBase means that the service has no order.
	versionReasonBase = "base"
	// versionReasonState means that the state of the order allows one version
	// only.
	versionReasonState = "state"
	// versionReasonUpstreams means that either the target or the other versions
	// have no upstreams.
	versionReasonUpstreams = "upstreams"
	// versionReasonStart means that the order waits for its first step.
	versionReasonStart = "start"
	// versionReasonPin means that this instance served the session recently.
	versionReasonPin = "pin"
	// versionReasonPeer means that another instance served the session recently.
	versionReasonPeer = "peer"
	// versionReasonShare means that the session has no version, and the traffic
	// share of the target decides.
	versionReasonShare = "share"
	// versionReasonStopped means that the session was served recently by a
	// version that another order has stopped.
	versionReasonStopped = "stopped"
)

// versionDecision tells which versions may run a request, and why.
type versionDecision struct {
	allows func(version string) bool
	// fallback, if set, tells which versions may run the request while all upstreams
	// of the target are cold. A session whose version is not known may have moved
	// to the target if sessionsMoved is true.
	fallback      func(version string) bool
	sessionsMoved bool
	reason        string
	// lastVersion is the last known version of the session, or empty if there is
	// none. lastVersionAgeMs is the time since its last use.
	lastVersion      string
	lastVersionAgeMs kcclock.Millis
	// reportedBy is the instance that reported the session, or empty for this
	// one.
	reportedBy string
	// retryAfterMs is the time until the session may change its version. It is
	// set for versionReasonStopped only.
	retryAfterMs kcclock.Millis
}

// hasRecentVersion reports whether the session was served within span. The
// versions that other instances report are kept longer by peerSessionSlackMs.
func (p *versionDecision) hasRecentVersion(span kcclock.Millis) bool {
	if p.reportedBy != "" {
		span += peerSessionSlackMs
	}
	return p.lastVersion != "" && p.lastVersionAgeMs < span
}

// String formats the reason for the request log.
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

// decideVersion returns which versions of a service may run a request of a
// session.
func (o *Rollouts) decideVersion(service, session string, available versionCounts) versionDecision {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	p := o.lastKnownVersion(s, sessionKey{service, session})
	if s == nil || s.Order.Offset < 0 && !s.Published && s.Progress.Target == "" {
		p.allows, p.reason = o.baseVersionFilter(service, available), versionReasonBase
		return p
	}
	target := s.Order.Target
	if s.Order.Offset < 0 {
		// The state was read before the order.
		progress := s.Progress
		p.allows = func(v string) bool { return v != progress.Target || progress.State == kctable.RolloutComplete }
		return p
	}
	if o.mustWait(s, &p) {
		p.allows = func(string) bool { return false }
		return p
	}
	d := kcrollout.SplitTraffic(o.view(s))
	targets, others := available.split(target)
	toTarget := d.TargetOnly
	switch {
	case d.TargetOnly, d.ExcludeTarget:
	case targets == 0:
		p.reason = versionReasonUpstreams
	case others == 0:
		toTarget, p.reason = true, versionReasonUpstreams
	case d.TargetShare == 0:
		p.reason = versionReasonStart
	default:
		toTarget = o.routesToTarget(s, session, &p, d)
	}
	stopped := s.stoppedVersions(available)
	p.allows = func(v string) bool { return (v == target) == toTarget && !stopped.Has(v) }
	if toTarget && p.reason == versionReasonShare {
		p.setFallback(target, stopped, d)
	}
	return p
}

func (p *versionDecision) setFallback(target string, stopped kcset.Set[string], d kcrollout.TrafficSplit) {
	p.fallback = func(v string) bool { return v != target && !stopped.Has(v) }
	p.sessionsMoved = d.MoveSessions && p.lastVersion == ""
}

// routesToTarget reports whether a session goes to the target of an active order,
// and sets the reason. A session that was served recently keeps its version,
// unless the order allows sessions to move.
func (o *Rollouts) routesToTarget(s *serviceRollout, session string, p *versionDecision, d kcrollout.TrafficSplit) bool {
	p.reason = versionReasonPin
	if p.reportedBy != "" {
		p.reason = versionReasonPeer
	}
	switch known := p.hasRecentVersion(o.opts.Deployment.Bounds.SessionIdleMs); {
	case known && p.lastVersion == s.Order.Target:
		return true
	case known && !d.MoveSessions:
		return false
	}
	p.reason = versionReasonShare
	return hashFraction(session) < d.TargetShare
}

// baseVersionFilter keeps a service without an order on one version. Upstreams of
// a new version may be listed before the order for it arrives. If that version has
// no upstream in the regions of a request, these regions have one of their own.
func (o *Rollouts) baseVersionFilter(service string, available versionCounts) func(string) bool {
	key := versionsKey{service, available.regions}
	if all := o.baseVersions[versionsKey{service: service}]; available.counts[all] > 0 {
		o.baseVersions[key] = all
	} else if available.counts[o.baseVersions[key]] == 0 && available.oldestVersion != "" {
		o.baseVersions[key] = available.oldestVersion
	}
	base := o.baseVersions[key]
	return func(v string) bool { return v == base }
}

// recordOutcome adds a response of an upstream to the evidence of an active
// order. How slow a cold upstream is says nothing of its version.
func (o *Rollouts) recordOutcome(service string, c *pickedUpstream, stratum string, signal kcrollout.Signal, bad bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if s == nil || s.evidence == nil || c.cold && signal != kcrollout.Failure ||
		(s.Published && s.Progress.State != kctable.RolloutRunning) {
		return
	}
	arm, onTarget := controlArm, c.Version == s.Order.Target
	switch {
	case onTarget && s.Progress.Step == 0:
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

// isRolloutTarget reports whether a version is the target of an order that is not
// complete.
func (o *Rollouts) isRolloutTarget(service, version string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	return s != nil && s.Order.Offset >= 0 && s.Order.Target == version &&
		(!s.Published || s.Progress.State != kctable.RolloutComplete)
}

// Names of the two arms of a rollout in the evidence.
const (
	targetArm  = "target"
	controlArm = "other"
)

// updateDetector feeds all evidence to the detector. If the set of outliers has
// changed, it starts with a new detector.
func (o *Rollouts) updateDetector(s *serviceRollout) {
	now := o.opts.Clock.Now()
	target, skipped := targetEvidence(s.evidence)
	if !maps.Equal(skipped, s.outliers) {
		o.opts.Log.Info("upstreams left out of the evidence", "service", s.Order.Service, "version", s.Order.Target,
			"upstreams", strings.Join(kcset.Sorted(skipped), ","), "order", s.Order.Offset)
		s.outliers, s.suspected = skipped, false
		s.detector = kcrollout.NewOrderDetector(now, s.Order)
	}
	s.detector.Observe(now, target, s.evidence.Pooled(controlArm))
	if _, bad := s.detector.Regression(); bad && !s.suspected {
		s.suspected = true
		o.opts.Log.Warn("version suspected", "service", s.Order.Service, "version", s.Order.Target,
			"evidence", s.detector.Observed(), "reference", s.evidence.Pooled(controlArm).Sum(), "order", s.Order.Offset)
	}
}

// Active returns the rollouts without a final state.
func (o *Rollouts) Active() []kcrollout.ActiveOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []kcrollout.ActiveOrder
	for _, s := range o.services {
		if s.evidence == nil || s.Order.Offset < 0 || (s.Published && s.Progress.State != kctable.RolloutRunning) {
			continue
		}
		out = append(out, kcrollout.ActiveOrder{
			RolloutOrder: s.Order, ElapsedMs: o.elapsed(s), StatePublished: s.Published, Progress: s.Progress,
			NewEvents: s.newEvents, NewFailures: s.newFailures,
		})
	}
	return out
}

// TakeReports returns the evidence of this instance and of the instances for
// which it publishes, and resets the event counts.
func (o *Rollouts) TakeReports(service string) []kcrollout.EvidenceReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if s == nil || s.evidence == nil {
		return nil
	}
	s.newEvents, s.newFailures = 0, 0
	var out []kcrollout.EvidenceReport
	for _, instance := range append(kcset.Sorted(s.publishedFor), o.opts.Deployment.Instance) {
		r := kcrollout.NewEvidenceReport(instance, s.Order)
		for arm, t := range s.evidence.InstanceCounts(instance) {
			r.Counts = append(r.Counts, kcrollout.ArmTally{Arm: arm, Tally: t})
		}
		if len(r.Counts) > 0 {
			out = append(out, r)
		}
	}
	return out
}

// MergeForPublishing merges the evidence of an instance for which this one
// publishes.
func (o *Rollouts) MergeForPublishing(r kcrollout.EvidenceReport) {
	o.MergeReport(r)
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[r.Service]
	if s == nil || s.evidence == nil || !s.IsNewest(r) {
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

// MergeReport merges the evidence of another instance.
func (o *Rollouts) MergeReport(r kcrollout.EvidenceReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[r.Service]
	if s == nil || s.evidence == nil || !s.IsNewest(r) || r.Instance == o.opts.Deployment.Instance {
		return
	}
	for _, c := range r.Counts {
		s.evidence.MergeCounts(r.Instance, c.Arm, c.Tally)
	}
	o.updateDetector(s)
}

// NextRolloutState returns the next state of an active rollout, if it is due, and
// the evidence behind it.
func (g *Gateway) NextRolloutState(service string) (p kctable.RolloutProgress, seen kcrollout.Tally, ok bool) {
	return g.Rollouts.nextState(service, g.Upstreams.versions(service, nil))
}

func (o *Rollouts) nextState(service string, available versionCounts) (p kctable.RolloutProgress, seen kcrollout.Tally, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if s == nil || !s.Published || s.Progress.State != kctable.RolloutRunning {
		return kctable.RolloutProgress{}, seen, false
	}
	v := o.view(s)
	v.TargetUpstreams, v.OtherUpstreams = available.split(s.Order.Target)
	p, ok = kcrollout.NextProgress(v, s.detector)
	p = p.WithOrder(s.Order)
	if !ok && !s.holdLogged && p.Step == 0 && v.Elapsed >= kcrollout.LastStepMs(s.Order) {
		s.holdLogged = true
		signal, doubt := s.detector.LogEvidence()
		o.opts.Log.Warn("order held back", "service", service, "target", s.Order.Target, "signal", signal, "doubt", doubt,
			"evidence", s.detector.Observed(), "reference", s.evidence.Pooled(controlArm).Sum(), "order", s.Order.Offset)
	}
	return p, s.detector.Observed(), ok
}
