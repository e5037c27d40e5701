package kcload

import "encoding/binary"

// Sessions tells which sessions an instance serves with another version than the
// target of an order. Messages add to each other; lost ones are made up for by the next,
// and late ones only make a session seem to have ended later.
type SessionReport struct {
	Instance string
	// Order is the offset of the order's record.
	OrderOffset int64
	// Version is the one that serves them.
	Version string
	// Whole is true for the last message of an answer to a query, which holds all
	// sessions that the instance knows of.
	FinalAnswer bool
	Sessions    []Session
}

// Session is a session of one instance.
type Session struct {
	// Hash is that of its name.
	Hash uint64
	// AgeMs is the time since its last request ended, 0 while one runs.
	AgeMs int
}

// The first byte of these messages.
const (
	sessionReportFormat = 2
	sessionQueryFormat  = 3
)

// IsSessionReport reports whether a message is one of Sessions.
func IsSessionReport(b []byte) bool { return len(b) > 0 && b[0] == sessionReportFormat }

// IsSessionQuery reports whether a message asks for Sessions.
func IsSessionQuery(b []byte) bool { return len(b) > 0 && b[0] == sessionQueryFormat }

// EncodeSessionQuery returns a message that asks for the sessions of an order.
func EncodeSessionQuery(order int64) []byte {
	return binary.AppendUvarint([]byte{sessionQueryFormat}, uint64(max(order, 0)))
}

// DecodeSessionQuery returns the order that a message asks for.
func DecodeSessionQuery(raw []byte) (int64, error) {
	d := decoder{b: raw[1:]}
	return int64(d.uvarint() & maxOffset), d.err
}

// finalAnswerFlag marks an answer to a query.
const finalAnswerFlag = 1

// EncodeSessionReport returns the bytes of m, in as many messages as it takes.
func EncodeSessionReport(m SessionReport) [][]byte {
	head := appendString([]byte{sessionReportFormat}, m.Instance)
	head = binary.AppendUvarint(head, uint64(max(m.OrderOffset, 0)))
	if m.FinalAnswer {
		head = append(head, finalAnswerFlag)
	} else {
		head = append(head, 0)
	}
	head = appendString(head, m.Version)
	var out [][]byte
	b := head[:len(head):len(head)]
	for _, s := range m.Sessions {
		next := binary.BigEndian.AppendUint64(b, s.Hash)
		next = binary.AppendUvarint(next, uint64(min(max(s.AgeMs, 0), maxNumber)))
		if len(next) > MaxMessageBytes {
			out = append(out, b)
			next = append(head[:len(head):len(head)], next[len(b):]...)
		}
		b = next
	}
	if len(b) > len(head) || m.FinalAnswer && out == nil {
		out = append(out, b)
	}
	return out
}

// DecodeSessionReport reads a message of Sessions.
func DecodeSessionReport(raw []byte) (SessionReport, error) {
	d := decoder{b: raw[1:]}
	m := SessionReport{Instance: d.string(), OrderOffset: int64(d.uvarint() & maxOffset), FinalAnswer: d.uvarint()&finalAnswerFlag != 0}
	m.Version = d.string()
	for len(d.b) > 0 && d.err == nil {
		if len(d.b) < 8 {
			return m, errTruncated
		}
		s := Session{Hash: binary.BigEndian.Uint64(d.b)}
		d.b = d.b[8:]
		s.AgeMs = int(d.uvarint() & maxNumber)
		if d.err == nil {
			m.Sessions = append(m.Sessions, s)
		}
	}
	return m, d.err
}

// maxOffset bounds the offsets of a message.
const maxOffset = 1<<62 - 1
