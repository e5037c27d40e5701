package kcentry

import (
	"log/slog"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// logRequest updates the metrics and writes the log line of a completed
// request. Error messages for the caller are not logged, because they can
// contain parts of the request.
func (s *Server) logRequest(ex *Exchange, failure *kcapi.Error) {
	now := s.Clock.Now()
	s.Metrics.Count("requests")
	s.recordLatencies(ex, now)
	attrs := make([]slog.Attr, 0, 12)
	attrs = append(
		attrs,
		slog.String("requestId", ex.ID), slog.String("workspace", ex.WorkspaceName),
		slog.String("endpoint", ex.R.Pattern), slog.String("version", ex.Version),
		slog.Int64("price", ex.Price), slog.Int64("elapsedMs", int64(now-ex.Received)),
	)
	if failure != nil {
		s.Metrics.CountRefusal(string(failure.Code))
	} else {
		failure = ex.StreamError
	}
	level := slog.LevelInfo
	if failure != nil {
		attrs = append(attrs, slog.Int("status", failure.Status), slog.String("code", string(failure.Code)),
			slog.String("execution", string(failure.Execution)))
		if failure.Execution == kcapi.Unknown {
			level = slog.LevelWarn
		}
	}
	if ex.Cause != nil {
		attrs = append(attrs, slog.String("cause", ex.Cause.Error()))
	}
	s.Log.LogAttrs(ex.R.Context(), level, "request", attrs...)
}

// recordLatencies records the total latency of a request, the overhead before the
// dispatch and the time to the first event.
func (s *Server) recordLatencies(ex *Exchange, now kcclock.Millis) {
	s.Metrics.Observe("requests.latencyMs", now-ex.Received)
	if ex.dispatchOverhead > 0 {
		s.Metrics.ObserveMicros("requests.overheadUs", ex.dispatchOverhead)
	}
	if ex.firstEventAt > 0 {
		s.Metrics.Observe("requests.firstTokenMs", ex.firstEventAt-ex.Received)
	}
}
