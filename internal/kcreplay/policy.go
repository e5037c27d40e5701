package kcreplay

// versionRule is the rule by which a policy chooses the version.
type versionRule int

const (
	versionByCost versionRule = iota
	versionLargest
	versionCheapest
	versionAny
)

// runnerRule is the rule by which a policy chooses the runner.
type runnerRule int

const (
	runnerByPrefix runnerRule = iota
	runnerLeastLoad
	runnerRandom
	runnerRoundRobin
)

// Policy selects the decision rules of a run: those of the router or of a
// baseline.
type Policy struct {
	Name        string
	versionRule versionRule
	runnerRule  runnerRule
	// cascade, queue, limits and hedge enable features of the router that the
	// simple baselines lack. limits also enables the retry budget.
	cascade, queue, limits, hedge bool
	// sequentialTest evaluates rollouts by the sequential test instead of the
	// fixed canary.
	sequentialTest bool
}

// RouterPolicy returns the policy of the router.
func RouterPolicy() Policy {
	return Policy{Name: "router", cascade: true, queue: true, limits: true, hedge: true, sequentialTest: true}
}

// BaselinePolicies returns the policies that the router is compared with. All but
// the last two send each request immediately to a single version and have no
// limits.
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
