package kcload

import (
	"encoding/binary"

	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// First bytes of a report on crashing prompt parts and of a query for one.
const (
	quarantineFormat      = 5
	quarantineQueryFormat = 7
)

// Tags of the entries of a quarantine report.
const (
	evidenceTag = 1
	answerTag   = 2
	trialTag    = 3
	completeTag = 4
)

// maxReportedParts bounds the parts of one piece of evidence.
const maxReportedParts = 32

// IsQuarantineReport reports whether a message tells of crashing prompt parts.
func IsQuarantineReport(b []byte) bool { return len(b) > 0 && b[0] == quarantineFormat }

// IsQuarantineQuery reports whether a message asks for a complete report.
func IsQuarantineQuery(b []byte) bool { return len(b) > 0 && b[0] == quarantineQueryFormat }

// QuarantineQuery asks for all that is known about crashing prompt parts.
type QuarantineQuery struct {
	// Sender identifies the instance that asks.
	Sender uint32
}

// EncodeQuarantineQuery returns the encoded query.
func EncodeQuarantineQuery(q QuarantineQuery) []byte {
	return binary.BigEndian.AppendUint32([]byte{quarantineQueryFormat}, q.Sender)
}

// DecodeQuarantineQuery decodes a query.
func DecodeQuarantineQuery(raw []byte) (QuarantineQuery, error) {
	if len(raw) != 5 {
		return QuarantineQuery{}, errTruncated
	}
	return QuarantineQuery{Sender: binary.BigEndian.Uint32(raw[1:])}, nil
}

// EncodeQuarantineReport encodes a report into as many messages as needed. Times
// are sent relative to now, because the clocks of instances differ.
func EncodeQuarantineReport(r kcquarantine.Report, now kcclock.Millis) [][]byte {
	head := appendString([]byte{quarantineFormat}, r.Instance)
	var out [][]byte
	b := head[:len(head):len(head)]
	add := func(entry []byte) {
		if len(b)+len(entry) > MaxMessageBytes && len(b) > len(head) {
			out = append(out, b)
			b = head[:len(head):len(head)]
		}
		b = append(b, entry...)
	}
	for _, a := range r.Answers {
		add(appendAge(binary.BigEndian.AppendUint64([]byte{answerTag}, uint64(a.Part)), now-a.At))
	}
	for _, e := range r.Evidence {
		add(encodeEvidence(e, now))
	}
	for _, t := range r.Trials {
		add(appendAge(binary.BigEndian.AppendUint64([]byte{trialTag}, uint64(t.Part)), t.Until-now))
	}
	if r.Complete {
		add([]byte{completeTag})
	}
	if len(b) > len(head) {
		out = append(out, b)
	}
	return out
}

func appendAge(b []byte, d kcclock.Millis) []byte {
	return binary.AppendUvarint(b, uint64(min(max(d, 0), maxNumber)))
}

func encodeEvidence(e kcquarantine.Evidence, now kcclock.Millis) []byte {
	b := binary.BigEndian.AppendUint64([]byte{evidenceTag}, e.Crash)
	b = binary.BigEndian.AppendUint64(b, e.Workspace)
	b = appendAge(b, now-e.At)
	b = appendString(append(b, byte(e.Phase)), e.Upstream)
	parts := e.Parts[:min(len(e.Parts), maxReportedParts)]
	b = binary.AppendUvarint(b, uint64(len(parts)))
	for _, p := range parts {
		b = binary.BigEndian.AppendUint64(b, uint64(p))
	}
	return b
}

// DecodeQuarantineReport decodes one message of a report.
func DecodeQuarantineReport(raw []byte, now kcclock.Millis) (kcquarantine.Report, error) {
	d := decoder{b: raw[1:]}
	r := kcquarantine.Report{Instance: d.string()}
	for len(d.b) > 0 && d.err == nil {
		tag := d.b[0]
		d.b = d.b[1:]
		switch tag {
		case answerTag:
			a := kcquarantine.Answer{Part: kcquarantine.Part(d.uint64()), At: now - d.millis()}
			if d.err == nil {
				r.Answers = append(r.Answers, a)
			}
		case evidenceTag:
			if e := d.evidence(now); d.err == nil {
				r.Evidence = append(r.Evidence, e)
			}
		case trialTag:
			t := kcquarantine.TrialState{Part: kcquarantine.Part(d.uint64())}
			if left := d.millis(); left > 0 {
				t.Until = now + left
			}
			if d.err == nil {
				r.Trials = append(r.Trials, t)
			}
		case completeTag:
			r.Complete = true
		default:
			d.err = errTruncated
		}
	}
	return r, d.err
}

func (d *decoder) evidence(now kcclock.Millis) kcquarantine.Evidence {
	e := kcquarantine.Evidence{Crash: d.uint64(), Workspace: d.uint64(), At: now - d.millis()}
	if d.uvarint() > 0 {
		e.Phase = kcquarantine.Answering
	}
	e.Upstream = d.string()
	n := d.uvarint()
	if n > maxReportedParts {
		d.b, d.err = nil, errTruncated
		return e
	}
	for range n {
		e.Parts = append(e.Parts, kcquarantine.Part(d.uint64()))
	}
	return e
}

func (d *decoder) millis() kcclock.Millis { return kcclock.Millis(d.uvarint() & maxNumber) }

func (d *decoder) uint64() uint64 {
	if len(d.b) < 8 {
		d.b, d.err = nil, errTruncated
		return 0
	}
	v := binary.BigEndian.Uint64(d.b)
	d.b = d.b[8:]
	return v
}
