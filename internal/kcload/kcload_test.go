package kcload_test

import (
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
)

// Guards against shares that are mixed up on the way.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := kcload.Message{Instance: rapid.StringN(1, 20, 60).Draw(t, "name"), Seq: rapid.Uint64().Draw(t, "seq")}
		m.Reads = rapid.Bool().Draw(t, "reads")
		for range rapid.IntRange(0, 20).Draw(t, "shares") {
			m.Shares = append(m.Shares, kcload.Share{
				Upstream: rapid.StringN(0, 12, 24).Draw(t, "upstream"),
				WorkMs:   rapid.IntRange(0, 1<<30).Draw(t, "work"), Running: rapid.IntRange(0, 1<<20).Draw(t, "running"),
			})
		}
		got, err := kcload.Decode(kcload.Encode(m))
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%+v, %v: want %+v", got, err, m)
		}
	})
}

// Guards against a message that is larger than a packet.
func TestLargeMessagesAreCut(t *testing.T) {
	m := kcload.Message{Instance: "i"}
	for range 500 {
		m.Shares = append(m.Shares, kcload.Share{Upstream: strings.Repeat("u", 20), WorkMs: 5})
	}
	b := kcload.Encode(m)
	if got, err := kcload.Decode(b); len(b) > kcload.MaxBytes || err != nil || len(got.Shares) < 50 {
		t.Errorf("%d bytes, %d shares, %v", len(b), len(got.Shares), err)
	}
}

// Guards against sessions that are lost or mixed up on the way, and against a
// message that is larger than a packet.
func TestSessionsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := kcload.Sessions{Instance: rapid.StringN(1, 20, 60).Draw(t, "name"), Order: rapid.Int64Min(0).Draw(t, "order") >> 1}
		m.Version = rapid.StringN(0, 5, 20).Draw(t, "version")
		m.Whole = rapid.Bool().Draw(t, "whole")
		for range rapid.IntRange(0, 400).Draw(t, "sessions") {
			m.Sessions = append(m.Sessions, kcload.Session{
				Hash: rapid.Uint64().Draw(t, "hash"), AgeMs: rapid.IntRange(0, 1<<30).Draw(t, "age"),
			})
		}
		var got []kcload.Session
		for _, raw := range kcload.EncodeSessions(m) {
			part, err := kcload.DecodeSessions(raw)
			if err != nil || len(raw) > kcload.MaxBytes || !kcload.IsSessions(raw) ||
				part.Instance != m.Instance || part.Order != m.Order || part.Whole != m.Whole || part.Version != m.Version {
				t.Fatalf("%d bytes, %+v, %v", len(raw), part, err)
			}
			got = append(got, part.Sessions...)
		}
		if !reflect.DeepEqual(got, m.Sessions) {
			t.Fatalf("%d sessions, want %d", len(got), len(m.Sessions))
		}
		order, err := kcload.DecodeSessionsQuery(kcload.EncodeSessionsQuery(m.Order))
		if err != nil || order != m.Order {
			t.Fatalf("a query for %d asks for %d, %v", m.Order, order, err)
		}
	})
}

func FuzzDecodeSessions(f *testing.F) {
	m := kcload.Sessions{Instance: "i", Order: 1, Sessions: []kcload.Session{{Hash: 7, AgeMs: 3}}}
	for _, raw := range kcload.EncodeSessions(m) {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if !kcload.IsSessions(b) {
			return
		}
		m, err := kcload.DecodeSessions(b)
		if err != nil {
			return
		}
		for _, s := range m.Sessions {
			if s.AgeMs < 0 {
				t.Errorf("%+v", s)
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(kcload.Encode(kcload.Message{Instance: "i", Seq: 1, Shares: []kcload.Share{{Upstream: "u", WorkMs: 3, Running: 1}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := kcload.Decode(b)
		if err != nil {
			return
		}
		for _, s := range m.Shares {
			if s.WorkMs < 0 || s.Running < 0 {
				t.Errorf("%+v", s)
			}
		}
	})
}
