package kcroute

// UpstreamWork is the estimated work of a request on one upstream. Times are in
// milliseconds on that upstream.
type UpstreamWork struct {
	// Slots is the number of requests that can run at the same time, Running
	// the number that do.
	Slots, Running int
	// QueuedMs is the work queued ahead of a new request.
	QueuedMs float64
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
