package kccapacity

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const (
	ofClaimRate = "instances"
	// claimsPerSecond is the rate of one shard at the target: 2% of 11,000
	// requests are assumed not to be idempotent, in 8 shards.
	claimsPerSecond = 27
	claimSeconds    = 8
	claimBatchMs    = 5
	claimShards     = 8
	// appendBurst is that of an instance: one append for each shard of claims
	// and bills.
	appendBurst = 16
)

// measureClaims measures the latency of claims at the owner of one shard, whose
// appends are bounded by its part of the append budget, and how many claims
// share an append. The claims come evenly.
func measureClaims(ctx context.Context, r *Report) error {
	for _, instances := range peerSizes {
		log := &countingLog{
			Log:     kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}}),
			streams: make(map[string]traffic),
		}
		claimer := kcclaim.NewClaimer(kcclaim.ClaimerOptions{
			Log: log, Clock: kcclock.System{}, Instance: instanceName(0), Shards: 1, BatchDelayMs: claimBatchMs,
			Budget: kclog.NewBudget(kcclock.System{}, appendBurst, func() float64 {
				return kcclaim.AppendsPerSecond(instances, 1, claimShards)
			}),
		})
		times, lost := claimEvenly(ctx, claimer)
		size, last := float64(instances), len(times)-1
		r.add("claims.owner.latency", ofClaimRate, "ms", Point{
			Size: size, Value: times[last/2], Min: times[last/20], Max: times[last*19/20],
		})
		sent := log.traffic("claims")
		r.add("claims.owner.batch", ofClaimRate, Count, one(size, float64(sent.records)/float64(max(sent.appends, 1))))
		r.add("claims.owner.lost", ofClaimRate, Count, one(size, float64(lost)))
	}
	return nil
}

// claimEvenly returns the latencies in milliseconds in ascending order and the
// number of claims that were not won.
func claimEvenly(ctx context.Context, claimer *kcclaim.Claimer) (times []float64, lost int) {
	clock := kcclock.System{}
	start := clock.Now()
	var mu sync.Mutex
	var running sync.WaitGroup
	for n := range claimsPerSecond * claimSeconds {
		<-clock.After(start + kcclock.Second*kcclock.Millis(n)/claimsPerSecond - clock.Now())
		running.Go(func() {
			began := time.Now()
			d := claimer.Acquire(ctx, kcclaim.Claim{
				Key: kcclaim.Key{
					Workspace: workspaceName(0), Service: "orders", Operation: "place", IdempotencyKey: fmt.Sprintf("key-%08d", n),
				},
				Attempt: fmt.Sprintf("attempt-%026d", n), Fingerprint: strings.Repeat("f", 64), Instance: instanceName(0),
				RequestID: fmt.Sprintf("request-%026d", n), Price: 100, Deadline: clock.Now() + 30*kcclock.Second,
			})
			mu.Lock()
			defer mu.Unlock()
			times = append(times, float64(time.Since(began).Microseconds())/1000)
			if d.Verdict != kcclaim.Acquired {
				lost++
			}
		})
	}
	running.Wait()
	slices.Sort(times)
	return times, lost
}
