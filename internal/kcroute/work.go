package kcroute

// Worker is a runner as seen by ChooseFastestUpstream. Times are in milliseconds of the
// runner.
type UpstreamWork struct {
	// Slots and Running bound and count the requests that run at the same time.
	Slots, Running int
	// QueuedMs is the work that is in front of a new request.
	QueuedMs float64
	// RequestMs is the work of the request itself at this runner, which is less
	// where a part of its prompt was read before.
	RequestMs float64
	// DistanceMs is the price of the distance: latency and bytes.
	DistanceMs float64
	// SlowdownPerRequestMs is what each running request adds to the time of another.
	SlowdownPerRequestMs float64
	// SlotHoldMs is about the time that a request keeps its place.
	SlotHoldMs float64
}

// cost is the time after which the runner would have answered.
func (w *UpstreamWork) completionMs() float64 {
	c := w.QueuedMs + w.RequestMs + w.DistanceMs + w.SlowdownPerRequestMs*float64(w.Running)
	if over := w.Running + 1 - w.Slots; over > 0 {
		// A place is free once over requests have ended.
		c += w.SlotHoldMs * float64(over) / float64(max(w.Slots, 1))
	}
	return c
}

// ChooseFastestUpstream returns the runner that answers first, or -1 if there is none. It
// answers loads of unequal requests: the number of requests at a runner says
// little where one of them takes a hundred times as long as another.
func ChooseFastestUpstream(list []UpstreamWork) int {
	best, least := -1, 0.0
	for i := range list {
		if c := list[i].completionMs(); best < 0 || c < least {
			best, least = i, c
		}
	}
	return best
}
