package kccapacity

import (
	"context"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcreplay"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const variableLoadLagMs = "ms that load reports are late"

// staleLoadFigures lists for each replay scenario the figures that stale load
// reports can change.
var staleLoadFigures = []struct {
	scenario string
	figures  []string
}{
	{"harvest/plain", []string{"costPerGood", "goodInTimeShare", "missed", "p95Ms.menu", "p95Ms.lookup"}},
	{"harvest/poolExhausted", []string{"costPerGood", "goodInTimeShare", "missed", "p95Ms.menu", "p95Ms.lookup"}},
	{"registry/flood", []string{"costPerGood", "goodInTimeShare", "missed", "p95Ms.draft", "p95Ms.summary"}},
}

// measureStaleLoad replays the same traces through the routing code of serve with
// load reports of different age.
func measureStaleLoad(_ context.Context, r *Report) error {
	for _, s := range staleLoadFigures {
		t, err := kcreplay.Generate(s.scenario, 1)
		if err != nil {
			return err
		}
		for _, lag := range []kcclock.Millis{0, 400, 5000} {
			t.Header.Environment.LoadReportDelayMs = lag
			figures := kcreplay.Run(t, kcreplay.RouterPolicy()).Metrics
			for _, name := range s.figures {
				unit := UnitCount
				if strings.HasPrefix(name, "p95Ms") {
					unit = "ms"
				}
				r.addPoint("stale."+s.scenario+"."+name, variableLoadLagMs, unit, singlePoint(float64(lag), figures[name]))
			}
		}
	}
	return nil
}
