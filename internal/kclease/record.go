// Package kclease grants one instance at a time the right to send orders for a
// resource. Leases, plans and their progress are records of one stream.
// Applying the records uses no clock but the log time. The offset of a lease
// record is its fencing token.
package kclease

import (
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Stream is the log stream with the leases and plans of all resources.
const Stream = "orders"

// Kinds of records in the stream.
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
	// Deadline is the log time after which the record is ignored, so that a
	// delayed duplicate cannot grant a lease to a holder that no longer waits for
	// it.
	Deadline kcclock.Millis `json:"deadline"`
}

// LeaseUpdate is the body of the records that renew or release a lease.
type LeaseUpdate struct {
	Resource   string         `json:"resource"`
	Fence      int64          `json:"fence"`
	DurationMs kcclock.Millis `json:"durationMs,omitempty"`
}

// Order is the desired state of one engine. It is idempotent.
type Order struct {
	// Fence is the fencing token of the lease under which the order is sent.
	Fence int64 `json:"fence"`
	// Sender is the id of the instance that sends the order.
	Sender   string   `json:"sender"`
	Role     string   `json:"role,omitempty"`
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters,omitempty"`
}

// PlanStep changes the state of one engine.
type PlanStep struct {
	// Engine is the id of the engine.
	Engine string `json:"engine"`
	// Apply and Rollback are the desired states after the plan and before it.
	// Their fencing token and sender are set when they are sent.
	Apply    Order `json:"do"`
	Rollback Order `json:"undo"`
}

// Plan is the body of a plan record: steps that are executed or rolled back
// together.
type Plan struct {
	ID       string     `json:"id"`
	Resource string     `json:"resource"`
	Fence    int64      `json:"fence"`
	Steps    []PlanStep `json:"steps"`
}

// Values of PlanProgress.Event.
const (
	// EventStep means that a step is done. After EventRollback it means that the
	// step is rolled back.
	EventStep = "step"
	// EventRollback switches the plan to rollback: from then on every step is
	// rolled back.
	EventRollback = "undo"
	// EventEnd finishes the plan.
	EventEnd = "end"
)

// PlanProgress is the body of a plan progress record.
type PlanProgress struct {
	Plan     string `json:"plan"`
	Resource string `json:"resource"`
	Fence    int64  `json:"fence"`
	Event    string `json:"event"`
	Step     int    `json:"step,omitempty"`
}

// Snapshot is the body of a snapshot record: the state before the record at
// EndOffset.
type Snapshot struct {
	EndOffset   int64                     `json:"through"`
	Resources   map[string]*ResourceState `json:"resources"`
	SeenRecords map[string]kcclock.Millis `json:"seen"`
}
