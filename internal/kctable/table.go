// Package kctable holds what an instance is told about the requests that it
// routes: routes, workspaces, services and their upstreams.
package kctable

import (
	"slices"
	"strings"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Effect says how often a request may run.
type RequestType int

// Values of Effect.
const (
	// Once requests may run at most once.
	NonIdempotent RequestType = iota
	// Repeatable requests may run any number of times.
	Idempotent
	// Stream requests answer with events. They may run again only if their
	// route says that they can be resumed.
	Streaming
)

// Share is one part of a route that is divided between services.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight int
}

// Route tells how the requests of one host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Type   RequestType
	// Shares is not empty.
	Split []WeightedService
	// TimeoutMs bounds the time until the final answer; 0 means no bound.
	TimeoutMs kcclock.Millis
	// LatencyObjectiveMs is the time within which an answer has its full value, to
	// the first event for streams.
	LatencyObjectiveMs kcclock.Millis
	// MaxEventGapMs is the longest pause between events without loss of value.
	MaxEventGapMs kcclock.Millis
	// Rank orders requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of upstreams that one request may run on; at
	// least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another upstream.
	Resumable bool
	// Models are the names that a request may be given, smallest first. Empty
	// means that the caller names the model.
	Models []string
}

// SafeToRetry reports whether a request of the route may run again after it may
// have run.
func (r *Route) SafeToRetry() bool {
	return r.Type == Idempotent || (r.Type == Streaming && r.Resumable)
}

// Service returns the service for a point from 0 to 1.
func (r *Route) SelectService(point float64) string {
	sum := 0
	for _, s := range r.Split {
		sum += max(s.Weight, 0)
	}
	left := point * float64(sum)
	for _, s := range r.Split {
		left -= float64(max(s.Weight, 0))
		if left < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Workspace is a customer.
type Workspace struct {
	Name string
	// Rank, if set, takes precedence over the one of the route.
	Priority    int
	HasPriority bool
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxHeaderBytes bounds the headers of a request; 0 means no bound.
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	// IdleTimeoutMs is how long a connection of a caller may stay idle.
	IdleTimeoutMs kcclock.Millis
}

// Table is one version of the configuration. It is not changed once built.
type Table struct {
	Version int64
	// Routes holds the routes per host, the longest prefix first.
	Routes map[string][]*Route
	// Workspaces holds the workspaces per key.
	Workspaces map[string]Workspace
	// Keyed means that routes which are not public need a key.
	KeysRequired bool
	Limits       Limits
}

// Add puts a route into the table.
func (t *Table) AddRoute(r *Route) {
	list := t.Routes[r.Host]
	n, _ := slices.BinarySearchFunc(list, len(r.Prefix), func(x *Route, size int) int { return size - len(x.Prefix) })
	t.Routes[r.Host] = slices.Insert(list, n, r)
}

// Match returns the route with the longest prefix of path.
func (t *Table) MatchRoute(host, path string) (*Route, bool) {
	for _, r := range t.Routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Upstream is a running process that serves requests of one service.
type Upstream struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Version is the version of its software.
	Version string
	Slots   int
	// Leaving upstreams get no new requests.
	Draining bool
	// Born is the time of its start in milliseconds since the Unix epoch. An
	// ID that comes back with another time is another upstream.
	StartedAtMs int64
}

// Order asks for the requests of a service to be moved to another version.
type RolloutOrder struct {
	Service     string
	Target      string
	TimeLimitMs kcclock.Millis
	// Offset is the place of the order in its log and tells two orders apart.
	Offset int64
}

// Stage is the published state of an order.
type RolloutState int

// Values of Stage.
const (
	RolloutRunning RolloutState = iota
	RolloutComplete
	RolloutReverted
)

// String returns the name of the stage.
func (s RolloutState) String() string { return [...]string{"running", "complete", "reverted"}[s] }

// Progress is how far an order has got.
type RolloutProgress struct {
	Service string
	Target  string
	State   RolloutState
	// StartedAt is the time of day at which the first instance saw the order.
	StartedAt kcclock.Millis
	// Order is the offset of the order.
	OrderOffset int64
	// Opened is true once the target takes requests. It stays so.
	TargetServing bool
	// Step is 0 while the target is tried out and 1 once it gets all requests.
	Step int
}
