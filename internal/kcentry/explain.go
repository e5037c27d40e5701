package kcentry

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"text/tabwriter"

	"github.com/kingcuprail/kingcuprail/internal/kcchat"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// explain handles GET /explain. It reports how this instance would currently
// route a request with the query parameters workspace, class, model,
// promptTokens, outputTokens, maxWaitMs and id. All but workspace have defaults.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	workspace, ok := s.Rules.Rules().Workspaces[q.Get("workspace")]
	if !ok {
		http.Error(w, "no workspace "+strconv.Quote(q.Get("workspace")), http.StatusNotFound)
		return
	}
	req := kcroute.Request{
		ID: q.Get("id"), Workspace: workspace, Class: kcrules.DefaultClass, Model: kcchat.ModelAuto, Cascade: true,
		PromptTokens: 1000, OutputTokens: kcchat.DefaultMaxTokens,
	}
	if c := q.Get("class"); c != "" {
		req.Class = kcrules.Class(c)
	}
	if m := q.Get("model"); m != "" {
		req.Model = m
	}
	wait := int(s.Limits.DefaultMaxWaitMs)
	for name, n := range map[string]*int{
		"promptTokens": &req.PromptTokens, "outputTokens": &req.OutputTokens, "maxWaitMs": &wait,
	} {
		if v := q.Get(name); v != "" {
			x, err := strconv.Atoi(v)
			if err != nil || x < 0 {
				http.Error(w, name+" must be a number that is not negative", http.StatusBadRequest)
				return
			}
			*n = x
		}
	}
	req.Deadline = s.Clock.Now() + kcclock.Millis(wait)
	writeChoice(w, s.routingState.chooseRoute(req, func(version string) (kcclock.Millis, bool) {
		return s.estimateWait(version, true)
	}))
}

// writeChoice writes the candidate versions and the plans of a choice as tables,
// with the reason for or against each.
func writeChoice(w io.Writer, c kcroute.Choice) {
	if c.Version == "" {
		_, _ = fmt.Fprintf(w, "refused: %s\n\n", c.Code)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "version\tcost\texpected quality\texpected wait ms\texpected run ms\treason against")
	for _, candidate := range c.Candidates {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.3f\t%d\t%d\t%s\n", candidate.Version, candidate.Cost, candidate.Quality,
			candidate.WaitMs, candidate.RunMs, candidate.Rejected)
	}
	_, _ = fmt.Fprintln(t, "\nway\texpected cost\texpected quality\tmeets target\texpected ms\treason against")
	for _, p := range c.Plans {
		versions, reason := p.First, p.RejectReason
		if p.Second != "" {
			versions += " > " + p.Second
		}
		if p.Chain == c.Plan.Chain && c.Version != "" {
			reason = "taken"
		}
		_, _ = fmt.Fprintf(t, "%s\t%.0f\t%.3f\t%v\t%d\t%s\n", versions, p.Cost, p.Quality, p.MeetsTarget, p.TimeMs, reason)
	}
	_ = t.Flush()
}
