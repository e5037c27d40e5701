package kcroute

// Worker is a runner as seen by PlaceByWork. Times are in milliseconds of the
// runner.
type Worker struct {
	// Slots and Running bound and count the requests that run at the same time.
	Slots, Running int
	// WaitMs is the work that is in front of a new request.
	WaitMs float64
	// OwnMs is the work of the request itself at this runner, which is less
	// where a part of its prompt was read before.
	OwnMs float64
	// FarMs is the price of the distance: latency and bytes.
	FarMs float64
	// PerRequestMs is what each running request adds to the time of another.
	PerRequestMs float64
	// HoldMs is about the time that a request keeps its place.
	HoldMs float64
}

// cost is the time after which the runner would have answered.
func (w *Worker) cost() float64 {
	c := w.WaitMs + w.OwnMs + w.FarMs + w.PerRequestMs*float64(w.Running)
	if over := w.Running + 1 - w.Slots; over > 0 {
		// A place is free once over requests have ended.
		c += w.HoldMs * float64(over) / float64(max(w.Slots, 1))
	}
	return c
}

// PlaceByWork returns the runner that answers first, or -1 if there is none. It
// answers loads of unequal requests: the number of requests at a runner says
// little where one of them takes a hundred times as long as another.
func PlaceByWork(list []Worker) int {
	best, least := -1, 0.0
	for i := range list {
		if c := list[i].cost(); best < 0 || c < least {
			best, least = i, c
		}
	}
	return best
}
