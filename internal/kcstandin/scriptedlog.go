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
	// FaultNone makes a call succeed.
	FaultNone = "ok"
	// FaultRefuse makes a call fail without effect.
	FaultRefuse = "refuse"
	// FaultLoseResponse makes an append take effect but loses its response.
	FaultLoseResponse = "lose"
	// FaultDelayAppend loses the response of an append and delays its effect until
	// ApplyDelayed.
	FaultDelayAppend = "delay"
	// FaultDuplicateAppend makes an append succeed and repeats it at ApplyDelayed.
	FaultDuplicateAppend = "duplicate"
)

// ScriptedLog is an in-memory log with a single stream whose faults are set call
// by call. Tests use it where they need exact faults instead of the random ones of
// Log.
type ScriptedLog struct {
	clock     kcclock.Clock
	retention kcclock.Millis

	mu             sync.Mutex
	down           bool
	nextFaults     []string
	firstOffset    int64
	records        []kclog.Record
	delayedRecords []kclog.NewRecord
	// beforeAppend and afterAppend run once, before and after the next append.
	beforeAppend, afterAppend func()
}

// NewScriptedLog returns an empty log without faults. ApplyRetention removes
// records that are older than retention.
func NewScriptedLog(clock kcclock.Clock, retention kcclock.Millis) *ScriptedLog {
	return &ScriptedLog{clock: clock, retention: retention}
}

// SetFaults sets the faults of the next calls, one per call. Calls after those
// succeed.
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

// BeforeAppend sets a hook that runs once, just before the next append. The log
// has no scripted faults while the hook runs.
func (l *ScriptedLog) BeforeAppend(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beforeAppend = f
}

// AfterAppend sets a hook that runs once, just after the next append. The log has
// no scripted faults while the hook runs.
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

// FirstOffset returns the offset of the oldest retained record.
func (l *ScriptedLog) FirstOffset() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstOffset
}

// ApplyDelayed appends the delayed and duplicated records.
func (l *ScriptedLog) ApplyDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendRecords(l.delayedRecords)
	l.delayedRecords = nil
}

// ApplyRetention removes the records that are older than the retention.
func (l *ScriptedLog) ApplyRetention() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.records) > 0 && l.records[0].AppendedAt+l.retention < l.clock.Now() {
		l.records = l.records[1:]
		l.firstOffset++
	}
}

// Append appends recs, subject to the next scripted fault.
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

// runHook clears *hook and runs it, if it is set, without scripted faults. It
// restores the scripted faults afterwards.
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

// Read returns records unless the next scripted fault is FaultRefuse. It ignores
// the other faults and never waits.
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
