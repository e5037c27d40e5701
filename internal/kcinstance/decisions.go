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
	// rolloutOwnerKey is what instances hash to agree on the one that publishes
	// stages. Two that both believe it publish the same change, and the log
	// accepts one.
	rolloutOwnerKey = "rolloutController"
	// decisionIntervalMs is the time between two looks at the evidence.
	decisionIntervalMs = 5 * kcclock.Second
	// peerDemandMaxAgeMs is the age from which the demand of a peer is forgotten.
	peerDemandMaxAgeMs = 10 * kcclock.Second
	// publishTimeoutMs bounds one attempt to publish a change of a roll-out.
	publishTimeoutMs = 10 * kcclock.Second
	// departedAfterMs is how long an instance must be off the list before its evidence
	// is kept as a part of one sum. One that comes back later counts twice.
	departedAfterMs = 5 * kcclock.Minute
	// ratingTimeoutMs bounds a call of the rating service, maxRatingResponseBytes its answer.
	ratingTimeoutMs        = 2 * kcclock.Second
	maxRatingResponseBytes = 4 << 20
)

// decisions connects kcentry.Decisions to peers, the log and the rating
// service.
type routingSync struct {
	instance *Instance
	*kcentry.RoutingState
	// changes holds at most one change of a roll-out that is to be published.
	pendingChange chan rolloutChange

	// missingSince is when an instance was first missing on the list. Only Run
	// uses it.
	missingSince map[string]kcclock.Millis

	mu     sync.Mutex
	demandByPeer map[string]peerDemand
}

type peerDemand struct {
	receivedAt          kcclock.Millis
	requestsByWorkspace map[string]float64
}

type rolloutChange struct {
	model    string
	revision int64
	rollout  kcrules.Rollout
}

func (i *Instance) newRoutingSync() *routingSync {
	d := &routingSync{
		instance: i, pendingChange: make(chan rolloutChange, 1), demandByPeer: make(map[string]peerDemand),
		missingSince: make(map[string]kcclock.Millis),
	}
	self := i.opts.Settings.Instance.ID
	d.RoutingState = kcentry.NewRoutingState(kcentry.RoutingStateOptions{
		Instance: self, Clock: i.opts.Clock, Rules: i.configReader, KeyRevision: i.configReader.RevisionOf,
		RatingsEnabled: i.opts.Settings.Platform.Rater != "",
		PublishRollout: func(model string, revision int64, r kcrules.Rollout) {
			select {
			case d.pendingChange <- rolloutChange{model, revision, r}:
			default: // asked for again at the next tick
			}
		},
		IsRolloutLeader: func() bool { return kcset.Owner(rolloutOwnerKey, i.node.LiveInstances()) == self },
	})
	return d
}

// FillDigest adds the evidence and the demand of this instance. The entries do
// not repeat its name: that would be a quarter of the bytes of a digest.
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
		Checked: t[kcrollout.FailedCheck].Total, FailedCheck: t[kcrollout.FailedCheck].Bad,
		RatedGood: t[kcrollout.BadRating].Total - t[kcrollout.BadRating].Bad, RatedBad: t[kcrollout.BadRating].Bad,
	}
}

// demandUnitsPerRequest is the number of units that a request of demand is sent as.
const demandUnitsPerRequest = 1000

func decodeTally(e *kcpeer.VersionEvidence) kcrollout.Tally {
	var t kcrollout.Tally
	t[kcrollout.Failure] = kcrollout.Count{Bad: e.Errors, Total: e.Requests}
	t[kcrollout.Slow] = kcrollout.Count{Bad: e.Slow, Total: e.Generated}
	t[kcrollout.FailedCheck] = kcrollout.Count{Bad: e.FailedCheck, Total: e.Checked}
	t[kcrollout.BadRating] = kcrollout.Count{Bad: e.RatedBad, Total: e.RatedGood + e.RatedBad}
	return t
}

// retire sums up the evidence of instances that have left the list.
func (d *routingSync) mergeDepartedEvidence() {
	listed := kcset.New(d.instance.listedInstances()...)
	listed.Add(d.instance.opts.Settings.Instance.ID)
	now := d.instance.opts.Clock.Now()
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

// ReadDigest takes the evidence and the demand of a peer.
func (d *routingSync) ReadDigest(m *kcpeer.Digest) {
	for _, e := range m.Evidence {
		d.MergePeerEvidence(cmp.Or(e.Instance, m.Instance), kcrollout.Arm{Version: e.Version, Stratum: e.Stratum}, decodeTally(e))
	}
	p := peerDemand{receivedAt: d.instance.opts.Clock.Now(), requestsByWorkspace: make(map[string]float64, len(m.Demand))}
	for _, w := range m.Demand {
		p.requestsByWorkspace[w.Workspace] += float64(w.Requests) / demandUnitsPerRequest
	}
	d.mu.Lock()
	d.demandByPeer[m.Instance] = p
	d.mu.Unlock()
}

// updatePeerDemand sets the demand of the others from their newest digests. Peers
// that were not heard from lately count with the mean of those that were.
func (d *routingSync) updatePeerDemand() {
	live := d.instance.node.LiveInstances()
	known := kcset.New(live...)
	known.Remove(d.instance.opts.Settings.Instance.ID)
	oldest := d.instance.opts.Clock.Now() - peerDemandMaxAgeMs
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

// Run looks at the evidence, divides the limits, publishes changes of
// roll-outs and exchanges ratings until ctx ends. The returned channel is
// closed then.
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
			case <-d.instance.opts.Clock.After(decisionIntervalMs):
			}
		}
	}()
	return done
}

// publish appends a change of a roll-out. It builds on the revision that the
// decision was made on, so a later change of an operator wins.
func (d *routingSync) publishChange(ctx context.Context, c rolloutChange) {
	ctx, cancel := kcclock.WithTimeout(ctx, d.instance.opts.Clock, publishTimeoutMs)
	defer cancel()
	err := d.appendChange(ctx, c)
	d.instance.opts.Log.Info("rolloutChange", "model", c.model, "stage", c.rollout.StageIndex, "stopped", c.rollout.Stopped,
		"reason", c.rollout.Reason, "error", err)
}

func (d *routingSync) appendChange(ctx context.Context, c rolloutChange) error {
	value, err := json.Marshal(c.rollout)
	if err != nil {
		return errs.Wrap(err)
	}
	p, err := kcconfig.NewPublisher(ctx, kcconfig.PublisherOptions{
		Store: d.instance.opts.RecordLog, Clock: d.instance.opts.Clock, Base: d.instance.opts.Settings.Rules,
		Author: d.instance.opts.Settings.Instance.ID, Note: c.rollout.Reason,
	})
	if err != nil {
		return err
	}
	key := "rollouts/" + c.model
	change := p.Change([]kcconfig.Difference{{Key: key, New: value}})
	change.Set[key] = kcconfig.Item{Revision: c.revision, Value: value}
	_, err = p.Publish(ctx, change)
	return err
}

// ratings sends the answers to be rated and reads new ratings. It returns the
// offset to read from next.
func (d *routingSync) exchangeRatings(ctx context.Context, from int64) int64 {
	samples := d.TakeSamples()
	base := d.instance.opts.Settings.Platform.Rater
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
			// The service is down or over its rate; the rest is not sent.
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

// rater calls the rating service and decodes its answer into out.
func (d *routingSync) callRater(ctx context.Context, method, url string, body []byte, out any) error {
	ctx, cancel := kcclock.WithTimeout(ctx, d.instance.opts.Clock, ratingTimeoutMs)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errs.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.instance.opts.RatingClient.Do(req)
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
