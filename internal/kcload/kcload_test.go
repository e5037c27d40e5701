package kcload_test

import (
	"bytes"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/internal/kcspeed"
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
			if last := &m.Loads[len(m.Loads)-1]; rapid.Bool().Draw(t, "figure") {
				last.Tokens = rapid.IntRange(0, 1<<30).Draw(t, "tokens")
				last.HasFigure, last.FigureMsAgo = true, rapid.IntRange(0, 1<<30).Draw(t, "figureMsAgo")
				last.Figure = kcspeed.Load{
					Running: rapid.IntRange(0, 1<<30).Draw(t, "running"), Waiting: rapid.IntRange(0, 1<<30).Draw(t, "waiting"),
					Speed: rapid.IntRange(0, kcspeed.MaxSpeed).Draw(t, "speed"),
				}
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

// Guards against figures that crowd out loads or make a message larger than a packet,
// and against old figures that crowd out new ones.
func TestFiguresFitOnePacket(t *testing.T) {
	plain := kcload.Message{Instance: "i", Seq: 1 << 50}
	for i := range 500 {
		plain.Loads = append(plain.Loads, kcload.UpstreamLoad{
			Upstream: "eng-" + strconv.Itoa(1000+i), PendingWorkMs: 500, RunningRequests: 1,
		})
	}
	for _, n := range []int{1, 12, 50, 90, 500} {
		without, with := plain, plain
		without.Loads = plain.Loads[:n]
		with.Loads = slices.Clone(without.Loads)
		for i := range with.Loads {
			with.Loads[i].Tokens, with.Loads[i].HasFigure, with.Loads[i].FigureMsAgo = 13_000, true, n-i
			with.Loads[i].Figure = kcspeed.Load{Running: 20, Waiting: 3, Speed: 250}
		}
		small, large := kcload.Encode(without), kcload.Encode(with)
		a, errA := kcload.Decode(small)
		b, errB := kcload.Decode(large)
		if errA != nil || errB != nil || len(large) > kcload.MaxMessageBytes || len(b.Loads) < len(a.Loads)-1 {
			t.Fatalf("%d loads, %d of them with figures in %d bytes, %v %v", len(a.Loads), len(b.Loads), len(large), errA, errB)
		}
		told := 0
		for i, s := range b.Loads {
			if s.HasFigure {
				told++
			} else if told > 0 {
				t.Errorf("of %d loads, the newer figure %d is missing", n, i)
			}
		}
		t.Logf("%d loads: %d bytes, %d with %d figures", n, len(small), len(large), told)
	}
}

// Guards against a report without figures that instances of the version before do
// not understand.
func TestReportWithoutFiguresKeepsItsFormat(t *testing.T) {
	want := []byte("\x04\x01i\x05\x01\x02e1\xac\x02\x03\x08")
	got := kcload.Encode(kcload.Message{Instance: "i", Seq: 5, CanReadStore: true, Loads: []kcload.UpstreamLoad{
		{Upstream: "e1", PendingWorkMs: 300, RunningRequests: 3, Heard: true, HeardMsAgo: 7},
	}})
	if !bytes.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
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
	f.Add(kcload.Encode(kcload.Message{
		Instance: "i", Seq: 1,
		Loads: []kcload.UpstreamLoad{{
			Upstream: "u", Tokens: 5, HasFigure: true, FigureMsAgo: 3, Figure: kcspeed.Load{Running: 1, Waiting: 2, Speed: 250},
		}},
	}))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := kcload.Decode(b)
		if err != nil {
			return
		}
		for _, s := range m.Loads {
			if s.PendingWorkMs < 0 || s.RunningRequests < 0 || s.Tokens < 0 || s.FigureMsAgo < 0 || s.Figure.Running < 0 ||
				s.Figure.Waiting < 0 || s.Figure.Speed < 0 {
				t.Errorf("%+v", s)
			}
		}
	})
}
