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
	variableInstances = "instances"
	// claimsPerSecondPerShard is the rate of one shard at the target load: 11,000
	// requests per second, of which 2% are assumed not to be idempotent, spread
	// over 8 shards.
	claimsPerSecondPerShard = 27
	claimLoadSeconds        = 8
	claimBatchDelayMs       = 5
	claimShardCount         = 8
	// instanceAppendBurst is the burst of the append budget of an instance: one
	// append for each shard of claims and of bills.
	instanceAppendBurst = 16
)

// measureClaims measures the latency of claims at the owner of one shard and
// the number of claims per append. The appends of the owner are limited to its
// share of the append budget. Claims arrive at a constant rate.
func measureClaims(ctx context.Context, r *Report) error {
	for _, instances := range instanceCounts {
		log := &countingLog{
			Log:     kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.System{}}),
			streams: make(map[string]streamTraffic),
		}
		claimer := kcclaim.NewClaimer(kcclaim.ClaimerOptions{
			Log: log, Clock: kcclock.System{}, Instance: instanceName(0), Shards: 1, BatchDelayMs: claimBatchDelayMs,
			Budget: kclog.NewBudget(kcclock.System{}, instanceAppendBurst, func() float64 {
				return kcclaim.AppendsPerSecond(instances, 1, claimShardCount)
			}),
		})
		latenciesMs, lost := acquireClaimsAtFixedRate(ctx, claimer)
		size, last := float64(instances), len(latenciesMs)-1
		r.addPoint("claims.owner.latency", variableInstances, "ms", Point{
			Size: size, Value: latenciesMs[last/2], Min: latenciesMs[last/20], Max: latenciesMs[last*19/20],
		})
		claimTraffic := log.trafficOf("claims")
		r.addPoint("claims.owner.batch", variableInstances, UnitCount,
			singlePoint(size, float64(claimTraffic.records)/float64(max(claimTraffic.appends, 1))))
		r.addPoint("claims.owner.lost", variableInstances, UnitCount, singlePoint(size, float64(lost)))
	}
	return nil
}

// acquireClaimsAtFixedRate sends claims at a constant rate. It returns their
// latencies in ascending order and the number of claims that were not acquired.
func acquireClaimsAtFixedRate(ctx context.Context, claimer *kcclaim.Claimer) (latenciesMs []float64, lost int) {
	clock := kcclock.System{}
	start := clock.Now()
	var mu sync.Mutex
	var running sync.WaitGroup
	for n := range claimsPerSecondPerShard * claimLoadSeconds {
		<-clock.After(start + kcclock.Second*kcclock.Millis(n)/claimsPerSecondPerShard - clock.Now())
		running.Go(func() {
			began := time.Now()
			decision := claimer.Acquire(ctx, kcclaim.Claim{
				Key: kcclaim.Key{
					Workspace: workspaceName(0), Service: "orders", Operation: "place", IdempotencyKey: fmt.Sprintf("key-%08d", n),
				},
				Attempt: fmt.Sprintf("attempt-%026d", n), Fingerprint: strings.Repeat("f", 64), Instance: instanceName(0),
				RequestID: fmt.Sprintf("request-%026d", n), Price: 100, Deadline: clock.Now() + 30*kcclock.Second,
			})
			mu.Lock()
			defer mu.Unlock()
			latenciesMs = append(latenciesMs, float64(time.Since(began).Microseconds())/1000)
			if decision.Verdict != kcclaim.Acquired {
				lost++
			}
		})
	}
	running.Wait()
	slices.Sort(latenciesMs)
	return latenciesMs, lost
}
