package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/internal/kcjob"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

type billsCommand struct {
	Settings string `placeholder:"FILE" help:"Settings file that names the log and the number of shards."`
	LogURL   string `name:"log" placeholder:"URL" help:"Base URL of the log; overrides the settings file."`
	Check    bool   `help:"Compare with claims and jobs; fail on gaps, doubles and wrong amounts."`
	JSON     bool   `name:"json" help:"Print JSON."`
	GraceMs  int64  `default:"60000" help:"Time in milliseconds after the deadline of a request until its bill is due."`
}

// unlimitedClaimWindowMs is longer than the retention of any log, so that no
// claim in the log counts as expired.
const unlimitedClaimWindowMs = 100 * 365 * kcclock.Day

// billsReport is the output of the bills command.
type billsReport struct {
	Bills int `json:"bills"`
	// Repeated is the number of duplicate records, which are ignored.
	Repeated   int              `json:"repeated"`
	Unreadable int              `json:"unreadable"`
	Totals     []kcbill.Total   `json:"totals"`
	Check      *kcbill.Findings `json:"check,omitempty"`
}

// Run prints the bills in the log per workspace and version.
func (c *billsCommand) Run(e *commandEnv) error {
	set := kcsettings.Defaults()
	if c.Settings != "" {
		loaded, err := kcsettings.Load(c.Settings)
		if err != nil {
			return err
		}
		set = loaded
	}
	if c.LogURL != "" {
		set.Platform.Log = c.LogURL
	}
	if set.Platform.Log == "" {
		return errs.New("no log to read; name it with --settings FILE or --log URL")
	}
	transport := kcresponse.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})
	log := &kclog.Client{BaseURL: set.Platform.Log, HTTP: &http.Client{Transport: transport}}
	report, err := c.buildReport(e.ctx, log, set.Timing.Shards)
	if err != nil {
		return errs.New("cannot read the bills: %v", err)
	}
	if err := c.printReport(e.stdout, report); err != nil {
		return err
	}
	if report.Check != nil && report.Check.Any() {
		return errs.New("%d requests without a bill, %d doubled bills, %d wrong amounts",
			len(report.Check.Gaps), len(report.Check.Duplicates), len(report.Check.WrongAmounts))
	}
	return nil
}

func (c *billsCommand) buildReport(ctx context.Context, log kclog.Log, shards int) (billsReport, error) {
	// Claims and jobs are read first, because bills are written after them.
	var expected []kcbill.ExpectedBill
	if c.Check {
		for shard := range shards {
			more, err := c.readExpectedBills(ctx, log, shard)
			if err != nil {
				return billsReport{}, err
			}
			expected = append(expected, more...)
		}
	}
	book := kcbill.NewIndex()
	var now kcclock.Millis
	for shard := range shards {
		stream := fmt.Sprintf("bills-%02d", shard)
		at, err := kcbill.ReadStream(ctx, log, stream, func(r kclog.Record) { book.Fold(stream, r) })
		if err != nil {
			return billsReport{}, err
		}
		now = max(now, at)
	}
	report := billsReport{
		Bills: len(book.All()), Repeated: book.Repeated, Unreadable: book.Unreadable, Totals: book.Totals(),
	}
	if c.Check {
		findings := book.Audit(now, expected)
		report.Check = &findings
	}
	return report, nil
}

// readExpectedBills returns the bills that the claims and ended jobs of one
// shard require.
func (c *billsCommand) readExpectedBills(ctx context.Context, log kclog.Log, shard int) ([]kcbill.ExpectedBill, error) {
	out, err := c.readClaimedRequests(ctx, log, fmt.Sprintf("claims-%02d", shard))
	if err != nil {
		return nil, err
	}
	err = kcjob.ForEachEnded(ctx, log, kcjob.Stream(shard), func(j kcjob.Job, end kcjob.End, at kcclock.Millis) {
		out = append(out, kcbill.ExpectedBill{
			RequestID: j.RequestID, Source: "job " + j.ID, Amounts: []int64{kcjob.Bill(j, end, at).Amount},
			Due: at + kcclock.Millis(c.GraceMs),
		})
	})
	return out, err
}

// readClaimedRequests returns the bills that the claims of one stream require.
// Only the claim that holds its idempotency key counts: the others did not run.
func (c *billsCommand) readClaimedRequests(ctx context.Context, log kclog.Log, stream string) ([]kcbill.ExpectedBill, error) {
	book := kcclaim.NewShardState(kcclaim.ShardStateOptions{WindowMs: unlimitedClaimWindowMs, MaxAnswerBytes: 1})
	var claims []kcclaim.Claim
	_, err := kcbill.ReadStream(ctx, log, stream, func(r kclog.Record) {
		book.Fold(r)
		var claim kcclaim.Claim
		if r.Kind == kcclaim.KindClaim && json.Unmarshal(r.Body, &claim) == nil {
			claims = append(claims, claim)
		}
	})
	if err != nil {
		return nil, err
	}
	var out []kcbill.ExpectedBill
	for _, claim := range claims {
		entry := book.Lookup(claim.Key)
		if entry == nil || entry.Holder.Attempt != claim.Attempt {
			continue
		}
		source := "the claim of " + claim.Service + "/" + claim.Operation
		if entry.Outcome == nil {
			source += ", which has no outcome: it was never sent, or its bill was lost"
		}
		e := kcbill.ExpectedBill{
			RequestID: claim.RequestID, Source: source, Amounts: []int64{claim.Price},
			Due: claim.Deadline + kcclock.Millis(c.GraceMs),
		}
		if entry.Outcome == nil || entry.Outcome.Execution != kcapi.Completed {
			e.Amounts = append(e.Amounts, 0)
		}
		out = append(out, e)
	}
	return slices.CompactFunc(out, func(a, b kcbill.ExpectedBill) bool { return a.RequestID == b.RequestID }), nil
}

func (c *billsCommand) printReport(w io.Writer, r billsReport) error {
	if c.JSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	for _, t := range r.Totals {
		_, _ = fmt.Fprintf(w, "workspace=%s version=%s bills=%d amount=%d free=%d running=%d\n",
			t.Workspace, t.Version, t.Count, t.Amount, t.Free, t.Running)
	}
	_, err := fmt.Fprintf(w, "bills=%d repeated=%d unreadable=%d\n", r.Bills, r.Repeated, r.Unreadable)
	if r.Check == nil {
		return err
	}
	for _, list := range []struct {
		name     string
		findings []kcbill.Finding
	}{{"gap", r.Check.Gaps}, {"double", r.Check.Duplicates}, {"wrongAmount", r.Check.WrongAmounts}} {
		for _, f := range list.findings {
			_, _ = fmt.Fprintf(w, "%s requestId=%s stream=%s reason=%q\n", list.name, f.RequestID, f.Stream, f.Reason)
		}
	}
	_, err = fmt.Fprintf(w, "gaps=%d doubles=%d wrongAmounts=%d recent=%d\n",
		len(r.Check.Gaps), len(r.Check.Duplicates), len(r.Check.WrongAmounts), r.Check.Recent)
	return err
}
