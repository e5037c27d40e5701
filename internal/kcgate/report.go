package kcgate

import (
	"fmt"
	"log/slog"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxLoggedSessionBytes bounds the logged part of a session name, because callers
// choose the name.
const maxLoggedSessionBytes = 64

// truncateSession returns the part of a session name that is logged.
func truncateSession(session string) string {
	return session[:min(len(session), maxLoggedSessionBytes)]
}

// maxLoggedParts bounds the number of logged prompt parts of a request.
const maxLoggedParts = 16

// formatParts formats the hashes of prompt parts. The ids are hashed because
// callers choose them.
func formatParts(parts []PromptPart) string {
	var b strings.Builder
	for i, part := range parts[:min(len(parts), maxLoggedParts)] {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%016x", xxhash.Sum64String(part.ID))
	}
	return b.String()
}

// logRequest writes the log line of a request and updates the metrics.
func (x *exchange) logRequest() {
	took := x.g.Clock.Now() - x.receivedAt
	route, version := "", int64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.table != nil {
		version = x.table.Version
	}
	x.g.Metrics.Count("requests." + itoa(x.status))
	x.g.Metrics.Observe("requestMs", took)
	attrs := []slog.Attr{
		slog.String("request", x.meta.ID), slog.String("route", route), slog.String("workspace", x.workspace),
		slog.Int("status", x.status), slog.Int64("ms", int64(took)),
		slog.Int64("config", version), slog.Int64("configAgeMs", int64(x.configAge)),
	}
	if x.meta.Session != "" {
		attrs = append(attrs, slog.String("session", truncateSession(x.meta.Session)))
	}
	if x.firstEventAt > 0 {
		first := x.firstEventAt - x.receivedAt
		x.g.Metrics.Observe("firstEventMs", first)
		attrs = append(attrs, slog.Int64("firstEventMs", int64(first)))
	}
	if x.reason != "" {
		attrs = append(attrs, slog.String("reason", x.reason))
	}
	if x.meta.PromptTokens > 0 {
		attrs = append(attrs, slog.Int("promptTokens", x.meta.PromptTokens), slog.Int("outputTokens", x.meta.OutputTokens))
	}
	if len(x.attempts) > 0 {
		attrs = append(attrs, slog.String("sends", x.attempts.String()))
	}
	if len(x.meta.PromptParts) > 0 && x.attempts.interruptedBeforeBody() {
		attrs = append(attrs, slog.String("parts", formatParts(x.meta.PromptParts)))
	}
	x.g.Log.LogAttrs(x.r.Context(), slog.LevelInfo, "request", attrs...)
}
