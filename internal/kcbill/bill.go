// Package kcbill bills each request exactly once.
//
// A bill is opened with its fixed price before the dispatch and closed with
// the final execution. Until it is in the log, a peer in another availability
// zone holds a copy and appends it if the sender disappears.
package kcbill

import (
	"fmt"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// KindBill is the kind of a bill record.
const KindBill = "bill"

// State tells how much is known about the end of the request.
type State string

// Values of State.
const (
	// Opened bills belong to requests that may still be running.
	Opened State = "opened"
	// Interrupted bills belong to requests whose instance was lost.
	Interrupted State = "interrupted"
	// Closed bills are final unless they are voided.
	Closed State = "closed"
	// Voided bills cost nothing: the answer was ready, but was withheld because
	// the closed bill could not be made safe in time.
	Voided State = "voided"
)

// Bill is the body of a bill record. Readers count one per request id; see
// Supersedes.
type Bill struct {
	RequestID string `json:"requestId"`
	// Group chooses the stream: the instance that opened the bill, or the job.
	// It is the same for every record of a request id, so that one stream
	// holds them all and a batch of an instance is one append.
	Group     string `json:"group"`
	Workspace string `json:"workspace"`
	// Version is name@version, or service/operation for plain services.
	Version string `json:"version"`
	State   State  `json:"state"`
	// Price is the quoted price in micro-units of currency.
	Price int64 `json:"price"`
	// Amount is what the workspace pays: Price or 0. While the bill is opened,
	// it is what an interrupted request costs.
	Amount    int64           `json:"amount"`
	Execution kcapi.Execution `json:"execution"`
	// Deadline is the latest time for the end of the request.
	Deadline kcclock.Millis `json:"deadline"`
	At       kcclock.Millis `json:"at"`
}

// NewOpened completes a bill before the dispatch. An interrupted operation
// that may not be repeated costs its price, because it may have run; other
// work whose answer was not delivered costs nothing.
func NewOpened(b Bill, repeatable bool) Bill {
	b.State, b.Execution, b.Amount = Opened, kcapi.Unknown, b.Price
	if repeatable {
		b.Amount = 0
	}
	return b
}

// rank orders the states by how much the writer knew.
func (s State) precedence() int {
	switch s {
	case Voided:
		return 2
	case Closed:
		return 1
	default:
		return 0
	}
}

// final reports whether the sender has ended the bill.
func (s State) isFinal() bool { return s.precedence() > 0 }

// Supersedes reports whether b counts instead of prev, an earlier record of
// the same request id in the same stream. Closed and voided bills come from
// the sender, who knows the end, and count instead of opened and interrupted
// ones; a voided bill counts instead of a closed one; otherwise the earlier
// record counts. The rule does not depend on who appended the record.
func (b Bill) Supersedes(prev Bill) bool { return b.State.precedence() > prev.State.precedence() }

// Record returns the record of b. Equal states have equal ids, whoever
// appends them.
func (b Bill) Record() kclog.NewRecord {
	return kclog.Encode("bill-"+string(b.State)+"-"+b.RequestID, KindBill, b)
}

// Stream returns the name of the stream that holds the bills of a group.
func Stream(group string, shards int) string {
	return fmt.Sprintf("bills-%02d", kcset.Shard(group, shards))
}

func compareByRequestID(a, b Bill) int { return strings.Compare(a.RequestID, b.RequestID) }
