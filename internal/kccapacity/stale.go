package kccapacity

import (
	"context"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcreplay"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const ofLag = "ms that load reports are late"

// staleFigures are the figures of a replay that old load reports can change,
// by scenario.
var staleFigures = []struct {
	scenario string
	figures  []string
}{
	{"harvest/plain", []string{"costPerGood", "goodInTimeShare", "missed", "p95Ms.menu", "p95Ms.lookup"}},
	{"harvest/poolExhausted", []string{"costPerGood", "goodInTimeShare", "missed", "p95Ms.menu", "p95Ms.lookup"}},
	{"registry/flood", []string{"costPerGood", "goodInTimeShare", "missed", "p95Ms.draft", "p95Ms.summary"}},
}

// measureStale replays the same traces with load reports of different age
// against the decision code of serve.
func measureStale(_ context.Context, r *Report) error {
	for _, s := range staleFigures {
		t, err := kcreplay.Generate(s.scenario, 1)
		if err != nil {
			return err
		}
		for _, lag := range []kcclock.Millis{0, 400, 5000} {
			t.Header.Environment.LoadReportDelayMs = lag
			figures := kcreplay.Run(t, kcreplay.RouterPolicy()).Metrics
			for _, name := range s.figures {
				unit := Count
				if strings.HasPrefix(name, "p95Ms") {
					unit = "ms"
				}
				r.add("stale."+s.scenario+"."+name, ofLag, unit, one(float64(lag), figures[name]))
			}
		}
	}
	return nil
}
