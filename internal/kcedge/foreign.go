package kcedge

import (
	"encoding/binary"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// foreignLogIntervalMs is the time between two log lines about messages that are
// meant for another instance.
const foreignLogIntervalMs = 10 * kcclock.Second

// instanceID identifies the instance that a message is meant for. The platform
// assigns addresses again, so that the address of a listed instance may belong to
// one of another deployment by the time of a message. Neither must take over what
// the other sends: keys, sessions, loads.
type instanceID uint32

// instanceIDBytes is the length of an instanceID in a message.
const instanceIDBytes = 4

func newInstanceID(name, zone, region string) instanceID {
	return instanceID(xxhash.Sum64String(name + "\n" + zone + "\n" + region))
}

// String returns the form that is used in requests.
func (id instanceID) String() string { return strconv.FormatUint(uint64(id), 16) }

func (id instanceID) appendTo(b []byte) []byte { return binary.BigEndian.AppendUint32(b, uint32(id)) }

// cutPrefix returns a message without its prefix. It returns false if the
// message is meant for another instance.
func (id instanceID) cutPrefix(raw []byte) ([]byte, bool) {
	if len(raw) < instanceIDBytes || binary.BigEndian.Uint32(raw) != uint32(id) {
		return nil, false
	}
	return raw[instanceIDBytes:], true
}

// destination is an instance that messages are sent to.
type destination struct {
	addr netip.AddrPort
	id   instanceID
}

// idAt returns the id of the instance that is listed with an address, or "" if
// there is none.
func (p *peers) idAt(addr string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.sameRegion {
		if entry.Address.String() == addr {
			return entry.id.String()
		}
	}
	return ""
}

// recordForeign counts a message that is meant for another instance. It logs one
// of them in an interval.
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
		p.edge.Log.Warn("message for another instance refused", "peer", addr)
	}
}
