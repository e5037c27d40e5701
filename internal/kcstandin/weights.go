package kcstandin

import (
	"context"
	"net/http"
	"sync"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// WeightStoreFaults are the limits and faults that a WeightStore injects. The
// zero value injects none.
type WeightStoreFaults struct {
	// Down makes every fetch fail.
	Down bool `json:"down" help:"Refuse every fetch."`
	// BytesPerSecond is the bandwidth that all fetches share; 0 means no limit.
	BytesPerSecond int64 `json:"bytesPerSecond" help:"Total rate of all fetches in bytes a second; 0 means no limit."`
}

// WeightStore simulates the store of model weights. All fetches share one
// bandwidth limit and run one after the other.
type WeightStore struct {
	clock kcclock.Clock
	// sizeBytes is the size of the weights by version.
	sizeBytes map[string]int64

	mu     sync.Mutex
	faults WeightStoreFaults
	// busyUntil is the time at which the last accepted fetch ends.
	busyUntil kcclock.Millis
}

// NewWeightStore returns a weight store. sizeBytes is the size of the weights by
// version.
func NewWeightStore(clock kcclock.Clock, sizeBytes map[string]int64) *WeightStore {
	return &WeightStore{clock: clock, sizeBytes: sizeBytes}
}

// SetFaults replaces the limits and faults. Running fetches still end when
// planned.
func (s *WeightStore) SetFaults(f WeightStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Fetch waits as long as a transfer of the weights of a version takes and returns
// their size in bytes.
func (s *WeightStore) Fetch(ctx context.Context, version string) (int64, error) {
	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		return 0, errs.New("weight store is down")
	}
	now, size := s.clock.Now(), s.sizeBytes[version]
	s.busyUntil = max(s.busyUntil, now)
	if rate := s.faults.BytesPerSecond; rate > 0 {
		s.busyUntil += kcclock.Millis(size * int64(kcclock.Second) / rate)
	}
	wait := s.busyUntil - now
	s.mu.Unlock()
	if wait <= 0 {
		return size, nil
	}
	select {
	case <-s.clock.After(wait):
		return size, nil
	case <-ctx.Done():
		return 0, errs.Wrap(ctx.Err())
	}
}

// Register adds the endpoints of the weight store to mux. The response to a fetch
// comes when the weights would have arrived and contains only their size.
func (s *WeightStore) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/weights/{version}", func(w http.ResponseWriter, r *http.Request) {
		size, err := s.Fetch(r.Context(), r.PathValue("version"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, struct {
			Version string `json:"version"`
			Bytes   int64  `json:"bytes"`
		}{r.PathValue("version"), size})
	})
	registerFaults(mux, "weights", s.SetFaults)
}
