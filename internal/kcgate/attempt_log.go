package kcgate

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// execution is what is known of a send.
type execution string

// Values of execution.
const (
	notSent  execution = "notSent"
	notRun   execution = "notRun"
	maybeRan execution = "maybeRan"
	ran      execution = "ran"
)

// send is one try at one upstream.
type attempt struct {
	upstream string
	version  string
	model    string
	// load is the estimate of running and waiting requests at the choice.
	estimatedLoad int
	// permit is the reason for the version.
	decision  versionDecision
	startedAt kcclock.Millis
	tookMs    kcclock.Millis
	execution execution
	detail    string
	// confidence is the model's opinion of its answer, -1 if it did not say.
	confidence int
}

// attemptLog holds all tries of a request. It is the only source of the status
// of a failure.
type attemptLog []attempt

// mayHaveRun reports whether a try may have run.
func (s attemptLog) mayHaveRun() bool { return s.runs() > 0 }

// runs returns the number of tries that may have run.
func (s attemptLog) runs() int {
	n := 0
	for _, x := range s {
		if x.execution == maybeRan || x.execution == ran {
			n++
		}
	}
	return n
}

// String renders the record for the log.
func (s attemptLog) String() string {
	var b strings.Builder
	for i, x := range s {
		if i > 0 {
			b.WriteByte(';')
		}
		fmt.Fprintf(&b, "%s,%s,by=%s,%s,load=%d,%s,%dms", x.upstream, x.version, x.decision, x.model, x.estimatedLoad, x.execution, x.tookMs)
		if x.confidence >= 0 {
			fmt.Fprintf(&b, ",confidence=%d", x.confidence)
		}
		if x.detail != "" {
			b.WriteString("," + strings.ReplaceAll(x.detail, ";", ","))
		}
	}
	return b.String()
}

func itoa(n int) string { return strconv.Itoa(n) }
