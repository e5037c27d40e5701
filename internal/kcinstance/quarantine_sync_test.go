package kcinstance

import (
	"log/slog"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against an instance that crashes engines with a message that its peers
// have blocked, also if it hears of it from a third one.
func TestBlockCrossesDigests(t *testing.T) {
	clock, log := kcclock.NewManual(1_000_000), slog.New(slog.DiscardHandler)
	a, b, c := newQuarantineSync(clock, "a", log), newQuarantineSync(clock, "b", log), newQuarantineSync(clock, "c", log)
	parts := kcquarantine.SharedParts([]string{"crashing", "own"})
	for n := range 3 {
		clock.Advance(kcclock.Second)
		a.Crashed(kcquarantine.Evidence{Crash: uint64(n + 1), At: clock.Now(), Phase: kcquarantine.Answering, Parts: parts})
	}
	tell := func(from, to *quarantineSync) {
		var m kcpeer.Digest
		from.FillDigest(&m)
		to.ReadDigest(&m)
	}
	tell(a, b)
	tell(b, c)
	if d := c.Admit(kcquarantine.Request{Parts: parts}); d.Action != kcquarantine.Reject {
		t.Errorf("%+v: want a rejection", d)
	}
	clock.Advance(kcclock.Minute)
	b.Answered(parts)
	tell(b, c)
	if d := c.Admit(kcquarantine.Request{Parts: parts}); d.Action != kcquarantine.Send {
		t.Errorf("%+v after an answer elsewhere", d)
	}
}
