package kcinstance

import (
	"log/slog"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxQuarantineMessages bounds the messages on crashing prompt parts in a digest, so
// that digests stay small.
const maxQuarantineMessages = 3

// quarantineSync exchanges what instances know about crashing prompt parts. Each
// digest holds all that its sender knows, also from others.
type quarantineSync struct {
	*kcquarantine.Tracker
	clock kcclock.Clock
	log   *slog.Logger
}

func newQuarantineSync(clock kcclock.Clock, instance string, log *slog.Logger) *quarantineSync {
	return &quarantineSync{
		clock: clock, log: log,
		Tracker: kcquarantine.New(kcquarantine.Options{
			Clock: clock, Instance: instance,
			OnBlocked: func(b kcquarantine.Block) {
				log.Warn("prompt part blocked", "part", b.Part, "crashes", b.Failures, "nextTrialMs", b.NextTrialAt-clock.Now(),
					"evidence", b)
			},
			OnCleared: func(p kcquarantine.Part) { log.Info("prompt part cleared", "part", p) },
		}),
	}
}

// FillDigest adds what this instance knows to a digest.
func (q *quarantineSync) FillDigest(m *kcpeer.Digest) {
	messages := kcload.EncodeQuarantineReport(q.Snapshot(), q.clock.Now())
	m.Quarantine = messages[:min(len(messages), maxQuarantineMessages)]
}

// ReadDigest adds what a peer knows.
func (q *quarantineSync) ReadDigest(m *kcpeer.Digest) {
	now := q.clock.Now()
	for _, raw := range m.Quarantine {
		if !kcload.IsQuarantineReport(raw) {
			continue
		}
		r, err := kcload.DecodeQuarantineReport(raw, now)
		if err != nil {
			q.log.Warn("cannot decode the report of a peer; ignoring it", "peer", m.Instance, "error", err)
			continue
		}
		q.Merge(r)
	}
}
