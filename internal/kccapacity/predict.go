package kccapacity

import (
	"fmt"
	"strings"
)

// DeploymentSize holds the size of a deployment and the rates of its control
// traffic.
type DeploymentSize struct {
	Instances int
	// Members is the length of the member list, entry instances included.
	Members int
	// ConfigKeys is the number of keys of the rules.
	ConfigKeys int
	// EvidenceWindows and DemandWindows are the numbers of windows in one digest.
	EvidenceWindows, DemandWindows int
	// ListChangesPerSecond and ConfigChangesPerSecond are rates of the whole
	// deployment.
	ListChangesPerSecond, ConfigChangesPerSecond float64
	// ConfigReadsPerSecond and ListReadsPerSecond are rates of one instance.
	ConfigReadsPerSecond, ListReadsPerSecond float64
}

// TargetSize returns the target size of docs/design.md. The number of workspaces
// and the rate of list changes are not stated there. The assumptions are 500
// workspaces, of which 10 have requests at one instance at a time, 3 classes, and
// these list changes per day: three for each of 491 failed or replaced instances
// and for each of as many runners, and two for each of the 3,200 runners that a
// daily rollout reloads.
func TargetSize() DeploymentSize {
	const day = 24 * 60 * 60
	return DeploymentSize{
		Instances: 380, Members: 3580, ConfigKeys: 520, EvidenceWindows: 3 * targetVersionCount, DemandWindows: 10,
		ListChangesPerSecond:   (6*491 + 2*3200) / float64(day),
		ConfigChangesPerSecond: 18_000 / float64(day),
		ConfigReadsPerSecond:   1, ListReadsPerSecond: 1,
	}
}

// startedExchangesPerSecond is the rate of exchanges that an instance starts. If
// all instances start equally many, an instance answers as many as it starts.
const startedExchangesPerSecond = 3

// Cost is the cost of one part of the control plane for one instance.
type Cost struct {
	Part string `json:"part"`
	// CPUMicrosPerSecond is the CPU time in µs per second, WireBytesPerSecond the
	// traffic in both directions, MemoryBytes the heap memory in use.
	CPUMicrosPerSecond float64 `json:"micros"`
	WireBytesPerSecond float64 `json:"wire"`
	MemoryBytes        float64 `json:"memory"`
}

// Parts of the control plane in a prediction.
const (
	partList   = "list"
	partConfig = "configuration"
	partPeers  = "exchanges"
)

// PredictCosts computes the cost of each part of the control plane for one
// instance from the fitted lines. The CPU time of the list and the log includes
// that of their stand-ins, so it is an upper bound.
func PredictCosts(r *Report, s DeploymentSize) []Cost {
	figureAt := func(name string, size int) float64 {
		if f := r.FindFigure(name); f != nil {
			return max(0, f.ValueAt(float64(size)))
		}
		return 0
	}
	demandCost := func(suffix string) float64 {
		return figureAt("digest.demand."+suffix, s.DemandWindows) - figureAt("digest.demand."+suffix, 0)
	}
	list := Cost{
		Part: partList,
		CPUMicrosPerSecond: s.ListReadsPerSecond*figureAt("list.unchanged.cpu", s.Members) +
			s.ListChangesPerSecond*figureAt("directory.index.cpu", s.Members),
		WireBytesPerSecond: s.ListReadsPerSecond*figureAt("list.unchanged.bytes", s.Members) +
			s.ListChangesPerSecond*(figureAt("list.changed.bytes", s.Members)-figureAt("list.unchanged.bytes", s.Members)),
		MemoryBytes: figureAt("directory.memory", s.Members),
	}
	config := Cost{
		Part: partConfig,
		CPUMicrosPerSecond: s.ConfigReadsPerSecond*figureAt("log.read.cpu", 0) +
			s.ConfigChangesPerSecond*(figureAt("log.read.cpu", 1)+figureAt("config.change.cpu", s.ConfigKeys)),
		WireBytesPerSecond: s.ConfigReadsPerSecond*figureAt("log.read.bytes", 0) +
			s.ConfigChangesPerSecond*figureAt("log.read.bytes", 1),
		MemoryBytes: figureAt("config.state.memory", s.ConfigKeys),
	}
	peers := Cost{
		Part: partPeers,
		CPUMicrosPerSecond: startedExchangesPerSecond*(figureAt("digest.evidence.cpu", s.EvidenceWindows)+demandCost("cpu")) +
			2*figureAt("peers.live.cpu", s.Instances),
		WireBytesPerSecond: 2 * startedExchangesPerSecond * (figureAt("digest.evidence.bytes", s.EvidenceWindows) +
			demandCost("bytes")),
	}
	return []Cost{list, config, peers}
}

// SumCosts returns the sum of costs as a part named "sum".
func SumCosts(costs []Cost) Cost {
	sum := Cost{Part: "sum"}
	for _, c := range costs {
		sum.CPUMicrosPerSecond += c.CPUMicrosPerSecond
		sum.WireBytesPerSecond += c.WireBytesPerSecond
		sum.MemoryBytes += c.MemoryBytes
	}
	return sum
}

// Budget of the control plane per instance, from docs/design.md.
const (
	budgetCPUMicrosPerSecond = 12_000
	budgetWireBytesPerSecond = 16 * 1024
	budgetMemoryBytes        = 32 << 20
)

// CostTable returns the costs, their sum and the budget as a Markdown table.
func CostTable(costs []Cost) string {
	var b strings.Builder
	b.WriteString("| part | processor, % of a core | KB/s | memory, MB |\n|---|---|---|---|\n")
	budget := Cost{
		Part: "budget", CPUMicrosPerSecond: budgetCPUMicrosPerSecond,
		WireBytesPerSecond: budgetWireBytesPerSecond, MemoryBytes: budgetMemoryBytes,
	}
	for _, c := range append(costs[:len(costs):len(costs)], SumCosts(costs), budget) {
		fmt.Fprintf(&b, "| %s | %.3f | %.2f | %.2f |\n", c.Part,
			c.CPUMicrosPerSecond/10_000, c.WireBytesPerSecond/1024, c.MemoryBytes/(1<<20))
	}
	return b.String()
}
