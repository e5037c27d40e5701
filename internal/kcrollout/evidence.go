package kcrollout

import (
	"maps"

	"github.com/kingcuprail/kingcuprail/internal/kctable"
)

// Signal is a kind of bad event that is counted per answer.
type Signal int

// Values of Signal.
const (
	// BadRating counts answers that the rating service rated bad.
	BadRating Signal = iota
	// FailedCheck counts answers that failed the check in the request path,
	// refusals among them.
	FailedCheck
	// Failure counts attempts that an engine answered with an error. An
	// unreachable upstream says nothing about its version.
	Failure
	// Slow counts answers whose generation took longer than expected, from
	// the first to the last token. The time to the first token says nothing
	// about the version.
	Slow
	// VerySlow counts answers that took several times as long as usual. Few of a
	// version that is as fast as the old one do, so that it needs fewer answers
	// than Slow to tell.
	VerySlow
	signalCount
)

// String returns the name of the signal.
func (s Signal) String() string {
	return [...]string{"badRating", "failedCheck", "error", "slow", "verySlow"}[s]
}

// Count is the number of events of one signal and of the bad ones among them.
type Count struct {
	Bad   int64 `json:"bad"`
	Total int64 `json:"total"`
}

// Tally holds the counts of one version.
type Tally [signalCount]Count

// Add counts one event.
func (t *Tally) Add(s Signal, bad bool) {
	t[s].Total++
	if bad {
		t[s].Bad++
	}
}

// Plus returns the sum of t and other.
func (t Tally) Plus(other Tally) Tally {
	for s := range t {
		t[s].Bad += other[s].Bad
		t[s].Total += other[s].Total
	}
	return t
}

// Minus returns the events of t that are not in old, and no negative counts.
func (t Tally) Minus(old Tally) Tally {
	for s := range t {
		t[s].Bad = max(t[s].Bad-old[s].Bad, 0)
		t[s].Total = max(t[s].Total-old[s].Total, 0)
	}
	return t
}

// Arm identifies what the test compares: a version in one stratum. Requests of
// one stratum are alike, for example those of one class at one step of a
// cascade, so a change of the request mix is not mistaken for a change of the
// version.
type Arm struct {
	Version string `json:"version"`
	Stratum string `json:"stratum"`
}

// Evidence holds the counts of every instance per arm. The counts of one
// instance only grow and are merged by maximum, so lost, repeated or reordered
// messages do no harm. It is not safe for concurrent use.
type Evidence struct {
	counts map[Arm]map[string]Tally
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence { return &Evidence{counts: make(map[Arm]map[string]Tally)} }

// Add counts one event on an instance.
func (e *Evidence) Add(instance string, arm Arm, s Signal, bad bool) {
	m := e.instanceCounts(arm)
	t := m[instance]
	t.Add(s, bad)
	m[instance] = t
}

func (e *Evidence) instanceCounts(arm Arm) map[string]Tally {
	m := e.counts[arm]
	if m == nil {
		m = make(map[string]Tally)
		e.counts[arm] = m
	}
	return m
}

// MergeCounts merges the counts that instance reports for an arm.
func (e *Evidence) MergeCounts(instance string, arm Arm, t Tally) {
	m := e.instanceCounts(arm)
	have := m[instance]
	for s := range t {
		have[s].Bad = max(have[s].Bad, t[s].Bad)
		have[s].Total = max(have[s].Total, t[s].Total)
	}
	m[instance] = have
}

// Merge merges all counts of other.
func (e *Evidence) Merge(other *Evidence) {
	for arm, m := range other.counts {
		for instance, t := range m {
			e.MergeCounts(instance, arm, t)
		}
	}
}

// InstanceCounts returns a copy of the counts of instance.
func (e *Evidence) InstanceCounts(instance string) map[Arm]Tally {
	out := make(map[Arm]Tally)
	for arm, m := range e.counts {
		if t, ok := m[instance]; ok {
			out[arm] = t
		}
	}
	return out
}

// ArmTally is the evidence of one instance for one arm of a rollout.
type ArmTally struct {
	Arm   Arm   `json:"arm"`
	Tally Tally `json:"tally"`
}

// EvidenceReport is the evidence of one instance on an order, as sent to others.
type EvidenceReport struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Order    int64  `json:"order"`
	// Era, Last and Target are those of the order. An earlier program version leaves
	// them out.
	Era    int64            `json:"era,omitempty"`
	Last   kctable.Position `json:"last,omitzero"`
	Target string           `json:"target,omitempty"`
	Counts []ArmTally       `json:"counts"`
	// HasNewFailures is true if there are new responses that speak against the
	// target.
	HasNewFailures bool `json:"news,omitempty"`
}

// NewEvidenceReport returns an empty report of an instance on an order.
func NewEvidenceReport(instance string, o kctable.RolloutOrder) EvidenceReport {
	return EvidenceReport{
		Instance: instance, Service: o.Service, Order: o.Offset, Era: o.Era, Last: o.Last, Target: o.Target,
	}
}

// positions returns the positions of the order.
func (r EvidenceReport) positions() []kctable.Position {
	return kctable.RolloutOrder{Offset: r.Order, Era: r.Era, Last: r.Last}.Positions()
}

// Strata maps each stratum to the counts of one version in it.
type Strata map[string]Tally

// Pooled returns the counts of all instances for version.
func (e *Evidence) Pooled(version string) Strata {
	strata := e.PooledBy(func(v string) (string, bool) { return v, v == version })[version]
	if strata == nil {
		return make(Strata)
	}
	return strata
}

// PooledBy returns the counts of all instances by group. The callback returns
// the group of a version, or false to leave the version out.
func (e *Evidence) PooledBy(group func(version string) (string, bool)) map[string]Strata {
	out := make(map[string]Strata)
	for arm, m := range e.counts {
		name, ok := group(arm.Version)
		if !ok {
			continue
		}
		if out[name] == nil {
			out[name] = make(Strata)
		}
		sum := out[name][arm.Stratum]
		for _, t := range m {
			sum = sum.Plus(t)
		}
		out[name][arm.Stratum] = sum
	}
	return out
}

// Sum returns the counts over all strata.
func (s Strata) Sum() Tally {
	var sum Tally
	for _, t := range s {
		sum = sum.Plus(t)
	}
	return sum
}

// departedInstances is the key of the entry that sums the counts of all retired
// instances. No instance has an empty name.
const departedInstances = ""

// RetireInstances moves the counts of the instances for which gone returns true
// into one common entry, so that memory use depends only on the live instances.
// A retired instance that reports again is counted twice.
func (e *Evidence) RetireInstances(gone func(instance string) bool) {
	for _, m := range e.counts {
		for instance, t := range m {
			if instance != departedInstances && gone(instance) {
				m[departedInstances] = m[departedInstances].Plus(t)
				delete(m, instance)
			}
		}
	}
}

// RetainVersions drops the versions for which keep returns false.
func (e *Evidence) RetainVersions(keep func(version string) bool) {
	maps.DeleteFunc(e.counts, func(a Arm, _ map[string]Tally) bool { return !keep(a.Version) })
}
