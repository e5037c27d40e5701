// Package kctable holds the routing configuration of an instance: routes,
// workspaces, services and their upstreams, and rollout orders.
package kctable

import (
	"slices"
	"strings"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// RequestType says whether a request may be executed more than once.
type RequestType int

// Values of RequestType.
const (
	// NonIdempotent requests may be executed at most once.
	NonIdempotent RequestType = iota
	// Idempotent requests may be executed any number of times.
	Idempotent
	// Streaming requests are answered with a stream of events. They may be
	// executed again only if their route is resumable.
	Streaming
)

// WeightedService is a service that gets part of the requests of a route.
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
	// Split divides the requests between services. It is not empty.
	Split []WeightedService
	// TimeoutMs bounds the time until the final answer; 0 means no bound.
	TimeoutMs kcclock.Millis
	// LatencyObjectiveMs is the time within which an answer has its full value.
	// For streams it is the time to the first event.
	LatencyObjectiveMs kcclock.Millis
	// MaxEventGapMs is the longest time between events of a stream at which the
	// stream keeps its full value.
	MaxEventGapMs kcclock.Millis
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of upstreams that one request may be sent to, at
	// least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another upstream.
	Resumable bool
	// Regions are the regions whose upstreams may run requests of the route.
	Regions Regions
	// Models are the models that a request may be sent to, smallest first. If it
	// is empty, the caller names the model.
	Models []string
}

// SafeToRetry reports whether a request of the route may be sent again after an
// attempt that may have been executed.
func (r *Route) SafeToRetry() bool {
	return r.Type == Idempotent || (r.Type == Streaming && r.Resumable)
}

// SelectService returns the service for a point from 0 to 1 in the weighted
// split.
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
	// Priority, if HasPriority is set, takes precedence over that of the route.
	Priority    int
	HasPriority bool
	// Regions are the regions whose upstreams may run requests of the workspace.
	Regions Regions
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxHeaderBytes bounds the headers of a request; 0 means no bound.
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	// IdleTimeoutMs is how long a connection of a caller may stay idle.
	IdleTimeoutMs kcclock.Millis
}

// Table is one version of the configuration. It is immutable once built.
type Table struct {
	Version int64
	// Routes holds the routes by host, the longest prefix first.
	Routes map[string][]*Route
	// Workspaces holds the workspaces by API key.
	Workspaces map[string]Workspace
	// KeysRequired means that all routes that are not public require a key.
	KeysRequired bool
	Limits       Limits
	// IgnoredValues is the number of values of the configuration that make no sense.
	IgnoredValues int
	// ColdStarts holds what is known of cold upstreams, by service.
	ColdStarts map[string]ColdStart
	// HealthPaths holds the path of the health check by service.
	HealthPaths map[string]string
	// EngineTokens holds the memory of an upstream in tokens by service, for services
	// whose upstreams state it.
	EngineTokens map[string]int
}

// AddRoute adds a route to the table.
func (t *Table) AddRoute(r *Route) {
	list := t.Routes[r.Host]
	n, _ := slices.BinarySearchFunc(list, len(r.Prefix), func(x *Route, size int) int { return size - len(x.Prefix) })
	t.Routes[r.Host] = slices.Insert(list, n, r)
}

// MatchRoute returns the route of host with the longest prefix of path.
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
	// Draining upstreams get no new requests.
	Draining bool
	// IgnoredValues is the number of values of the entry that make no sense.
	IgnoredValues uint8
	// StartedAtMs is the start time in milliseconds since the Unix epoch. An ID
	// that comes back with another start time is a different upstream.
	StartedAtMs int64
	// Seq grows with the entries of one process. It is 0 if the entry has none.
	Seq int64
	// ColdLeftMs is how long the upstream stays cold, as its entry says.
	ColdLeftMs kcclock.Millis
}

// Process identifies one process of an upstream. A restarted one may have the same id or
// the same address.
type Process struct {
	ID          string
	StartedAtMs int64
}

// Process returns the process that has written the entry.
func (u Upstream) Process() Process { return Process{u.ID, u.StartedAtMs} }

// ColdStart says how upstreams of a service start.
type ColdStart struct {
	// ForMs is how long an upstream is cold after its start, 0 if it is not.
	ForMs kcclock.Millis
	// PerSecond is the number of requests a second that a cold upstream can take, 0
	// if there is no limit.
	PerSecond float64
}
