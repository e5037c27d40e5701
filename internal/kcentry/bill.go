package kcentry

import (
	"context"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// billing is how far the bill of an exchange is.
type billState int

const (
	// billNotOpened is the state before the bill is opened. Exchanges of jobs stay
	// in it, because the bill of a job follows from the record of its end.
	billNotOpened billState = iota
	billOpened
	billClosed
)

// checkBillCapacity refuses billable work that cannot be billed.
func (s *Server) checkBillCapacity(_ context.Context, ex *Exchange) *kcapi.Error {
	if ex.job == nil && s.Ledger.Full() {
		return billBacklogError(kcapi.NotRun)
	}
	return nil
}

// openIdempotentBill is the filter that opens the bill of idempotent work, without a
// wait. A copy is with a peer before the first byte of the answer.
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

// openNonIdempotentBill opens the bill of an operation that may not be repeated and waits
// for the copy, because an operation that was sent is billed even if this
// instance is lost.
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

// closeBill ends the bill; only the first end counts.
func (s *Server) closeBill(ex *Exchange, amount int64) {
	if ex.billState == billOpened {
		ex.billState = billClosed
		s.Ledger.Close(ex.ID, ex.Version, amount, ex.Execution)
	}
}

// closeUndeliveredBill ends the bill of an exchange that delivered no whole answer. It costs
// nothing, unless an operation that may not be repeated may have run.
func (s *Server) closeUndeliveredBill(ex *Exchange) {
	if ex.nonIdempotent && ex.Execution != kcapi.NotRun {
		s.closeBill(ex, ex.Price)
		return
	}
	s.closeBill(ex, 0)
}

// closeDeliveredBill ends the bill of a whole answer at its price and waits until
// the bill is safe. If that does not happen before the deadline, the answer is
// withheld and costs nothing.
func (s *Server) closeDeliveredBill(ctx context.Context, ex *Exchange) *kcapi.Error {
	s.closeBill(ex, ex.Price)
	if s.awaitBillDurable(ctx, ex) == nil || !s.Ledger.Void(ex.ID) {
		return nil
	}
	return billBacklogError(kcapi.Completed)
}

// awaitBillDurable waits until the loss of this instance cannot change what the
// exchange costs, at the latest until its deadline.
func (s *Server) awaitBillDurable(ctx context.Context, ex *Exchange) error {
	if ex.billState == billNotOpened || s.Ledger.Safe(ex.ID) {
		return nil
	}
	ctx, cancel := kcclock.WithTimeout(ctx, s.Clock, max(ex.Deadline-s.Clock.Now(), 1))
	defer cancel()
	return s.Ledger.Await(ctx, ex.ID)
}

// awaitStreamBill waits before the first byte of a streamed answer, with which the
// caller learns the request id.
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
