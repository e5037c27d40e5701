package kcentry

import (
	"context"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// billState is the state of the bill of an exchange.
type billState int

const (
	// billNotOpened is the initial state. Exchanges of jobs stay in it, because
	// the bill of a job is derived from the log record of its completion.
	billNotOpened billState = iota
	billOpened
	billClosed
)

// checkBillCapacity rejects billable requests while the ledger accepts no new bills.
func (s *Server) checkBillCapacity(_ context.Context, ex *Exchange) *kcapi.Error {
	if ex.job == nil && s.Ledger.Full() {
		return billBacklogError(kcapi.NotRun)
	}
	return nil
}

// openIdempotentBill is the filter that opens the bill of an idempotent request
// without waiting for its replication. The bill is durable before the first
// byte of the response is sent.
func (s *Server) openIdempotentBill(_ context.Context, ex *Exchange) *kcapi.Error {
	return s.openLedgerBill(ex, true)
}

func (s *Server) openLedgerBill(ex *Exchange, idempotent bool) *kcapi.Error {
	if ex.job != nil {
		return nil
	}
	err := s.Ledger.Open(kcbill.Bill{
		RequestID: ex.ID, Workspace: ex.WorkspaceName, Version: ex.Version,
		Price: ex.Price, Deadline: ex.Deadline, At: s.Clock.Now(),
	}, idempotent)
	if err != nil {
		return billBacklogError(kcapi.NotRun)
	}
	ex.billState = billOpened
	return nil
}

// openNonIdempotentBill opens the bill of a non-idempotent operation and waits
// until it is durable, because an operation that was sent is billed even if
// this instance crashes.
func (s *Server) openNonIdempotentBill(ctx context.Context, ex *Exchange) *kcapi.Error {
	ex.nonIdempotent = true
	if err := s.openLedgerBill(ex, false); err != nil {
		return err
	}
	if s.awaitBillDurable(ctx, ex) != nil {
		return billBacklogError(kcapi.NotRun)
	}
	return nil
}

// closeBill closes the bill with the amount, in micro-units. Only the first call
// has an effect.
func (s *Server) closeBill(ex *Exchange, amount int64) {
	if ex.billState == billOpened {
		ex.billState = billClosed
		s.Ledger.Close(ex.ID, ex.Version, amount, ex.Execution)
	}
}

// settleBill closes a bill that closeDeliveredBill has not closed. The amount is
// 0, unless a non-idempotent operation may have run, which costs its price.
func (s *Server) settleBill(ex *Exchange) {
	if ex.nonIdempotent && ex.Execution != kcapi.NotRun {
		s.closeBill(ex, ex.Price)
		return
	}
	s.closeBill(ex, 0)
}

// closeDeliveredBill closes the bill of a complete response at its price and
// waits until the bill is durable. If that takes until the deadline, the bill
// is voided and the response is withheld.
func (s *Server) closeDeliveredBill(ctx context.Context, ex *Exchange) *kcapi.Error {
	s.closeBill(ex, ex.Price)
	if s.awaitBillDurable(ctx, ex) == nil || !s.Ledger.Void(ex.ID) {
		return nil
	}
	return billBacklogError(kcapi.Completed)
}

// awaitBillDurable waits until a crash of this instance can no longer change
// what the exchange costs: the bill is in the log or a peer holds a copy. The
// wait ends at the deadline of the exchange at the latest.
func (s *Server) awaitBillDurable(ctx context.Context, ex *Exchange) error {
	if ex.billState == billNotOpened || s.Ledger.Safe(ex.ID) {
		return nil
	}
	ctx, cancel := kcclock.WithTimeout(ctx, s.Clock, max(ex.Deadline-s.Clock.Now(), 1))
	defer cancel()
	return s.Ledger.Await(ctx, ex.ID)
}

// awaitStreamBill waits until the bill is durable. It is called before the first
// byte of a streamed response, because that byte discloses the request id to
// the caller.
func (s *Server) awaitStreamBill(ex *Exchange) error {
	if ex.billState == billNotOpened {
		return nil
	}
	return s.awaitBillDurable(ex.R.Context(), ex)
}

func billBacklogError(execution kcapi.Execution) *kcapi.Error {
	return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeBillBacklog, execution,
		"too many bills wait for the log, or neither the log nor a peer can be reached").WithRetryAfter(kcclock.Second)
}
