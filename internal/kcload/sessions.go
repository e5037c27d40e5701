package kcload

import (
	"encoding/binary"
	"math"
)

// SessionReport tells which sessions an instance serves with another version
// than the target of a rollout order. Reports add to each other. The next
// report makes up for a lost one, and a late one only makes a session seem to
// have ended later.
type SessionReport struct {
	Instance string
	// OrderOffset is the offset of the record of the rollout order.
	OrderOffset int64
	// Version is the version that serves the sessions.
	Version string
	// FinalAnswer is true for the last message of the answer to a query, which
	// holds all sessions that the instance knows of.
	FinalAnswer bool
	Sessions    []Session
}

// Session is a session that one instance serves.
type Session struct {
	// Hash is the hash of the name of the session.
	Hash uint64
	// AgeMs is the time since the last request of the session ended, 0 while one
	// runs.
	AgeMs int
}

// The first byte of a message tells its type.
const (
	sessionReportFormat = 2
	sessionQueryFormat  = 3
)

// IsSessionReport reports whether a message is a SessionReport.
func IsSessionReport(b []byte) bool { return len(b) > 0 && b[0] == sessionReportFormat }

// IsSessionQuery reports whether a message asks for session reports.
func IsSessionQuery(b []byte) bool { return len(b) > 0 && b[0] == sessionQueryFormat }

// SessionQuery asks for the sessions of a rollout order.
type SessionQuery struct {
	// OrderOffset is the offset of the record of the rollout order.
	OrderOffset int64
	// Sender identifies the instance that asks, which is not on every list yet.
	Sender uint32
}

// EncodeSessionQuery returns the encoded query.
func EncodeSessionQuery(q SessionQuery) []byte {
	b := binary.AppendUvarint([]byte{sessionQueryFormat}, uint64(max(q.OrderOffset, 0)))
	return binary.AppendUvarint(b, uint64(q.Sender))
}

// DecodeSessionQuery decodes a query.
func DecodeSessionQuery(raw []byte) (SessionQuery, error) {
	d := decoder{b: raw[1:]}
	q := SessionQuery{OrderOffset: int64(d.uvarint() & maxOffset)}
	q.Sender = uint32(d.uvarint() & math.MaxUint32)
	return q, d.err
}

// finalAnswerFlag marks the last message of the answer to a query.
const finalAnswerFlag = 1

// EncodeSessionReport encodes m into as many messages as needed.
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

// DecodeSessionReport decodes one message of a SessionReport.
func DecodeSessionReport(raw []byte) (SessionReport, error) {
	d := decoder{b: raw[1:]}
	m := SessionReport{
		Instance: d.string(), OrderOffset: int64(d.uvarint() & maxOffset), FinalAnswer: d.uvarint()&finalAnswerFlag != 0,
	}
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

// maxOffset is the mask and upper bound of the offsets of a message.
const maxOffset = 1<<62 - 1
