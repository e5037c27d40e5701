package kcload_test

import (
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against loads that are altered by encoding and decoding.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := kcload.Message{Instance: rapid.StringN(1, 20, 60).Draw(t, "name"), Seq: rapid.Uint64().Draw(t, "seq")}
		m.CanReadStore = rapid.Bool().Draw(t, "reads")
		for range rapid.IntRange(0, 20).Draw(t, "shares") {
			m.Loads = append(m.Loads, kcload.UpstreamLoad{
				Upstream:      rapid.StringN(0, 12, 24).Draw(t, "upstream"),
				PendingWorkMs: rapid.IntRange(0, 1<<30).Draw(t, "work"), RunningRequests: rapid.IntRange(0, 1<<20).Draw(t, "running"),
			})
			if last := &m.Loads[len(m.Loads)-1]; rapid.Bool().Draw(t, "heard") {
				last.Heard, last.HeardMsAgo = true, rapid.IntRange(0, 1<<30).Draw(t, "msAgo")
			}
		}
		got, err := kcload.Decode(kcload.Encode(m))
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%+v, %v: want %+v", got, err, m)
		}
	})
}

// Guards against a message that is larger than a packet.
func TestMessageFitsOnePacket(t *testing.T) {
	m := kcload.Message{Instance: "i"}
	for range 500 {
		m.Loads = append(m.Loads, kcload.UpstreamLoad{Upstream: strings.Repeat("u", 20), PendingWorkMs: 5})
	}
	b := kcload.Encode(m)
	if got, err := kcload.Decode(b); len(b) > kcload.MaxMessageBytes || err != nil || len(got.Loads) < 50 {
		t.Errorf("%d bytes, %d shares, %v", len(b), len(got.Loads), err)
	}
}

// Guards against sessions that are lost or altered by encoding and decoding,
// and against a message that is larger than a packet.
func TestSessionReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := kcload.SessionReport{
			Instance:    rapid.StringN(1, 20, 60).Draw(t, "name"),
			OrderOffset: rapid.Int64Min(0).Draw(t, "order") >> 1,
		}
		m.Version = rapid.StringN(0, 5, 20).Draw(t, "version")
		m.FinalAnswer = rapid.Bool().Draw(t, "whole")
		for range rapid.IntRange(0, 400).Draw(t, "sessions") {
			m.Sessions = append(m.Sessions, kcload.Session{
				Hash: rapid.Uint64().Draw(t, "hash"), AgeMs: rapid.IntRange(0, 1<<30).Draw(t, "age"),
			})
		}
		var got []kcload.Session
		for _, raw := range kcload.EncodeSessionReport(m) {
			part, err := kcload.DecodeSessionReport(raw)
			if err != nil || len(raw) > kcload.MaxMessageBytes || !kcload.IsSessionReport(raw) ||
				part.Instance != m.Instance || part.OrderOffset != m.OrderOffset ||
				part.FinalAnswer != m.FinalAnswer || part.Version != m.Version {
				t.Fatalf("%d bytes, %+v, %v", len(raw), part, err)
			}
			got = append(got, part.Sessions...)
		}
		if !reflect.DeepEqual(got, m.Sessions) {
			t.Fatalf("%d sessions, want %d", len(got), len(m.Sessions))
		}
		want := kcload.SessionQuery{OrderOffset: m.OrderOffset, Sender: rapid.Uint32().Draw(t, "sender")}
		query, err := kcload.DecodeSessionQuery(kcload.EncodeSessionQuery(want))
		if err != nil || query != want {
			t.Fatalf("%+v, %v: want %+v", query, err, want)
		}
	})
}

// Guards against evidence on prompt parts that is lost or altered by encoding and
// decoding, and against a message that is larger than a packet.
func TestQuarantineReportRoundTrip(t *testing.T) {
	const now = 10_000_000
	rapid.Check(t, func(t *rapid.T) {
		age := func() kcclock.Millis { return kcclock.Millis(rapid.IntRange(0, 1_000_000).Draw(t, "age")) }
		part := rapid.Custom(func(t *rapid.T) kcquarantine.Part { return kcquarantine.Part(rapid.Uint64().Draw(t, "part")) })
		want := kcquarantine.Report{Instance: rapid.StringN(1, 20, 60).Draw(t, "name")}
		for range rapid.IntRange(0, 40).Draw(t, "evidence") {
			want.Evidence = append(want.Evidence, kcquarantine.Evidence{
				Crash: rapid.Uint64().Draw(t, "crash"), Upstream: rapid.StringN(0, 12, 24).Draw(t, "upstream"),
				Workspace: rapid.Uint64().Draw(t, "workspace"), At: now - age(),
				Phase: kcquarantine.Phase(rapid.IntRange(0, 1).Draw(t, "phase")), Parts: rapid.SliceOfN(part, 1, 16).Draw(t, "parts"),
			})
		}
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			want.Answers = append(want.Answers, kcquarantine.Answer{Part: part.Draw(t, "answered"), At: now - age()})
			want.Trials = append(want.Trials, kcquarantine.TrialState{Part: part.Draw(t, "on trial"), Until: now + 1 + age()})
		}
		want.Complete = rapid.Bool().Draw(t, "complete")
		got := kcquarantine.Report{Instance: want.Instance}
		for _, raw := range kcload.EncodeQuarantineReport(want, now) {
			r, err := kcload.DecodeQuarantineReport(raw, now)
			if err != nil || len(raw) > kcload.MaxMessageBytes || !kcload.IsQuarantineReport(raw) || r.Instance != want.Instance {
				t.Fatalf("%d bytes, %+v, %v", len(raw), r, err)
			}
			got.Evidence, got.Answers = append(got.Evidence, r.Evidence...), append(got.Answers, r.Answers...)
			got.Trials, got.Complete = append(got.Trials, r.Trials...), got.Complete || r.Complete
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v, want %+v", got, want)
		}
	})
}

// Guards against limits that are lost or altered by encoding and decoding, and
// against a message that is larger than a packet.
func TestLimitReportRoundTrip(t *testing.T) {
	const now = 10_000_000
	rapid.Check(t, func(t *rapid.T) {
		want := kcload.LimitReport{Instance: rapid.StringN(1, 20, 60).Draw(t, "name")}
		for range rapid.IntRange(0, 100).Draw(t, "limits") {
			want.Limits = append(want.Limits, kcload.UpstreamLimit{
				Upstream: rapid.StringN(0, 12, 24).Draw(t, "upstream"), StartedAtMs: rapid.Int64Min(0).Draw(t, "startedAt"),
				PerSecond: rapid.Float64Range(-1, 1e6).Draw(t, "perSecond"),
				At:        now - kcclock.Millis(rapid.IntRange(0, 1_000_000).Draw(t, "age")),
			})
		}
		got := kcload.LimitReport{Instance: want.Instance}
		for _, raw := range kcload.EncodeLimitReport(want, now) {
			r, err := kcload.DecodeLimitReport(raw, now)
			if err != nil || len(raw) > kcload.MaxMessageBytes || !kcload.IsLimitReport(raw) || r.Instance != want.Instance {
				t.Fatalf("%d bytes, %+v, %v", len(raw), r, err)
			}
			got.Limits = append(got.Limits, r.Limits...)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v, want %+v", got, want)
		}
	})
}

func FuzzDecodeLimits(f *testing.F) {
	for _, raw := range kcload.EncodeLimitReport(kcload.LimitReport{
		Instance: "i", Limits: []kcload.UpstreamLimit{{Upstream: "u", PerSecond: 2.5}},
	}, 5) {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if !kcload.IsLimitReport(b) {
			return
		}
		r, err := kcload.DecodeLimitReport(b, 1000)
		if err != nil {
			return
		}
		for _, u := range r.Limits {
			if u.At > 1000 || u.PerSecond != u.PerSecond {
				t.Errorf("%+v", u)
			}
		}
	})
}

func FuzzDecodeQuarantine(f *testing.F) {
	for _, raw := range kcload.EncodeQuarantineReport(kcquarantine.Report{
		Instance: "i", Evidence: []kcquarantine.Evidence{{Crash: 1, Parts: []kcquarantine.Part{2}}},
	}, 5) {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if !kcload.IsQuarantineReport(b) {
			return
		}
		r, err := kcload.DecodeQuarantineReport(b, 1000)
		if err != nil {
			return
		}
		for _, e := range r.Evidence {
			if e.At > 1000 || len(e.Parts) > 32 {
				t.Errorf("%+v", e)
			}
		}
	})
}

func FuzzDecodeSessions(f *testing.F) {
	m := kcload.SessionReport{Instance: "i", OrderOffset: 1, Sessions: []kcload.Session{{Hash: 7, AgeMs: 3}}}
	for _, raw := range kcload.EncodeSessionReport(m) {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if !kcload.IsSessionReport(b) {
			return
		}
		m, err := kcload.DecodeSessionReport(b)
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
	f.Add(kcload.Encode(kcload.Message{
		Instance: "i", Seq: 1,
		Loads: []kcload.UpstreamLoad{{Upstream: "u", PendingWorkMs: 3, RunningRequests: 1}},
	}))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := kcload.Decode(b)
		if err != nil {
			return
		}
		for _, s := range m.Loads {
			if s.PendingWorkMs < 0 || s.RunningRequests < 0 {
				t.Errorf("%+v", s)
			}
		}
	})
}
