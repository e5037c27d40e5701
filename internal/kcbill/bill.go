// Package kcbill bills each request exactly once.
//
// A bill is opened with its fixed price before the request is dispatched and
// closed with the final execution state. Until the bill is in the log, a peer
// in another availability zone holds a copy. The peer appends the copy to the
// log if the instance that opened the bill fails.
package kcbill

import (
	"fmt"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// KindBill is the record kind of bills.
const KindBill = "bill"

// State is the stage of a bill. It tells what is known about the outcome of the
// request.
type State string

// Values of State.
const (
	// Opened bills belong to requests that may still be running.
	Opened State = "opened"
	// Interrupted bills belong to requests whose instance failed before it closed
	// the bill.
	Interrupted State = "interrupted"
	// Closed bills are final unless they are voided later.
	Closed State = "closed"
	// Voided bills cost nothing. The answer was ready but was withheld, because the
	// closed bill could not be made durable in time.
	Voided State = "voided"
)

// Bill is the body of a bill record. Readers count one record per request id;
// see Supersedes.
type Bill struct {
	RequestID string `json:"requestId"`
	// Group selects the stream. It is the id of the instance that opened the bill,
	// or of the job. All records of a request id have the same group, so one stream
	// holds them all, and an instance can write a batch in one append.
	Group     string `json:"group"`
	Workspace string `json:"workspace"`
	// Version is name@version, or service/operation for plain services.
	Version string `json:"version"`
	State   State  `json:"state"`
	// Price is the quoted price in micro-units of currency.
	Price int64 `json:"price"`
	// Amount is what the workspace pays: Price or 0. In an opened bill, it is the
	// charge if the request is interrupted.
	Amount    int64           `json:"amount"`
	Execution kcapi.Execution `json:"execution"`
	// Deadline is the latest time at which the request can end.
	Deadline kcclock.Millis `json:"deadline"`
	At       kcclock.Millis `json:"at"`
}

// NewOpened returns the bill to open before the dispatch. An interrupted
// operation that must not be repeated costs its price, because it may have run.
// Any other work whose answer was not delivered costs nothing.
func NewOpened(b Bill, repeatable bool) Bill {
	b.State, b.Execution, b.Amount = Opened, kcapi.Unknown, b.Price
	if repeatable {
		b.Amount = 0
	}
	return b
}

// precedence orders the states by how much the writer of the record knew.
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

// isFinal reports whether the sender has ended the bill.
func (s State) isFinal() bool { return s.precedence() > 0 }

// Supersedes reports whether b replaces prev, an earlier record of the same
// request id in the same stream. A closed or voided bill comes from the sender,
// which knows the outcome, and replaces an opened or interrupted one. A voided
// bill replaces a closed one. Otherwise the earlier record stays in effect. The
// rule does not depend on which instance appended the record.
func (b Bill) Supersedes(prev Bill) bool { return b.State.precedence() > prev.State.precedence() }

// Record returns the log record of b. The record id depends only on the state
// and the request id, not on the instance that appends it.
func (b Bill) Record() kclog.NewRecord {
	return kclog.Encode("bill-"+string(b.State)+"-"+b.RequestID, KindBill, b)
}

// Stream returns the name of the stream for the bills of a group.
func Stream(group string, shards int) string {
	return fmt.Sprintf("bills-%02d", kcset.Shard(group, shards))
}

func compareByRequestID(a, b Bill) int { return strings.Compare(a.RequestID, b.RequestID) }
