package kcinstance_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// awaitJob polls the status of a job until the job has ended.
func awaitJob(t *testing.T, url, id string) kcapi.JobStatus {
	t.Helper()
	for {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url+"/v1/jobs/"+id, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+kcsettings.DemoAPIKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		var st kcapi.JobStatus
		if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(body, &st) != nil {
			t.Fatalf("status %d: %s, error %v", resp.StatusCode, body, err)
		}
		if st.State != kcapi.JobQueued && st.State != kcapi.JobRunning {
			return st
		}
		<-kcclock.System{}.After(20)
	}
}

// Guards against jobs that run only at the instance that accepted them, a
// repeated POST that creates a second job, an order that runs twice, jobs without
// a bill, and a 202 response while the log is down.
func TestJobsRunOnceAndAreBilled(t *testing.T) {
	p, urls, stop := startInstances(t, 2)
	jobs := map[string]string{
		"chat":   `{"chat":{"model":"auto","messages":[{"role":"user","content":"one two"}]}}`,
		"place":  `{"call":{"service":"orders","operation":"place","body":{"dish":"stew"}},"maxWaitMs":60000}`,
		"lookup": `{"call":{"service":"orders","operation":"lookup"}}`,
	}
	for key, body := range jobs {
		submitAndAwaitJob(t, urls, key, body)
	}
	if status, body := postCall(t, urls[0]+"/v1/jobs", "place", jobs["chat"]); status != http.StatusUnprocessableEntity {
		t.Errorf("repeated key with another body: status %d: %s", status, body)
	}
	p.Log.SetFaults(kcstandin.LogFaults{Down: true})
	if status, body := postCall(t, urls[0]+"/v1/jobs", "late", jobs["chat"]); status != http.StatusServiceUnavailable {
		t.Errorf("log down: status %d: %s", status, body)
	}
	p.Log.SetFaults(kcstandin.LogFaults{})
	for _, e := range kcstandin.Effects(p.OrdersService) {
		if e.Operation == "place" && e.Count != 1 {
			t.Errorf("effect %+v", e)
		}
	}
	for len(readBills(t, p.Log).All()) < len(jobs) {
		<-kcclock.System{}.After(20)
	}
	stop()
	for _, b := range readBills(t, p.Log).All() {
		if b.Amount != b.Price || b.Amount == 0 || b.Conflict != "" {
			t.Errorf("bill %+v", b)
		}
	}
}

// submitAndAwaitJob submits one job to both instances and waits for its result
// at the second.
func submitAndAwaitJob(t *testing.T, urls []string, key, body string) {
	t.Helper()
	var ids [2]string
	for n, u := range urls {
		status, answer := postCall(t, u+"/v1/jobs", key, body)
		var st kcapi.JobStatus
		if err := json.Unmarshal([]byte(answer), &st); err != nil || status != http.StatusAccepted || st.Price == 0 {
			t.Fatalf("status %d: %s", status, answer)
		}
		ids[n] = st.ID
	}
	if ids[0] != ids[1] {
		t.Errorf("the repeated job %s has the ids %v", key, ids)
	}
	st := awaitJob(t, urls[1], ids[0])
	if st.State != kcapi.JobDone || st.Answer == nil || st.Answer.Status != http.StatusOK || st.Answer.Truncated {
		t.Errorf("job %s: %+v, error %+v", key, st, st.Error)
	}
}
