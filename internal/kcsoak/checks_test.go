package kcsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

// recovered waits until each instance answers each kind of request.
func (d *day) recovered(when string) {
	began := time.Now()
	for n, i := range d.all {
		c := kcplatformtest.NewCaller(patienceMs)
		for try := 0; ; try++ {
			missing := ""
			for _, kind := range []string{kcplatformtest.KindNonIdempotent, kcplatformtest.KindIdempotent, kcplatformtest.KindStreaming} {
				a := c.Send(d.ctx, i.name, i.front, kind, "long", fmt.Sprintf("%d-r%d-%d-%s-%s", d.seed, n, try, kind, when[:5]))
				if d.note(a); a.Status != http.StatusOK || a.Err != nil {
					missing = fmt.Sprintf("%s: status %d, %v", kind, a.Status, a.Err)
				}
			}
			if missing == "" {
				break
			}
			if time.Since(began) > recoverMs.Duration() {
				d.errorf("%s does not serve %s within %d ms: %s", i.name, when, recoverMs, missing)
				break
			}
			_ = kcclock.Wait(d.ctx, d.clock, 20)
		}
		c.Close()
	}
}

// probe asks each instance for the newest route until the context ends.
func (d *day) probe(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		for _, i := range d.all {
			d.mu.Lock()
			version, changed, struck := d.version, d.changedAt, d.storeStruck
			d.mu.Unlock()
			c := kcplatformtest.NewCaller(patienceMs)
			a := c.Send(d.ctx, i.name, i.front, fmt.Sprintf("v%d", version), "long", fmt.Sprintf("%d-p%d-%s", d.seed, n, i.name))
			c.Close()
			since := changed.Add(-contactMs.Duration())
			inForce := a.Start.Sub(changed) > applyMs.Duration()
			d.mu.Lock()
			newest := d.version == version
			d.mu.Unlock()
			if a.Status == http.StatusNotFound && newest && inForce && struck.Before(since) && !i.struck(since, a.End) {
				d.errorf("%s does not know version %d after %v, allowed %d ms", i.name, version, a.Start.Sub(changed), applyMs)
			}
		}
		_ = kcclock.Wait(ctx, d.clock, 100)
	}
}

// promises are the statuses that say that a request has not run.
var promises = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	http.StatusUnauthorized, http.StatusNotFound,
}

// known are the statuses that callers may see.
var known = append([]int{
	0, http.StatusOK, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout,
}, promises...)

// judge compares what callers got with what upstreams ran.
func (d *day) judge() {
	runs := make(map[string]int)
	for _, r := range d.runners {
		for id, n := range r.RunCounts() {
			runs[id] += n
		}
		for _, s := range r.UnexpectedRequests() {
			d.errorf("an upstream got %s", s)
		}
	}
	byStatus := make(map[int]int)
	for _, a := range d.attempts {
		byStatus[a.Status]++
		for _, fault := range d.faultsOf(a, runs[a.ID]) {
			d.errorf("%s: request %s (%s) at %s, %s after the start of the log: status %d, %d runs, %v",
				fault, a.ID, a.Kind, a.Instance, a.Start.Format("15:04:05.000"), a.Status, runs[a.ID], a.Err)
		}
	}
	for _, i := range d.all {
		if out := i.Output(); strings.Contains(out, "panic:") || strings.Contains(out, "fatal error:") {
			d.errorf("%s crashed:\n%s", i.name, i.Tail())
		}
	}
	d.t.Logf("seed %d: %d requests by status: %v", d.seed, len(d.attempts), byStatus)
	if byStatus[http.StatusOK] < len(d.attempts)/4 {
		d.errorf("only %d of %d requests were served", byStatus[http.StatusOK], len(d.attempts))
	}
}

// faultsOf returns the promises that the outcome of a request breaks.
func (d *day) faultsOf(a kcplatformtest.Attempt, runs int) (faults []string) {
	i := d.all[slices.IndexFunc(d.all, func(i *instance) bool { return i.name == a.Instance })]
	broken := func(when bool, what string) {
		if when {
			faults = append(faults, what)
		}
	}
	broken(a.Kind == kcplatformtest.KindNonIdempotent && runs > 1, "ran twice")
	broken(slices.Contains(promises, a.Status) && runs > 0, "said not to have run")
	broken(!slices.Contains(known, a.Status), "unknown status")
	broken(a.Mismatch != "", "wrong answer, "+a.Mismatch)
	broken(a.Status == http.StatusOK && runs == 0, "answered without a run")
	broken(a.Status == http.StatusNotFound, "unknown route")
	withdrawn := a.Key == "short" && !d.revokedAt.IsZero()
	broken(a.Status == http.StatusUnauthorized && (!withdrawn || a.End.Before(d.revokedAt)), "valid key refused")
	broken(a.Status == http.StatusOK && withdrawn && a.Start.After(d.revokedAt.Add(revokeMs.Duration())), "withdrawn key accepted")
	if a.Err == nil || i.struck(a.Start, a.End, killed, paused) {
		return faults
	}
	leaving := i.struck(a.Start, a.End, stopped)
	// An instance that stops may close a connection whose request it has not
	// read. A stream that cannot go on is cut off.
	broken(a.NoResponse() && (!leaving || runs > 0), "no answer")
	broken(!a.NoResponse() && a.Kind != kcplatformtest.KindStreaming, "answer cut off")
	return faults
}
