// Package kcmember knows the live and leaving upstreams and instances.
package kcmember

import "slices"

// Role tells what a member does.
type Role string

// Values of Role.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// Member is one entry of the platform's list.
type Member struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Addr is host:port; for entry instances that of the peer listener.
	Addr   string `json:"addr"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Leaving members get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Versions are the keys name@version that an engine serves.
	Versions []string `json:"versions,omitempty"`
	// Service is the name of the plain service that a service member runs.
	Service string `json:"service,omitempty"`
	// IgnoresFence is true for engines that accept orders with an old fencing
	// number.
	IgnoresFence bool `json:"ignoresFence,omitempty"`
}

// equal reports whether the list says the same of both.
func equalMembers(a, b Member) bool {
	return a.ID == b.ID && a.Role == b.Role && a.Addr == b.Addr && a.Zone == b.Zone && a.Region == b.Region &&
		a.Leaving == b.Leaving && a.Service == b.Service && a.IgnoresFence == b.IgnoresFence &&
		slices.Equal(a.Versions, b.Versions)
}
