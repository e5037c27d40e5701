package kcconfig

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// Status describes the state of a Reader for operators.
type Status struct {
	// Offset is the next offset to fold.
	Offset int64 `json:"offset"`
	// Revision is the offset of the last accepted change, or NoRevision.
	Revision int64  `json:"revision"`
	Fresh    bool   `json:"fresh"`
	Reason   string `json:"reason"`
	// Zone is a zone from which nothing was received within the bound, if Reason is
	// StaleZoneCut.
	Zone string `json:"zone,omitempty"`
	// EndReadAgeMs is the age of the latest known read of the end of the log, or -1
	// if there was none.
	EndReadAgeMs kcclock.Millis `json:"endReadAgeMs"`
	Peers        []PeerStatus   `json:"peers"`
}

// PeerStatus is the content of the last digest of a peer.
type PeerStatus struct {
	Instance     string         `json:"instance"`
	Zone         string         `json:"zone"`
	AgeMs        kcclock.Millis `json:"ageMs"`
	ConfigOffset int64          `json:"configOffset"`
}

// Status returns the current status of the reader.
func (r *Reader) Status() Status {
	f := r.Freshness()
	s := Status{Fresh: f.Fresh, Reason: f.Reason, Zone: f.Zone, EndReadAgeMs: -1}
	s.Offset, s.Revision = r.Position()
	now := r.opts.Clock.Now()
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.tracker.endReadAt > 0 {
		s.EndReadAgeMs = now - r.tracker.endReadAt
	}
	s.Peers = r.tracker.peerStatuses(now)
	return s
}
