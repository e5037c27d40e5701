package kcentry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcchat"
	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kcprice"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// classMetadataKey is the key in the request metadata that names the request class.
const classMetadataKey = "class"

func (s *Server) chatPipeline() []Filter {
	return []Filter{
		s.authenticate, s.readBody, s.parseChat, s.setDeadline, s.verifySession,
		s.checkBillCapacity, s.quotePrice, s.enforceLimits, s.openIdempotentBill, s.dispatchChat,
	}
}

// chatCopies is the number of copies of a body that are made of a chat request: the
// messages, all fields, and the body for the engine with the buffer that it is
// encoded in.
const chatCopies = 4

func (s *Server) parseChat(ctx context.Context, ex *Exchange) *kcapi.Error {
	caller, size := kcledger.CallerOf(ctx), int64(len(ex.Body))
	if caller.Hold(chatCopies*size) != nil {
		return memoryError(ex)
	}
	req, err := kcchat.Parse(ex.Body)
	// The fields of the request are copies.
	ex.Body = nil
	caller.Release(size)
	if err != nil {
		return kcapi.NewError(http.StatusBadRequest, kcapi.CodeInvalidRequest, kcapi.NotRun, "chat request: "+err.Error())
	}
	ex.Chat = req
	ex.Class = kcrules.DefaultClass
	if c := req.Metadata[classMetadataKey]; c != "" {
		ex.Class = kcrules.Class(c)
	}
	return nil
}

func (s *Server) verifySession(_ context.Context, ex *Exchange) *kcapi.Error {
	token := ex.R.Header.Get(kcapi.HeaderSession)
	if token == "" {
		return nil
	}
	b, err := s.Sessions.Verify(ex.WorkspaceName, token)
	if err != nil {
		return kcapi.NewError(http.StatusBadRequest, kcapi.CodeSessionInvalid, kcapi.NotRun, err.Error())
	}
	if _, ok := s.Rules.Rules().Versions[b.Version]; !ok {
		ex.Session = b.Version
		return routeError(kcapi.CodeSessionVersionWithdrawn, ex)
	}
	name, _, _ := strings.Cut(b.Version, "@")
	if m := ex.Chat.Model; m != kcchat.ModelAuto && m != name && m != b.Version {
		return kcapi.NewError(http.StatusBadRequest, kcapi.CodeSessionInvalid, kcapi.NotRun,
			"the session is bound to "+b.Version+", which is not the model of the request")
	}
	ex.Session = b.Version
	return nil
}

// quotePrice chooses the route and fixes the price.
func (s *Server) quotePrice(_ context.Context, ex *Exchange) *kcapi.Error {
	choice := s.chooseRoute(ex)
	if choice.Version == "" {
		return routeError(choice.Code, ex)
	}
	ex.plan, ex.startMarginMs = choice.Plan, choice.ReserveMs
	ex.Price = kcprice.NewQuote(s.Rules.Rules().PriceList, choice.Plan.Cost, ex.Deadline-ex.Received).Amount
	if ex.job != nil {
		ex.Price = ex.job.Price
	}
	ex.W.Header().Set(kcapi.HeaderPrice, strconv.FormatInt(ex.Price, 10))
	return nil
}

func (s *Server) chooseRoute(ex *Exchange) kcroute.Choice {
	return s.routingState.chooseRoute(kcroute.Request{
		ID: ex.ID, Workspace: ex.Workspace, Class: ex.Class, Model: ex.Chat.Model, SessionVersion: ex.Session,
		PromptTokens: ex.Chat.EstimatePromptTokens(), OutputTokens: ex.Chat.OutputLimit(), Deadline: ex.Deadline,
		Admitted: ex.plan.First != "", Cascade: true, Explore: true,
	}, func(version string) (kcclock.Millis, bool) {
		// Requests of sessions and requests that are already admitted do not wait
		// behind the queue.
		return s.estimateWait(version, ex.Session == "" && ex.plan.First == "")
	})
}

func routeError(code kcapi.Code, ex *Exchange) *kcapi.Error {
	switch code {
	case kcapi.CodeNoUpstream:
		return kcapi.NewError(http.StatusServiceUnavailable, code, ex.Execution,
			"no live upstream serves the request").WithRetryAfter(kcclock.Second)
	case kcapi.CodeDeadlineUnreachable:
		return kcapi.NewError(http.StatusServiceUnavailable, code, ex.Execution,
			"no version can answer before the deadline of the request")
	case kcapi.CodeVersionNotAllowed:
		return kcapi.NewError(http.StatusForbidden, code, ex.Execution, "the workspace may not use model "+ex.Chat.Model)
	case kcapi.CodeVersionWithdrawn:
		return kcapi.NewError(http.StatusConflict, code, ex.Execution, "model "+ex.Chat.Model+" takes no new work")
	case kcapi.CodeSessionVersionWithdrawn:
		return kcapi.NewError(http.StatusConflict, code, ex.Execution,
			"version "+ex.Session+" of this session is withdrawn; start a new session")
	default:
		return kcapi.NewError(http.StatusNotFound, kcapi.CodeUnknownModel, ex.Execution, "no model "+ex.Chat.Model)
	}
}

// maxEngineMessageBytes bounds the part of an engine's error message that is
// returned to the caller.
const maxEngineMessageBytes = 500

// engineErrorMessage extracts the message from an engine's error body. It falls
// back to the raw body.
func engineErrorMessage(body []byte) string {
	var e struct {
		Message string `json:"message"`
		Error   struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	text := string(body)
	if json.Unmarshal(body, &e) == nil && e.Error.Message+e.Message != "" {
		text = e.Error.Message + e.Message
	}
	return strings.ToValidUTF8(text[:min(len(text), maxEngineMessageBytes)], "")
}
