package kcstandin

import (
	"context"
	"slices"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Faults of a ScriptedLog.
const (
	// FaultNone lets a call work.
	FaultNone = "ok"
	// FaultRefuse fails a call that has no effect.
	FaultRefuse = "refuse"
	// FaultLoseResponse loses the answer of an append that takes effect.
	FaultLoseResponse = "lose"
	// FaultDelayAppend loses the answer of an append that takes effect at Deliver.
	FaultDelayAppend = "delay"
	// FaultDuplicateAppend repeats an append at Deliver.
	FaultDuplicateAppend = "duplicate"
)

// ScriptedLog is a log of one stream whose next calls go wrong as scripted.
// Tests use it where Log is too random.
type ScriptedLog struct {
	clock     kcclock.Clock
	retention kcclock.Millis

	mu             sync.Mutex
	down           bool
	nextFaults     []string
	firstOffset    int64
	records        []kclog.Record
	delayedRecords []kclog.NewRecord
	// before and after run once around the next append.
	beforeAppend, afterAppend func()
}

// NewScriptedLog returns an empty log without faults.
func NewScriptedLog(clock kcclock.Clock, retention kcclock.Millis) *ScriptedLog {
	return &ScriptedLog{clock: clock, retention: retention}
}

// Script sets the faults of the next calls; later calls work.
func (l *ScriptedLog) SetFaults(faults ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextFaults = faults
}

// SetDown starts or ends an outage.
func (l *ScriptedLog) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// BeforeAppend sets what runs once, without faults, when the next append
// arrives.
func (l *ScriptedLog) BeforeAppend(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beforeAppend = f
}

// AfterAppend sets what runs once, without faults, when the next append has
// reached the log.
func (l *ScriptedLog) AfterAppend(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.afterAppend = f
}

// Len returns the number of records that are retained.
func (l *ScriptedLog) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// First returns the oldest retained offset.
func (l *ScriptedLog) FirstOffset() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstOffset
}

// Deliver lets the delayed records reach the log.
func (l *ScriptedLog) ApplyDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendRecords(l.delayedRecords)
	l.delayedRecords = nil
}

// Trim removes what is older than the retention.
func (l *ScriptedLog) ApplyRetention() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.records) > 0 && l.records[0].AppendedAt+l.retention < l.clock.Now() {
		l.records = l.records[1:]
		l.firstOffset++
	}
}

// Append adds recs as the script says.
func (l *ScriptedLog) Append(_ context.Context, _ string, recs []kclog.NewRecord) (int64, error) {
	l.runHook(&l.beforeAppend)
	defer l.runHook(&l.afterAppend)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.nextFault() {
	case FaultRefuse:
		return 0, kclog.ErrUnavailable
	case FaultLoseResponse:
		l.appendRecords(recs)
		return 0, kclog.ErrAnswerLost
	case FaultDelayAppend:
		l.delayedRecords = append(l.delayedRecords, recs...)
		return 0, kclog.ErrAnswerLost
	case FaultDuplicateAppend:
		l.delayedRecords = append(l.delayedRecords, recs...)
	}
	return l.appendRecords(recs), nil
}

// runHook runs what hook points to without faults and clears it.
func (l *ScriptedLog) runHook(hook *func()) {
	l.mu.Lock()
	run, faults := *hook, l.nextFaults
	if run == nil {
		l.mu.Unlock()
		return
	}
	*hook, l.nextFaults = nil, nil
	l.mu.Unlock()
	run()
	l.SetFaults(faults...)
}

// Read returns records unless the script refuses. It never waits.
func (l *ScriptedLog) Read(_ context.Context, _ string, from int64, limit int, _ kcclock.Millis) (kclog.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextFault() == FaultRefuse {
		return kclog.Page{}, kclog.ErrUnavailable
	}
	end := l.firstOffset + int64(len(l.records))
	from = min(max(from, l.firstOffset), end)
	recs := l.records[from-l.firstOffset : min(from+int64(limit), end)-l.firstOffset]
	return kclog.Page{Records: slices.Clone(recs), FirstOffset: l.firstOffset, EndOffset: end, Now: l.clock.Now()}, nil
}

func (l *ScriptedLog) nextFault() string {
	if l.down {
		return FaultRefuse
	}
	if len(l.nextFaults) == 0 {
		return FaultNone
	}
	fault := l.nextFaults[0]
	l.nextFaults = l.nextFaults[1:]
	return fault
}

func (l *ScriptedLog) appendRecords(recs []kclog.NewRecord) int64 {
	first := l.firstOffset + int64(len(l.records))
	for i, r := range recs {
		l.records = append(l.records, kclog.Record{Offset: first + int64(i), AppendedAt: l.clock.Now(), NewRecord: r})
	}
	return first
}
