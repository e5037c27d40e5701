package kcadmit

import (
	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Reasons of tickets, as in logs and metrics.
const (
	ReasonCalm      = "calm"
	ReasonStale     = "staleRoom"
	ReasonPace      = "withinPace"
	ReasonWaited    = "waited"
	ReasonShortage  = "shortage"
	ReasonDeadline  = "deadlineTooClose"
	ReasonEarly     = "returnedEarly"
	ReasonQueueLong = "queueTooLong"
	ReasonQueueFull = "queueFull"
	ReasonExpired   = "waitedTooLong"
	ReasonStopping  = "stopping"
	ReasonLeft      = "callerLeft"
)

// Request is the information about a request that is available to admission.
type Request struct {
	Workspace string
	// Kind is the route.
	Kind string
	// Urgency is 0 for the most urgent requests.
	Urgency int
	// CostMs is the expected slot time or, if Prompt is set, the time in which an
	// engine prefills the prompt.
	CostMs float64
	Prompt bool
	// ObjectiveAt is the time by which the request has its full value, DeadlineAt
	// the time after which a response has none.
	ObjectiveAt, DeadlineAt kcclock.Millis
	// ObjectiveMs is the latency objective of the kind, negative if it has none. 0
	// means the time until ObjectiveAt.
	ObjectiveMs kcclock.Millis
	// PatienceUntil is the caller's own deadline, which can be after DeadlineAt. 0
	// means DeadlineAt.
	PatienceUntil kcclock.Millis
	Bytes         int64
	// ReturnOf is the identity of the operation, which an earlier refusal of this
	// instance has in common with it. It is empty where callers name none: the id of
	// a request on the users' platform is another one for each try.
	ReturnOf string
	// Again is true if the request was admitted before and an upstream rejected it.
	Again bool
}

// Decision says what happens to a request.
type Decision int

// Values of Decision.
const (
	Admitted Decision = iota
	Held
	Refused
)

// String returns the name that is written to logs.
func (d Decision) String() string { return [...]string{"admitted", "held", "refused"}[d] }

// Ticket is the decision on a request and its inputs.
type Ticket struct {
	ID       uint64
	Decision Decision
	Reason   string
	// RetryAfterMs is when a refused caller should return.
	RetryAfterMs kcclock.Millis
	// WaitedMs is how long the request was held.
	WaitedMs kcclock.Millis
	// Late is true if the latency objective could not be met.
	Late bool
	// Pressure, Pace, Share and Waiting are the inputs of the decision, with Room.
	Pressure, Pace, Share float64
	Waiting               int
	Room                  kcroom.Room
	entry                 *entry
}
