package kctable

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// Deployment holds the settings of an instance on a platform that assigns
// addresses and bounds.
type Deployment struct {
	Instance string
	Zone     string
	Region   string
	// Regions holds the region of each availability zone.
	Regions map[string]string
	// IP is the address of the instance.
	IP string
	// CallerAddr, ReadyAddr and StoreAddr are the host:port of the listener for
	// callers, the listener for readiness checks, and the store.
	CallerAddr string
	ReadyAddr  string
	StoreAddr  string
	// PeerAddr is the host:port for messages and requests of other instances;
	// empty for none.
	PeerAddr string
	// MemoryMB is the memory limit at which the platform kills the process, 0 if
	// there is none.
	MemoryMB int
	// MaxDescriptors is the number of descriptors that the process may open, those
	// for files included; 0 stands for the limit of the process.
	MaxDescriptors int
	// LinkMbps is the bandwidth of the machine in Mbit/s, 0 if unknown.
	LinkMbps int
	// Overload enables admission under overload, the bound on the memory of
	// upstreams, and the weighing of cached prompts.
	Overload bool
	Bounds   Bounds
}

// Bounds are the service levels that the operators of a platform have promised
// and that every instance must keep.
type Bounds struct {
	// ConfigApplyMs is the time within which a new configuration must be in
	// force.
	ConfigApplyMs kcclock.Millis
	// KeyRevokeMs is the time after which no instance may accept a removed key.
	KeyRevokeMs kcclock.Millis
	// StrictRevoke means that KeyRevokeMs also holds for instances that have lost
	// the store.
	StrictRevoke bool
	// HeartbeatMs is the time after which upstreams renew their entries in the
	// store, 0 if unknown.
	HeartbeatMs kcclock.Millis
	// EvacuateMs is the time after which no request may reach an evacuated
	// availability zone, 0 if there is none.
	EvacuateMs kcclock.Millis
	// DrainMs is the time after which a draining upstream must get no request.
	DrainMs kcclock.Millis
	// ColdOverage and ColdSlack bound the requests that a cold upstream gets in any
	// second from all instances: ColdOverage times what it can take plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// GraceMs is the time between the request to stop and the kill of the
	// process.
	GraceMs kcclock.Millis
	// RetryRatio and RetrySlack bound the retries in RetryWindowMs over all
	// instances: RetryRatio times the requests plus RetrySlack.
	RetryRatio    float64
	RetrySlack    float64
	RetryWindowMs kcclock.Millis
	// MaxExposureShare bounds the share of the requests of a service that a bad
	// version may get during a rollout order.
	MaxExposureShare float64
	// SessionIdleMs is the longest time between requests of a session.
	SessionIdleMs kcclock.Millis
}
