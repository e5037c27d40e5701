package kcstandin

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// RaterFaults are the faults that a Rater injects. The zero value injects none.
type RaterFaults struct {
	// Down makes every request fail with 503.
	Down bool `json:"down" help:"Refuse every request with 503."`
	// MeanDelayMs is the mean time from a request to its rating. The time of one
	// rating is between half and one and a half of it.
	MeanDelayMs kcclock.Millis `json:"delayMs" name:"delay-ms" help:"Mean time until a rating can be read, in milliseconds."`
	// RatingsPerSecond limits the rate of accepted requests. Requests above it fail
	// with 429. 0 means no limit.
	RatingsPerSecond float64 `json:"perSecond" name:"per-second" help:"Accepted ratings a second; others get 429. 0 means no limit."`
}

// RatingRequest requests the rating of one response.
type RatingRequest struct {
	RequestID string `json:"requestId"`
	Version   string `json:"version"`
	Class     string `json:"class,omitempty"`
}

// Rating is the rating of one response.
type Rating struct {
	// Offset is the sequence number of the rating. Ratings are numbered in the order
	// in which they become ready.
	Offset int64 `json:"offset"`
	RatingRequest
	// Good reports whether the response meets the quality target.
	Good bool `json:"good"`
	// RatedAt is the time at which the rating becomes ready.
	RatedAt kcclock.Millis `json:"ratedAtMs"`
}

// maxKeptRatings is the number of most recent ratings that the service keeps.
const maxKeptRatings = 100_000

// defaultQuality is the share of good responses of a version without a quality.
const defaultQuality = 0.9

// RaterOptions configures a Rater.
type RaterOptions struct {
	Clock kcclock.Clock
	Seed  uint64
	// Quality is the share of good responses, from 0 to 1, by version.
	Quality map[string]float64
}

// Rater is a rating service that draws ratings at random by the quality of the
// version. Whether a rating is good depends only on the seed, the request id, the
// version and its quality, so a run can be repeated.
type Rater struct {
	opts RaterOptions

	mu          sync.Mutex
	faults      RaterFaults
	ratingLimit limiter
	rng         *rand.Rand
	quality     map[string]float64
	pending     []Rating
	ready       []Rating
	nextOffset  int64
}

// NewRater returns a rater without ratings.
func NewRater(opts RaterOptions) *Rater {
	r := &Rater{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), quality: make(map[string]float64)}
	for version, q := range opts.Quality {
		r.quality[version] = q
	}
	return r
}

// SetFaults replaces the faults.
func (r *Rater) SetFaults(f RaterFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// SetQuality sets the share of good responses of a version for later requests.
func (r *Rater) SetQuality(version string, quality float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quality[version] = quality
}

// queueRating queues a rating and returns the HTTP status of the response.
func (r *Rater) queueRating(req RatingRequest) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock.Now()
	if r.faults.Down {
		return http.StatusServiceUnavailable
	}
	if !r.ratingLimit.allow(now, r.faults.RatingsPerSecond) {
		return http.StatusTooManyRequests
	}
	quality, ok := r.quality[req.Version]
	if !ok {
		quality = defaultQuality
	}
	h := xxhash.NewWithSeed(r.opts.Seed)
	_, _ = h.WriteString(req.RequestID + "\n" + req.Version)
	delay := float64(r.faults.MeanDelayMs) * (0.5 + r.rng.Float64())
	r.pending = append(r.pending, Rating{
		RatingRequest: req, Good: float64(h.Sum64())/math.MaxUint64 < quality, RatedAt: now + kcclock.Millis(delay),
	})
	return http.StatusAccepted
}

// Ratings returns at most limit ready ratings that start at offset from, and the
// offset of the next rating to become ready.
func (r *Rater) Ratings(from int64, limit int) (ratings []Rating, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock.Now()
	slices.SortStableFunc(r.pending, func(a, b Rating) int { return cmp.Compare(a.RatedAt, b.RatedAt) })
	n := 0
	for ; n < len(r.pending) && r.pending[n].RatedAt <= now; n++ {
		rating := r.pending[n]
		rating.Offset = r.nextOffset
		r.nextOffset++
		r.ready = append(r.ready, rating)
	}
	r.pending = slices.Delete(r.pending, 0, n)
	r.ready = slices.Delete(r.ready, 0, max(len(r.ready)-maxKeptRatings, 0))
	first := r.nextOffset - int64(len(r.ready))
	start := int(min(max(from-first, 0), int64(len(r.ready))))
	return slices.Clone(r.ready[start:min(start+limit, len(r.ready))]), r.nextOffset
}

// Register adds the endpoints of the rating service to mux.
func (r *Rater) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/ratings", func(w http.ResponseWriter, req *http.Request) {
		var body RatingRequest
		if !decodeJSON(w, req, &body) {
			return
		}
		status := r.queueRating(body)
		if status == http.StatusTooManyRequests {
			w.Header().Set("Retry-After", "1")
		}
		w.WriteHeader(status)
	})
	mux.HandleFunc("GET /v1/ratings", r.serveRatings)
	registerFaults(mux, "rater", r.SetFaults)
	mux.HandleFunc("PUT /standin/rater/quality/{version}", func(w http.ResponseWriter, req *http.Request) {
		var body struct {
			Quality float64 `json:"quality"`
		}
		if decodeJSON(w, req, &body) {
			r.SetQuality(req.PathValue("version"), body.Quality)
		}
	})
}

func (r *Rater) serveRatings(w http.ResponseWriter, req *http.Request) {
	from, err := strconv.ParseInt(cmp.Or(req.URL.Query().Get("from"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	down := r.faults.Down
	r.mu.Unlock()
	if down {
		http.Error(w, "rating service is down", http.StatusServiceUnavailable)
		return
	}
	ratings, end := r.Ratings(from, 1000)
	writeJSON(w, struct {
		Ratings   []Rating `json:"ratings"`
		EndOffset int64    `json:"endOffset"`
	}{ratings, end})
}

// registerFaults adds the control endpoint that replaces the faults of a
// stand-in.
func registerFaults[F any](mux *http.ServeMux, name string, set func(F)) {
	mux.HandleFunc("PUT "+controlPrefix+name+"/faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		if decodeJSON(w, r, &f) {
			set(f)
		}
	})
}
