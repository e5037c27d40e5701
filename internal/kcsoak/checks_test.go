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
func (d *soakRun) checkAllInstancesServe(phase string) {
	waitStart := time.Now()
	for n, i := range d.instances {
		c := kcplatformtest.NewCaller(callerTimeoutMs)
		for try := 0; ; try++ {
			missing := ""
			for _, kind := range []string{kcplatformtest.KindOnce, kcplatformtest.KindLookup, kcplatformtest.KindStream} {
				a := c.Ask(d.ctx, i.name, i.frontAddr, kind, "long", fmt.Sprintf("%d-r%d-%d-%s-%s", d.seed, n, try, kind, phase[:5]))
				if d.recordAttempt(a); a.Status != http.StatusOK || a.Err != nil {
					missing = fmt.Sprintf("%s: status %d, %v", kind, a.Status, a.Err)
				}
			}
			if missing == "" {
				break
			}
			if time.Since(waitStart) > recoveryMs.Duration() {
				d.errorf("%s does not serve %s within %d ms: %s", i.name, phase, recoveryMs, missing)
				break
			}
			_ = kcclock.Wait(d.ctx, d.clock, 20)
		}
		c.Leave()
	}
}

// probe asks each instance for the newest route until the context ends.
func (d *soakRun) probeNewestRoute(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		for _, i := range d.instances {
			d.mu.Lock()
			version, changedAt, lastStoreFaultEnd := d.configVersion, d.configChangedAt, d.storeFaultEnd
			d.mu.Unlock()
			c := kcplatformtest.NewCaller(callerTimeoutMs)
			a := c.Ask(d.ctx, i.name, i.frontAddr, fmt.Sprintf("v%d", version), "long", fmt.Sprintf("%d-p%d-%s", d.seed, n, i.name))
			c.Leave()
			faultFreeSince := changedAt.Add(-reconnectMs.Duration())
			applyTimeOver := a.Start.Sub(changedAt) > configApplyMs.Duration()
			d.mu.Lock()
			stillNewest := d.configVersion == version
			d.mu.Unlock()
			if a.Status == http.StatusNotFound && stillNewest && applyTimeOver &&
				lastStoreFaultEnd.Before(faultFreeSince) && !i.hadFault(faultFreeSince, a.End) {
				d.errorf("%s does not know version %d after %v, allowed %d ms", i.name, version, a.Start.Sub(changedAt), configApplyMs)
			}
		}
		_ = kcclock.Wait(ctx, d.clock, 100)
	}
}

// promises are the statuses that say that a request has not run.
var notRunStatuses = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	http.StatusUnauthorized, http.StatusNotFound,
}

// known are the statuses that callers may see.
var allowedStatuses = append([]int{
	0, http.StatusOK, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout,
}, notRunStatuses...)

// judge compares what callers got with what upstreams ran.
func (d *soakRun) checkAttempts() {
	runs := make(map[string]int)
	for _, r := range d.runners {
		for id, n := range r.Runs() {
			runs[id] += n
		}
		for _, s := range r.Strange() {
			d.errorf("an upstream got %s", s)
		}
	}
	byStatus := make(map[int]int)
	for _, a := range d.attempts {
		byStatus[a.Status]++
		for _, violation := range d.violationsOf(a, runs[a.ID]) {
			d.errorf("%s: request %s (%s) at %s, %s after the start of the log: status %d, %d runs, %v",
				violation, a.ID, a.Kind, a.Instance, a.Start.Format("15:04:05.000"), a.Status, runs[a.ID], a.Err)
		}
	}
	for _, i := range d.instances {
		if out := i.Output(); strings.Contains(out, "panic:") || strings.Contains(out, "fatal error:") {
			d.errorf("%s crashed:\n%s", i.name, i.Tail())
		}
	}
	d.t.Logf("seed %d: %d requests by status: %v", d.seed, len(d.attempts), byStatus)
	if byStatus[http.StatusOK] < len(d.attempts)/4 {
		d.errorf("only %d of %d requests were served", byStatus[http.StatusOK], len(d.attempts))
	}
}

// violationsOf returns the promises that the outcome of a request breaks.
func (d *soakRun) violationsOf(a kcplatformtest.Attempt, runs int) (violations []string) {
	i := d.instances[slices.IndexFunc(d.instances, func(i *instance) bool { return i.name == a.Instance })]
	violatedIf := func(condition bool, violation string) {
		if condition {
			violations = append(violations, violation)
		}
	}
	violatedIf(a.Kind == kcplatformtest.KindOnce && runs > 1, "ran twice")
	violatedIf(slices.Contains(notRunStatuses, a.Status) && runs > 0, "said not to have run")
	violatedIf(!slices.Contains(allowedStatuses, a.Status), "unknown status")
	violatedIf(a.Wrong != "", "wrong answer, "+a.Wrong)
	violatedIf(a.Status == http.StatusOK && runs == 0, "answered without a run")
	violatedIf(a.Status == http.StatusNotFound, "unknown route")
	usesWithdrawnKey := a.Key == "short" && !d.keyRevokedAt.IsZero()
	violatedIf(a.Status == http.StatusUnauthorized && (!usesWithdrawnKey || a.End.Before(d.keyRevokedAt)), "valid key refused")
	violatedIf(a.Status == http.StatusOK && usesWithdrawnKey && a.Start.After(d.keyRevokedAt.Add(keyRevokeMs.Duration())),
		"withdrawn key accepted")
	if a.Err == nil || i.hadFault(a.Start, a.End, faultKilled, faultPaused) {
		return violations
	}
	instanceStopping := i.hadFault(a.Start, a.End, faultStopped)
	// An instance that stops may close a connection whose request it has not
	// read. A stream that cannot go on is cut off.
	violatedIf(a.Unread() && (!instanceStopping || runs > 0), "no answer")
	violatedIf(!a.Unread() && a.Kind != kcplatformtest.KindStream, "answer cut off")
	return violations
}
