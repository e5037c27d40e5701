package kcreplay

// versionRule tells how a policy chooses the version.
type versionRule int

const (
	versionByCost versionRule = iota
	versionLargest
	versionCheapest
	versionAny
)

// runnerRule tells how a policy chooses the runner.
type runnerRule int

const (
	runnerByPrefix runnerRule = iota
	runnerLeastLoad
	runnerRandom
	runnerRoundRobin
)

// Policy is a way to decide: that of the router, or a baseline.
type Policy struct {
	Name        string
	versionRule versionRule
	runnerRule  runnerRule
	// cascade, queue, limits and hedge switch on what the baselines lack.
	cascade, queue, limits, hedge bool
	// sequential selects the sequential test; else the fixed canary.
	sequentialTest bool
}

// RouterPolicy is the policy of the router.
func RouterPolicy() Policy {
	return Policy{Name: "router", cascade: true, queue: true, limits: true, hedge: true, sequentialTest: true}
}

// BaselinePolicies returns the policies that the router is compared with. All but the
// last two send each request at once to one version and have no limits.
func BaselinePolicies() []Policy {
	noCascade, fixedCanary := RouterPolicy(), RouterPolicy()
	noCascade.Name, noCascade.cascade = "no cascade", false
	fixedCanary.Name, fixedCanary.sequentialTest = "fixed canary", false
	return []Policy{
		{Name: "always largest", versionRule: versionLargest, runnerRule: runnerLeastLoad},
		{Name: "always cheapest", versionRule: versionCheapest, runnerRule: runnerLeastLoad},
		{Name: "random", versionRule: versionAny, runnerRule: runnerRandom},
		{Name: "round robin", versionRule: versionAny, runnerRule: runnerRoundRobin},
		{Name: "least load", versionRule: versionAny, runnerRule: runnerLeastLoad},
		noCascade,
		fixedCanary,
	}
}
