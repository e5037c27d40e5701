package kcinstance_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
)

// Guards against a job whose request runs twice: it was refused, the engine writes that
// refusal once more in front of the response to the next try, and the copy is taken for
// the response.
func TestCopyOfRefusalDoesNotRepeatJob(t *testing.T) {
	var first string
	seen := make(map[string]bool)
	e := newTestEngine(nil, func(w http.ResponseWriter, _ *http.Request, id string) {
		if !seen[id] {
			http.NotFound(w, nil)
			return
		}
		writeEvent(w, id, 0, "one")
		writeDone(w)
	})
	runs := 0
	e.chat = func(w http.ResponseWriter, _ *http.Request, id string) {
		if first == "" {
			first = id
			w.Header().Set("X-Request-Id", id)
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		seen[id] = true
		if runs++; runs > 1 {
			writeEvent(w, id, 0, "one")
			writeDone(w)
			return
		}
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = nc.Close() }()
		_, _ = io.WriteString(nc, "HTTP/1.1 503 Busy\r\nX-Request-Id: "+first+"\r\nContent-Length: 0\r\n\r\n")
	}
	i := startInstance(t, withEngines(t, e))
	status, body := postCall(t, i.callerURL+"/v1/jobs", "key", `{"chat":`+customRequest+`}`)
	var st kcapi.JobStatus
	if err := json.Unmarshal([]byte(body), &st); err != nil || status != http.StatusAccepted {
		t.Fatalf("status %d: %s", status, body)
	}
	if end := awaitJob(t, i.callerURL, st.ID); end.State != kcapi.JobDone || runs != 1 {
		t.Errorf("%+v, error %+v, %d runs, want one", end, end.Error, runs)
	}
}
