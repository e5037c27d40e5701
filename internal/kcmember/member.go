// Package kcmember tracks the membership of upstreams and entry instances: it
// polls the platform's member list and combines it with the results of calls.
package kcmember

import "slices"

// Role is the kind of work that a member does.
type Role string

// Values of Role.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// Member is one item of the platform's member list.
type Member struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Addr is host:port. For entry instances it is the address of the peer
	// listener.
	Addr   string `json:"addr"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Leaving is true while the member drains; it gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Versions are the model versions that an engine serves, as name@version.
	Versions []string `json:"versions,omitempty"`
	// Service is the name of the plain service that a service member runs.
	Service string `json:"service,omitempty"`
	// IgnoresFence is true for engines that do not check fencing tokens and
	// accept orders with an outdated one.
	IgnoresFence bool `json:"ignoresFence,omitempty"`
}

// equalMembers reports whether a and b are equal in all fields.
func equalMembers(a, b Member) bool {
	return a.ID == b.ID && a.Role == b.Role && a.Addr == b.Addr && a.Zone == b.Zone && a.Region == b.Region &&
		a.Leaving == b.Leaving && a.Service == b.Service && a.IgnoresFence == b.IgnoresFence &&
		slices.Equal(a.Versions, b.Versions)
}
