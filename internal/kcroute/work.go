package kcroute

import "github.com/kingcuprail/kingcuprail/internal/kcspeed"

// UpstreamWork is the estimated work of a request on one upstream. Times are in
// milliseconds on that upstream.
type UpstreamWork struct {
	// Slots is the number of requests that can run at the same time, Running
	// the number that do.
	Slots, Running int
	// QueuedMs is the work queued ahead of a new request.
	QueuedMs float64
	// Unreported is true if the instances that send most requests there do not tell
	// of them. AssumeMeanQueue takes QueuedMs and Running from those of the others: an
	// upstream of which nothing is known would look idle to all instances, and get
	// the requests of all of them.
	Unreported bool
	// RequestMs is the work of the request itself. It is smaller where a part
	// of the prompt is already in the cache.
	RequestMs float64
	// DistanceMs is the cost of the distance to the upstream: latency and
	// transferred bytes.
	DistanceMs float64
	// SlowdownPerRequestMs is the time that each running request adds to
	// another.
	SlowdownPerRequestMs float64
	// SlotHoldMs is the approximate time that a request holds its slot.
	SlotHoldMs float64
}

// completionMs returns the expected time until the upstream has answered.
func (w *UpstreamWork) completionMs() float64 {
	c := w.QueuedMs + w.RequestMs + w.DistanceMs + w.SlowdownPerRequestMs*float64(w.Running)
	if over := w.Running + 1 - w.Slots; over > 0 {
		// A slot is free after as many requests as over have ended.
		c += w.SlotHoldMs * float64(over) / float64(max(w.Slots, 1))
	}
	return c
}

// ApplyPace adds the time by which work takes longer on the upstream than usual.
// serviceMs is the usual time of the request itself besides RequestMs.
func (w *UpstreamWork) ApplyPace(p kcspeed.Pace, serviceMs float64) {
	work := w.completionMs() - w.DistanceMs + serviceMs
	w.DistanceMs += p.Ms(work) - work
}

// ChooseFastestUpstream returns the index of the upstream with the shortest
// expected completion time, or -1 if there is none. It suits requests of very
// different sizes: the number of requests on an upstream says little where one
// takes a hundred times as long as another.
func ChooseFastestUpstream(list []UpstreamWork) int {
	best, shortestMs := -1, 0.0
	for i := range list {
		if c := list[i].completionMs(); best < 0 || c < shortestMs {
			best, shortestMs = i, c
		}
	}
	return best
}

// unreportedShare is the part of the mean queue that is expected where nothing is
// known: enough to keep most requests where reports tell of the others, and little
// enough that some are sent to find out when the queues here are long.
const unreportedShare = 0.5

// AssumeMeanQueue sets the work of the upstreams that are not reported from that of
// the others.
func AssumeMeanQueue(list []UpstreamWork) {
	queuedMs, running, known := 0.0, 0, 0
	for i := range list {
		if w := &list[i]; !w.Unreported {
			queuedMs, running, known = queuedMs+w.QueuedMs, running+w.Running, known+1
		}
	}
	for i := range list {
		if w := &list[i]; w.Unreported && known > 0 {
			w.QueuedMs, w.Running = max(w.QueuedMs, unreportedShare*queuedMs/float64(known)), max(w.Running, running/known)
		}
	}
}
