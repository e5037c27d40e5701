// Package kclease gives one instance at a time the right to give orders for a
// resource. Leases, plans and their progress are records of one stream; the
// time of the log is the only clock in the fold, and the offset of a lease is
// its fencing number.
package kclease

import (
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Stream holds the leases and plans of all resources.
const Stream = "orders"

// Record kinds.
const (
	KindLease    = "lease"
	KindRenew    = "renewLease"
	KindRelease  = "releaseLease"
	KindPlan     = "plan"
	KindProgress = "planProgress"
	KindSnapshot = "leaseSnapshot"
)

// LeaseRequest is the body of a lease record.
type LeaseRequest struct {
	Resource   string         `json:"resource"`
	Holder     string         `json:"holder"`
	DurationMs kcclock.Millis `json:"durationMs"`
	// Deadline is the time of the log after which the record is ignored, so that a delayed
	// duplicate cannot give a lease to a holder that no longer waits for it.
	Deadline kcclock.Millis `json:"deadline"`
}

// LeaseUpdate is the body of renew and release records.
type LeaseUpdate struct {
	Resource   string         `json:"resource"`
	Fence      int64          `json:"fence"`
	DurationMs kcclock.Millis `json:"durationMs,omitempty"`
}

// Order is the desired end state of one engine. A repeat changes nothing.
type Order struct {
	// Fence is the fencing number of the lease under which the order is given.
	Fence int64 `json:"fence"`
	// Sender is the instance that gives the order.
	Sender   string   `json:"sender"`
	Role     string   `json:"role,omitempty"`
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters,omitempty"`
}

// PlanStep brings one engine to a state.
type PlanStep struct {
	// Engine is the id of the engine.
	Engine string `json:"engine"`
	// Do and Undo are the states after and before the plan; their fencing
	// number and sender are filled in when they are sent.
	Apply    Order `json:"do"`
	Rollback Order `json:"undo"`
}

// Plan is the body of a plan record: steps that belong together.
type Plan struct {
	ID       string     `json:"id"`
	Resource string     `json:"resource"`
	Fence    int64      `json:"fence"`
	Steps    []PlanStep `json:"steps"`
}

// Values of Progress.Event.
const (
	// EventStep means that a step is done, or undone after EventRollback.
	EventStep = "step"
	// EventRollback turns the plan around: every step is undone from now on.
	EventRollback = "undo"
	// EventEnd ends the plan.
	EventEnd = "end"
)

// PlanProgress is the body of a progress record.
type PlanProgress struct {
	Plan     string `json:"plan"`
	Resource string `json:"resource"`
	Fence    int64  `json:"fence"`
	Event    string `json:"event"`
	Step     int    `json:"step,omitempty"`
}

// Snapshot is the body of a snapshot record: the fold before offset Through.
type Snapshot struct {
	EndOffset   int64                     `json:"through"`
	Resources   map[string]*ResourceState `json:"resources"`
	SeenRecords map[string]kcclock.Millis `json:"seen"`
}
