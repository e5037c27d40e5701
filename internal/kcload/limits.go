package kcload

import (
	"encoding/binary"
	"math"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// limitFormat is the first byte of a report on the limits of upstreams.
const limitFormat = 6

// LimitReport tells what an instance has heard from upstreams about their limits.
// The newest report on an upstream counts.
type LimitReport struct {
	Instance string
	Limits   []UpstreamLimit
}

// UpstreamLimit is the limit of an upstream.
type UpstreamLimit struct {
	Upstream string
	// StartedAtMs tells the process of the upstream from others with its id.
	StartedAtMs int64
	// PerSecond is in requests a second, or negative if the upstream no longer
	// names a limit.
	PerSecond float64
	// At is the time at which the instance heard of it.
	At kcclock.Millis
}

// IsLimitReport reports whether a message tells of the limits of upstreams.
func IsLimitReport(b []byte) bool { return len(b) > 0 && b[0] == limitFormat }

// EncodeLimitReport encodes a report into as many messages as needed. Times are
// sent relative to now.
func EncodeLimitReport(r LimitReport, now kcclock.Millis) [][]byte {
	head := appendString([]byte{limitFormat}, r.Instance)
	var out [][]byte
	b := head[:len(head):len(head)]
	for _, u := range r.Limits {
		next := appendString(b, u.Upstream)
		next = binary.AppendUvarint(next, uint64(max(u.StartedAtMs, 0)))
		next = binary.BigEndian.AppendUint64(next, math.Float64bits(u.PerSecond))
		next = appendAge(next, now-u.At)
		if len(next) > MaxMessageBytes {
			out = append(out, b)
			next = append(head[:len(head):len(head)], next[len(b):]...)
		}
		b = next
	}
	if len(b) > len(head) {
		out = append(out, b)
	}
	return out
}

// DecodeLimitReport decodes one message of a report.
func DecodeLimitReport(raw []byte, now kcclock.Millis) (LimitReport, error) {
	d := decoder{b: raw[1:]}
	r := LimitReport{Instance: d.string()}
	for len(d.b) > 0 && d.err == nil {
		u := UpstreamLimit{Upstream: d.string(), StartedAtMs: int64(d.uvarint() & math.MaxInt64)}
		u.PerSecond, u.At = math.Float64frombits(d.uint64()), now-d.millis()
		if d.err == nil && !math.IsNaN(u.PerSecond) {
			r.Limits = append(r.Limits, u)
		}
	}
	return r, d.err
}
