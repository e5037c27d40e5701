package kcedge

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// foreignLogIntervalMs is the time between two log lines about instances of
// other deployments.
const foreignLogIntervalMs = 10 * kcclock.Second

// storeID identifies the store of a deployment in messages between instances.
// The platform assigns addresses again, so that the address of a listed instance
// may belong to another deployment by the time of a message. Its configuration,
// keys and sessions must not be taken over.
type storeID uint32

// storeIDBytes is the length of the prefix of a message.
const storeIDBytes = 4

func newStoreID(storeAddr string) storeID { return storeID(xxhash.Sum64String(storeAddr)) }

// String returns the form that is used in requests.
func (s storeID) String() string { return strconv.FormatUint(uint64(s), 16) }

func (s storeID) prefix() []byte { return binary.BigEndian.AppendUint32(nil, uint32(s)) }

// cutPrefix returns a message without its prefix. It returns false if the
// message is of another deployment.
func (s storeID) cutPrefix(raw []byte) ([]byte, bool) {
	if len(raw) < storeIDBytes || binary.BigEndian.Uint32(raw) != uint32(s) {
		return nil, false
	}
	return raw[storeIDBytes:], true
}

// recordForeign counts a message of an instance of another deployment. It logs
// one of them in an interval.
func (p *peers) recordForeign(addr string) {
	p.edge.metrics.Count("peers.foreign")
	now := kcclock.Boot{}.Now()
	p.mu.Lock()
	logged := p.foreignLoggedAt != 0 && now-p.foreignLoggedAt < foreignLogIntervalMs
	if !logged {
		p.foreignLoggedAt = now
	}
	p.mu.Unlock()
	if !logged {
		p.edge.Log.Warn("message of another deployment refused", "peer", addr)
	}
}
