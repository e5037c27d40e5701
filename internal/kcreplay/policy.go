package kcreplay

// versionRule tells how a policy chooses the version.
type versionRule int

const (
	byCost versionRule = iota
	largest
	cheapest
	anyVersion
)

// placeRule tells how a policy chooses the runner.
type placeRule int

const (
	byPrefix placeRule = iota
	leastLoad
	randomly
	inTurn
)

// Policy is a way to decide: that of the router, or a baseline.
type Policy struct {
	Name    string
	version versionRule
	place   placeRule
	// cascade, queue, limits and hedge switch on what the baselines lack.
	cascade, queue, limits, hedge bool
	// sequential selects the sequential test; else the fixed canary.
	sequential bool
}

// RouterPolicy is the policy of the router.
func RouterPolicy() Policy {
	return Policy{Name: "router", cascade: true, queue: true, limits: true, hedge: true, sequential: true}
}

// BaselinePolicies returns the policies that the router is compared with. All but the
// last two send each request at once to one version and have no limits.
func BaselinePolicies() []Policy {
	noCascade, fixedCanary := RouterPolicy(), RouterPolicy()
	noCascade.Name, noCascade.cascade = "no cascade", false
	fixedCanary.Name, fixedCanary.sequential = "fixed canary", false
	return []Policy{
		{Name: "always largest", version: largest, place: leastLoad},
		{Name: "always cheapest", version: cheapest, place: leastLoad},
		{Name: "random", version: anyVersion, place: randomly},
		{Name: "round robin", version: anyVersion, place: inTurn},
		{Name: "least load", version: anyVersion, place: leastLoad},
		noCascade,
		fixedCanary,
	}
}
