// Package kcload encodes the messages by which instances tell each other how
// much work they have sent to each upstream. The messages are hints: each one
// holds the complete state of its sender, so that lost, repeated and late
// messages do no harm.
package kcload

import (
	"encoding/binary"
	"slices"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcspeed"
)

// UpstreamLoad is the work of one instance at one upstream.
type UpstreamLoad struct {
	Upstream string
	// PendingWorkMs is the work of requests whose answer has not begun, in
	// milliseconds of the upstream.
	PendingWorkMs int
	// RunningRequests is the number of running requests.
	RunningRequests int
	// Heard is true if the upstream has sent anything to the instance, HeardMsAgo
	// milliseconds before the message.
	Heard      bool
	HeardMsAgo int
	// Tokens is the number of prompt and output tokens of the running requests. It
	// is 0 if it is not told.
	Tokens int
	// Figure is the newest load and speed that the instance has heard from the
	// upstream itself, without its slots, FigureMsAgo milliseconds before the
	// message. They are only set if HasFigure is.
	HasFigure   bool
	Figure      kcspeed.Load
	FigureMsAgo int
}

// Message is the complete state of one instance.
type Message struct {
	Instance string
	// Seq orders the messages of an instance. It starts at the time of the start
	// of the instance, so that it keeps increasing after a restart.
	Seq uint64
	// CanReadStore is true if the instance can read the store for others.
	CanReadStore bool
	Loads        []UpstreamLoad
}

// SameState reports whether two messages of an instance tell the same, but for
// the times at which upstreams were heard.
func (m Message) SameState(other Message) bool {
	return m.Instance == other.Instance && m.CanReadStore == other.CanReadStore &&
		slices.EqualFunc(m.Loads, other.Loads, func(a, b UpstreamLoad) bool {
			b.HeardMsAgo, b.FigureMsAgo = a.HeardMsAgo, a.FigureMsAgo
			return a == b
		})
}

const (
	// messageFormat is the first byte of a load report. Reports of format 1 do not
	// tell when upstreams were heard, and are refused.
	messageFormat = 4
	// figuresFormat is the first byte of a load report with figures of upstreams,
	// which follow the loads. It is only used if there are any. Instances that do
	// not know it refuse it.
	figuresFormat = 8
	// MaxMessageBytes bounds a message so that it fits into one packet of an
	// Ethernet link.
	MaxMessageBytes = 1400
	// maxLoads bounds the upstreams that a message may list.
	maxLoads = 256
	// maxNameBytes bounds the name of an instance, an upstream or a version.
	maxNameBytes = 128
)

// Encode returns the encoded message. It omits the loads that do not fit.
func Encode(m Message) []byte {
	if slices.ContainsFunc(m.Loads, UpstreamLoad.hasExtra) {
		return encodeWithFigures(m)
	}
	b, _ := appendLoads([]byte{messageFormat}, m, MaxMessageBytes)
	return b
}

// appendLoads appends a message without figures that is no longer than size, and
// returns the number of loads in it.
func appendLoads(b []byte, m Message, size int) ([]byte, int) {
	b = appendString(b, m.Instance)
	b = binary.AppendUvarint(b, m.Seq)
	b = binary.AppendUvarint(b, messageFlags(m))
	for i, s := range m.Loads {
		next := appendString(b, s.Upstream)
		next = binary.AppendUvarint(next, uint64(max(s.PendingWorkMs, 0)))
		next = binary.AppendUvarint(next, uint64(max(s.RunningRequests, 0)))
		next = binary.AppendUvarint(next, encodeHeard(s))
		if len(next) > size {
			return b, i
		}
		b = next
	}
	return b, len(m.Loads)
}

// encodeHeard returns 0 if nothing was heard, and one more than the time since
// then otherwise.
func encodeHeard(s UpstreamLoad) uint64 {
	if !s.Heard {
		return 0
	}
	return uint64(min(max(s.HeardMsAgo, 0), maxNumber-1)) + 1
}

func decodeHeard(v uint64) (heard bool, msAgo int) {
	if v == 0 {
		return false, 0
	}
	return true, int((v - 1) & maxNumber)
}

const canReadStoreFlag = 1

func messageFlags(m Message) uint64 {
	if m.CanReadStore {
		return canReadStoreFlag
	}
	return 0
}

func appendString(b []byte, s string) []byte {
	s = s[:min(len(s), maxNameBytes)]
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

var errTruncated = errs.New("message is truncated")

// Decode decodes a message.
func Decode(b []byte) (Message, error) {
	var m Message
	if len(b) == 0 || b[0] != messageFormat && b[0] != figuresFormat {
		return m, errs.New("unknown message format")
	}
	d := decoder{b: b[1:]}
	var figures decoder
	if b[0] == figuresFormat {
		figures = d.cutFigures()
	}
	m.Instance = d.string()
	m.Seq = d.uvarint()
	m.CanReadStore = d.uvarint()&canReadStoreFlag != 0
	for len(d.b) > 0 && d.err == nil && len(m.Loads) < maxLoads {
		s := UpstreamLoad{Upstream: d.string()}
		s.PendingWorkMs, s.RunningRequests = int(d.uvarint()&maxNumber), int(d.uvarint()&maxNumber)
		s.Heard, s.HeardMsAgo = decodeHeard(d.uvarint())
		if d.err == nil {
			m.Loads = append(m.Loads, s)
		}
	}
	if d.err == nil {
		d.err = figures.decodeFigures(m.Loads)
	}
	if d.err == nil && m.Instance == "" {
		d.err = errs.New("message has no instance name")
	}
	return m, d.err
}

// maxNumber is the mask and upper bound of the numbers of a message.
const maxNumber = 1<<31 - 1

type decoder struct {
	b   []byte
	err error
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.b, d.err = nil, errTruncated
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) string() string {
	n := d.uvarint()
	if n > maxNameBytes || n > uint64(len(d.b)) {
		d.b, d.err = nil, errTruncated
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n:]
	return s
}
