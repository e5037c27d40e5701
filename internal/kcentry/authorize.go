package kcentry

import (
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// DispatchAttributes describes a dispatch for AuthorizeDispatch.
type DispatchAttributes struct {
	Workspace string
	Class     kcrules.Class
	// Version is name@version, or "" for calls to plain services.
	Version string
	// Session is true if the request belongs to a session bound to the version.
	Session bool
	// Service and Operation are set for calls to plain services.
	Service   string
	Operation string
}

// AuthorizeDispatch checks a dispatch against the newest known rules. Every path
// must call it immediately before each dispatch: first attempt, retry, hedged
// call, cascade step, job, session turn and resumed stream that starts over. It
// returns the error code and a message if the dispatch is rejected, or "".
func (s *Server) AuthorizeDispatch(w DispatchAttributes) (code kcapi.Code, message string) {
	rules := s.Rules.Rules()
	class, ok := rules.Classes[w.Class]
	if !ok {
		class = rules.Classes[kcrules.DefaultClass]
	}
	if s.RulesFresh != nil && class.WhenStale != kcrules.WhenStaleServe && !s.RulesFresh() {
		return kcapi.CodeStaleConfiguration, "this instance cannot tell whether its rules are current"
	}
	workspace, ok := rules.Workspaces[w.Workspace]
	if !ok {
		return kcapi.CodeUnauthorized, "the workspace was removed"
	}
	if w.Version == "" {
		if _, ok := rules.Services[w.Service].Operations[w.Operation]; !ok {
			return kcapi.CodeUnknownOperation, "service " + w.Service + " has no operation " + w.Operation
		}
		return "", ""
	}
	version, ok := rules.Versions[w.Version]
	switch {
	case !workspace.Allows(w.Version):
		return kcapi.CodeVersionNotAllowed, "the workspace may not use " + w.Version
	case ok && version.State == kcrules.Active, ok && w.Session && version.State == kcrules.Draining:
		return "", ""
	case w.Session:
		return kcapi.CodeSessionVersionWithdrawn, "version " + w.Version + " of this session is withdrawn; start a new session"
	default:
		return kcapi.CodeVersionWithdrawn, "version " + w.Version + " takes no new work"
	}
}

// authorizeDispatch returns the error for the caller if the dispatch of the
// request is rejected, or nil.
func (s *Server) authorizeDispatch(ex *Exchange) *kcapi.Error {
	code, message := s.AuthorizeDispatch(dispatchAttributesOf(ex))
	if code == "" {
		return nil
	}
	status := http.StatusConflict
	switch code {
	case kcapi.CodeStaleConfiguration:
		status = http.StatusServiceUnavailable
	case kcapi.CodeUnauthorized:
		status = http.StatusUnauthorized
	case kcapi.CodeVersionNotAllowed:
		status = http.StatusForbidden
	case kcapi.CodeUnknownOperation:
		status = http.StatusNotFound
	}
	e := kcapi.NewError(status, code, ex.Execution, message)
	if code == kcapi.CodeStaleConfiguration {
		e = e.WithRetryAfter(kcclock.Second)
	}
	return e
}

func dispatchAttributesOf(ex *Exchange) DispatchAttributes {
	w := DispatchAttributes{Workspace: ex.WorkspaceName, Class: ex.Class, Version: ex.Version, Session: ex.Session != ""}
	if ex.Chat == nil {
		w.Version, w.Service, w.Operation = "", ex.R.PathValue("service"), ex.R.PathValue("operation")
	}
	return w
}
