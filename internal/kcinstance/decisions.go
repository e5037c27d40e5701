package kcinstance

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/internal/kcentry"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// rolloutOwnerKey is the key that instances hash to agree on the one that
	// publishes roll-out stages. If two instances both consider themselves the
	// owner, they publish the same change and only one is accepted.
	rolloutOwnerKey = "rolloutController"
	// decisionIntervalMs is the interval between two evaluations of the evidence.
	decisionIntervalMs = 5 * kcclock.Second
	// peerDemandMaxAgeMs is the age above which a peer's demand is discarded.
	peerDemandMaxAgeMs = 10 * kcclock.Second
	// publishTimeoutMs bounds one attempt to publish a roll-out change.
	publishTimeoutMs = 10 * kcclock.Second
	// departedAfterMs is how long an instance must be off the member list before
	// its evidence is merged into one sum for all departed instances. The
	// evidence of an instance that returns after that is counted twice.
	departedAfterMs = 5 * kcclock.Minute
	// ratingTimeoutMs bounds a call of the rating service, and
	// maxRatingResponseBytes bounds its response.
	ratingTimeoutMs        = 2 * kcclock.Second
	maxRatingResponseBytes = 4 << 20
)

// routingSync connects kcentry.RoutingState to peers, the log and the rating
// service.
type routingSync struct {
	parent *Instance
	*kcentry.RoutingState
	// pendingChange holds at most one roll-out change that is to be published.
	pendingChange chan rolloutChange

	// missingSince holds the time at which each instance was first missing from
	// the member list. Only Run uses it.
	missingSince map[string]kcclock.Millis

	mu           sync.Mutex
	demandByPeer map[string]peerDemand
}

// peerDemand is the demand in the newest digest of a peer.
type peerDemand struct {
	receivedAt          kcclock.Millis
	requestsByWorkspace map[string]float64
}

// rolloutChange is a new value of a model's roll-out. It replaces the value at
// revision.
type rolloutChange struct {
	model    string
	revision int64
	rollout  kcrules.Rollout
}

func (i *Instance) newRoutingSync() *routingSync {
	d := &routingSync{
		parent: i, pendingChange: make(chan rolloutChange, 1), demandByPeer: make(map[string]peerDemand),
		missingSince: make(map[string]kcclock.Millis),
	}
	self := i.opts.Settings.Instance.ID
	d.RoutingState = kcentry.NewRoutingState(kcentry.RoutingStateOptions{
		Instance: self, Clock: i.opts.Clock, Rules: i.configReader, KeyRevision: i.configReader.RevisionOf,
		RatingsEnabled: i.opts.Settings.Platform.Rater != "",
		PublishRollout: func(model string, revision int64, r kcrules.Rollout) {
			select {
			case d.pendingChange <- rolloutChange{model, revision, r}:
			default: // requested again at the next evaluation
			}
		},
		IsRolloutLeader: func() bool { return kcset.Owner(rolloutOwnerKey, i.node.LiveInstances()) == self },
	})
	return d
}

// FillDigest adds the evidence and the demand of this instance to a digest. The
// entries do not repeat the name of the instance: it would take a quarter of
// the bytes of a digest.
func (d *routingSync) FillDigest(m *kcpeer.Digest) {
	for arm, t := range d.LocalEvidence() {
		m.Evidence = append(m.Evidence, encodeEvidence(arm, t))
	}
	for ws, n := range d.LocalDemand() {
		m.Demand = append(m.Demand, &kcpeer.WorkspaceDemand{Workspace: ws, Requests: int64(n * demandUnitsPerRequest)})
	}
}

func encodeEvidence(arm kcrollout.Arm, t kcrollout.Tally) *kcpeer.VersionEvidence {
	return &kcpeer.VersionEvidence{
		Version: arm.Version, Stratum: arm.Stratum,
		Requests: t[kcrollout.Failure].Total, Errors: t[kcrollout.Failure].Bad,
		Generated: t[kcrollout.Slow].Total, Slow: t[kcrollout.Slow].Bad,
		Timed: t[kcrollout.VerySlow].Total, VerySlow: t[kcrollout.VerySlow].Bad,
		Checked: t[kcrollout.FailedCheck].Total, FailedCheck: t[kcrollout.FailedCheck].Bad,
		RatedGood: t[kcrollout.BadRating].Total - t[kcrollout.BadRating].Bad, RatedBad: t[kcrollout.BadRating].Bad,
	}
}

// demandUnitsPerRequest is the scale of demand in digests, which hold integers:
// one request of demand is sent as this number of units.
const demandUnitsPerRequest = 1000

func decodeTally(e *kcpeer.VersionEvidence) kcrollout.Tally {
	var t kcrollout.Tally
	t[kcrollout.Failure] = kcrollout.Count{Bad: e.Errors, Total: e.Requests}
	t[kcrollout.Slow] = kcrollout.Count{Bad: e.Slow, Total: e.Generated}
	t[kcrollout.VerySlow] = kcrollout.Count{Bad: e.VerySlow, Total: e.Timed}
	t[kcrollout.FailedCheck] = kcrollout.Count{Bad: e.FailedCheck, Total: e.Checked}
	t[kcrollout.BadRating] = kcrollout.Count{Bad: e.RatedBad, Total: e.RatedGood + e.RatedBad}
	return t
}

// mergeDepartedEvidence merges the evidence of instances that have been off the
// member list for at least departedAfterMs.
func (d *routingSync) mergeDepartedEvidence() {
	listed := kcset.New(d.parent.listedInstances()...)
	listed.Add(d.parent.opts.Settings.Instance.ID)
	now := d.parent.opts.Clock.Now()
	missing := make(map[string]kcclock.Millis)
	d.MergeDepartedInstances(func(instance string) bool {
		if listed.Has(instance) {
			return false
		}
		since, known := d.missingSince[instance]
		if !known {
			since = now
		}
		missing[instance] = since
		return now-since >= departedAfterMs
	})
	d.missingSince = missing
}

// ReadDigest applies the evidence and the demand in a peer's digest.
func (d *routingSync) ReadDigest(m *kcpeer.Digest) {
	for _, e := range m.Evidence {
		d.MergePeerEvidence(cmp.Or(e.Instance, m.Instance), kcrollout.Arm{Version: e.Version, Stratum: e.Stratum}, decodeTally(e))
	}
	p := peerDemand{receivedAt: d.parent.opts.Clock.Now(), requestsByWorkspace: make(map[string]float64, len(m.Demand))}
	for _, w := range m.Demand {
		p.requestsByWorkspace[w.Workspace] += float64(w.Requests) / demandUnitsPerRequest
	}
	d.mu.Lock()
	d.demandByPeer[m.Instance] = p
	d.mu.Unlock()
}

// updatePeerDemand sets the demand of the other instances from their newest
// digests. A live peer without a recent digest is assumed to have the mean
// demand of the peers that have one.
func (d *routingSync) updatePeerDemand() {
	live := d.parent.node.LiveInstances()
	known := kcset.New(live...)
	known.Remove(d.parent.opts.Settings.Instance.ID)
	oldest := d.parent.opts.Clock.Now() - peerDemandMaxAgeMs
	otherDemand, reportingPeers := make(map[string]float64), 0
	d.mu.Lock()
	for id, p := range d.demandByPeer {
		if p.receivedAt < oldest || !known.Has(id) {
			delete(d.demandByPeer, id)
			continue
		}
		reportingPeers++
		for ws, n := range p.requestsByWorkspace {
			otherDemand[ws] += n
		}
	}
	d.mu.Unlock()
	if reportingPeers > 0 {
		for ws := range otherDemand {
			otherDemand[ws] *= float64(len(live)-1) / float64(reportingPeers)
		}
	}
	d.SetPeerDemand(len(live), otherDemand)
}

// Run periodically divides the limits among the instances, evaluates roll-outs,
// publishes roll-out changes and exchanges ratings until ctx ends. The returned
// channel is closed then.
func (d *routingSync) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		from := int64(0)
		for ctx.Err() == nil {
			d.updatePeerDemand()
			d.mergeDepartedEvidence()
			d.EvaluateRollouts()
			select {
			case c := <-d.pendingChange:
				d.publishChange(ctx, c)
			default:
			}
			from = d.exchangeRatings(ctx, from)
			select {
			case <-ctx.Done():
			case <-d.parent.opts.Clock.After(decisionIntervalMs):
			}
		}
	}()
	return done
}

// publishChange publishes a roll-out change and logs the result. The change
// names the revision that the decision was based on, so it is rejected if an
// operator has published a newer value.
func (d *routingSync) publishChange(ctx context.Context, c rolloutChange) {
	ctx, cancel := kcclock.WithTimeout(ctx, d.parent.opts.Clock, publishTimeoutMs)
	defer cancel()
	err := d.appendChange(ctx, c)
	d.parent.opts.Log.Info("rolloutChange", "model", c.model, "stage", c.rollout.StageIndex, "stopped", c.rollout.Stopped,
		"reason", c.rollout.Reason, "error", err)
}

func (d *routingSync) appendChange(ctx context.Context, c rolloutChange) error {
	value, err := json.Marshal(c.rollout)
	if err != nil {
		return errs.Wrap(err)
	}
	p, err := kcconfig.NewPublisher(ctx, kcconfig.PublisherOptions{
		Store: d.parent.opts.RecordLog, Clock: d.parent.opts.Clock, Base: d.parent.opts.Settings.Rules,
		Author: d.parent.opts.Settings.Instance.ID, Note: c.rollout.Reason,
	})
	if err != nil {
		return err
	}
	key := "rollouts/" + c.model
	change := p.BuildChange([]kcconfig.Difference{{Key: key, New: value}})
	change.Set[key] = kcconfig.KeyUpdate{Revision: c.revision, Value: value}
	_, err = p.Publish(ctx, change)
	return err
}

// exchangeRatings requests ratings for the sampled answers and reads new
// ratings. It returns the offset to read from next.
func (d *routingSync) exchangeRatings(ctx context.Context, from int64) int64 {
	samples := d.TakeSamples()
	base := d.parent.opts.Settings.Platform.Rater
	if base == "" {
		for _, s := range samples {
			d.DropSample(s.RequestID)
		}
		return from
	}
	accepted := true
	for _, s := range samples {
		body, err := json.Marshal(map[string]string{
			"requestId": s.RequestID, "version": s.Version, "class": string(s.Class),
		})
		if err == nil && accepted {
			err = d.callRater(ctx, http.MethodPost, base+"/v1/ratings", body, nil)
		}
		if err != nil || !accepted {
			// The rating service is down or over its rate limit. The remaining
			// samples are dropped without being sent.
			accepted = false
			d.DropSample(s.RequestID)
		}
	}
	var answer struct {
		Ratings []struct {
			Offset    int64  `json:"offset"`
			RequestID string `json:"requestId"`
			Good      bool   `json:"good"`
		} `json:"ratings"`
	}
	if err := d.callRater(ctx, http.MethodGet, base+"/v1/ratings?from="+strconv.FormatInt(from, 10), nil, &answer); err != nil {
		return from
	}
	for _, r := range answer.Ratings {
		d.RecordRating(r.RequestID, r.Good)
		from = max(from, r.Offset+1)
	}
	return from
}

// callRater calls the rating service and decodes its response into out.
func (d *routingSync) callRater(ctx context.Context, method, url string, body []byte, out any) error {
	ctx, cancel := kcclock.WithTimeout(ctx, d.parent.opts.Clock, ratingTimeoutMs)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errs.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.parent.opts.RatingClient.Do(req)
	if err != nil {
		return errs.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errs.New("rating service: status %d", resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errs.Wrap(json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxRatingResponseBytes)).Decode(out))
}
