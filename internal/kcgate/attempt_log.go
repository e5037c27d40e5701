package kcgate

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// execution is what is known about whether an upstream ran a request.
type execution string

// Values of execution, as written to the request log.
const (
	notSent  execution = "notSent"
	notRun   execution = "notRun"
	maybeRan execution = "maybeRan"
	ran      execution = "ran"
)

// responseProgress is how far a response got.
type responseProgress int

// Values of responseProgress.
const (
	noHeader responseProgress = iota
	headerOnly
	bodyStarted
)

// String returns the name that is written to the request log.
func (p responseProgress) String() string {
	return [...]string{"noHeader", "headerOnly", "bodyStarted"}[p]
}

// attempt is one attempt at one upstream.
type attempt struct {
	upstream string
	version  string
	model    string
	// estimatedLoad is the estimated number of running and waiting requests when
	// the upstream was picked.
	estimatedLoad int
	// decision tells why the version was chosen.
	decision  versionDecision
	startedAt kcclock.Millis
	tookMs    kcclock.Millis
	execution execution
	detail    string
	// confidence is the model's confidence in its answer, or -1 if it was not
	// reported.
	confidence int
	// progress is how far the response of the attempt got.
	progress responseProgress
}

// interrupted reports whether the upstream may have begun to run the request
// without sending a complete response.
func (a *attempt) interrupted() bool { return a.execution == maybeRan }

// interruptedBeforeBody reports whether an attempt was interrupted before the
// upstream sent any part of the body.
func (s attemptLog) interruptedBeforeBody() bool {
	return slices.ContainsFunc(s, func(a attempt) bool { return a.interrupted() && a.progress != bodyStarted })
}

// attemptLog holds all attempts of a request. The status of a failed request is
// derived from it alone.
type attemptLog []attempt

// mayHaveRun reports whether an upstream may have run the request.
func (s attemptLog) mayHaveRun() bool { return s.runs() > 0 }

// runs returns the number of attempts that may have run.
func (s attemptLog) runs() int {
	n := 0
	for _, x := range s {
		if x.execution == maybeRan || x.execution == ran {
			n++
		}
	}
	return n
}

// String formats the attempts for the request log.
func (s attemptLog) String() string {
	var b strings.Builder
	for i, x := range s {
		if i > 0 {
			b.WriteByte(';')
		}
		fmt.Fprintf(&b, "%s,%s,by=%s,%s,load=%d,%s,%dms",
			x.upstream, x.version, x.decision, x.model, x.estimatedLoad, x.execution, x.tookMs)
		if x.confidence >= 0 {
			fmt.Fprintf(&b, ",confidence=%d", x.confidence)
		}
		if x.interrupted() {
			b.WriteString(",interrupted=" + x.progress.String())
		}
		if x.detail != "" {
			b.WriteString("," + strings.ReplaceAll(x.detail, ";", ","))
		}
	}
	return b.String()
}

func itoa(n int) string { return strconv.Itoa(n) }
