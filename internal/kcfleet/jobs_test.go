package kcfleet

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
)

// postJob returns the id of the job, or "" if it was not accepted.
func postJob(e *entry, body string) string {
	resp, b, err := postRequest(e.callerURL+"/v1/jobs", "", body)
	var job kcapi.JobStatus
	if err != nil || resp.StatusCode != http.StatusAccepted || json.Unmarshal(b, &job) != nil {
		return ""
	}
	return job.ID
}

// awaitJob polls the job at random instances until it has ended.
func awaitJob(t *testing.T, f *fleet, id string) kcapi.JobStatus {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 1))
	for {
		req, err := http.NewRequest(http.MethodGet, f.pickEntry(rng).callerURL+"/v1/jobs/"+id, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+kcsettings.DemoAPIKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		var job kcapi.JobStatus
		err = json.NewDecoder(resp.Body).Decode(&job)
		resp.Body.Close()
		switch {
		case resp.StatusCode == http.StatusNotFound:
			t.Errorf("accepted job %s was not found", id)
			return job
		case err != nil:
			t.Fatal(err)
		case job.State != kcapi.JobQueued && job.State != kcapi.JobRunning && job.State != "":
			return job
		}
	}
}

// awaitJobBills waits until the shard owners have written the bills of the ended
// jobs. They write a bill after the end of the job is in the log. If the whole
// fleet is stopped, the remaining bills are left to the instances that start next.
func awaitJobBills(t *testing.T, f *fleet, ended []kcapi.JobStatus) {
	t.Helper()
	for {
		_, bills := readClaimsAndBills(t, f)
		unbilled := 0
		for _, j := range ended {
			if billedAmount(bills, j.RequestID) < 0 {
				unbilled++
			}
		}
		if unbilled == 0 {
			return
		}
	}
}

// checkJobs waits until all accepted jobs have ended, compares them with the
// effects and returns them.
func checkJobs(t *testing.T, f *fleet, histories []orderHistory) []kcapi.JobStatus {
	t.Helper()
	states := make(map[kcapi.JobState]int)
	orders := make(map[string]kcapi.JobStatus)
	var ended []kcapi.JobStatus
	for _, h := range histories {
		if h.orderJob != "" {
			orders[h.orderJob] = awaitJob(t, f, h.orderJob)
			states[orders[h.orderJob].State]++
			ended = append(ended, orders[h.orderJob])
		}
		if h.chatJob != "" {
			j := awaitJob(t, f, h.chatJob)
			states[j.State]++
			ended = append(ended, j)
			if j.State != kcapi.JobDone {
				t.Errorf("chat job %s ended as %s: %+v", j.ID, j.State, j.Error)
			}
		}
	}
	runs := orderRuns(t, f)
	for id, j := range orders {
		switch n := runs[id]; {
		case n > 1:
			t.Errorf("order of job %s ran %d times", id, n)
		case j.State == kcapi.JobDone && n != 1:
			t.Errorf("job %s is done but its order ran %d times", id, n)
		case j.Error != nil && j.Error.Execution == kcapi.NotRun && n != 0:
			t.Errorf("job %s ended with notRun but its order ran", id)
		}
	}
	t.Logf("jobs by state: %v", states)
	return ended
}
