package kctable

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// Deployment is what an instance learns from its settings on a platform that
// assigns addresses and bounds.
type Deployment struct {
	Instance string
	Zone     string
	Region   string
	// Regions holds the region of each availability zone.
	Regions map[string]string
	// IP is the address of the instance.
	IP string
	// CallerAddr, ReadyAddr and StoreAddr are host:port.
	CallerAddr string
	ReadyAddr  string
	StoreAddr  string
	// PeerAddr is the host:port for datagrams of other instances; empty for
	// none.
	PeerAddr string
	// MemoryMB is the limit at which the process is killed.
	MemoryMB int
	// LinkMbps is the bandwidth of the machine in Mbit/s, 0 if unknown.
	LinkMbps int
	Bounds   Bounds
}

// Bounds are the figures that the operators of a platform promise to others
// and that every instance must keep.
type Bounds struct {
	// ConfigApplyMs is the time in which a configuration must be in force.
	ConfigApplyMs kcclock.Millis
	// KeyRevokeMs is the time after which a removed key must not work, wherever.
	KeyRevokeMs kcclock.Millis
	// StrictRevoke means that KeyRevokeMs also holds for instances that have lost
	// the store.
	StrictRevoke bool
	// DrainMs is the time after which a leaving upstream gets no request.
	DrainMs kcclock.Millis
	// GraceMs is the time between the request to stop and the kill.
	GraceMs kcclock.Millis
	// RetryRatio and RetrySlack bound the repeats in RetryWindowMs over all
	// instances: ratio times the requests plus slack.
	RetryRatio    float64
	RetrySlack    float64
	RetryWindowMs kcclock.Millis
	// MaxExposureShare bounds the part of the requests of a service that a bad
	// version may get during an order.
	MaxExposureShare float64
	// SessionIdleMs is the time within which requests of a session follow.
	SessionIdleMs kcclock.Millis
}
