package kcstandin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Register adds the endpoints of the log to mux.
func (l *Log) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.serveRead)
	mux.HandleFunc("PUT /standin/log/faults", func(w http.ResponseWriter, r *http.Request) {
		var f LogFaults
		if decodeJSON(w, r, &f) {
			l.SetFaults(f)
		}
	})
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Records []kclog.NewRecord `json:"records"`
	}
	if !decodeJSON(w, r, &body) {
		return
	}
	first, err := l.Append(r.Context(), r.PathValue("stream"), body.Records)
	if writeLogError(w, err) {
		return
	}
	writeJSON(w, struct {
		FirstOffset int64 `json:"firstOffset"`
	}{first})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("max"))
	wait, err3 := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := l.Read(r.Context(), r.PathValue("stream"), from, limit, kcclock.Millis(wait))
	if writeLogError(w, err) {
		return
	}
	writeJSON(w, page)
}

// writeLogError responds with 503 if the operation failed without effect. For a
// lost response it closes the connection without a response. It returns false if
// err is nil.
func writeLogError(w http.ResponseWriter, err error) bool {
	switch {
	case err == nil:
		return false
	case errors.Is(err, kclog.ErrAnswerLost):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return true
	}
}

func decodeJSON(w http.ResponseWriter, r *http.Request, dst any) bool {
	if err := json.NewDecoder(r.Body).Decode(dst); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
