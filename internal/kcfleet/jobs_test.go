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
	resp, b, err := send(e.url+"/v1/jobs", "", body)
	var job kcapi.JobStatus
	if err != nil || resp.StatusCode != http.StatusAccepted || json.Unmarshal(b, &job) != nil {
		return ""
	}
	return job.ID
}

// awaitJob asks for the job until it has ended.
func awaitJob(t *testing.T, f *fleet, id string) kcapi.JobStatus {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 1))
	for {
		req, err := http.NewRequest(http.MethodGet, f.pick(rng).url+"/v1/jobs/"+id, nil)
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
			t.Errorf("accepted job %s is lost", id)
			return job
		case err != nil:
			t.Fatal(err)
		case job.State != kcapi.JobQueued && job.State != kcapi.JobRunning && job.State != "":
			return job
		}
	}
}

// awaitJobBills waits until the owners of the shards have written the bills of
// ended jobs. They do so after the end is in the log, and a fleet that is
// stopped as a whole leaves the rest to the instances that start next.
func awaitJobBills(t *testing.T, f *fleet, ended []kcapi.JobStatus) {
	t.Helper()
	for {
		_, bills := readLog(t, f)
		left := 0
		for _, j := range ended {
			if amountOf(bills, j.RequestID) < 0 {
				left++
			}
		}
		if left == 0 {
			return
		}
	}
}

// checkJobs waits for every accepted job, compares it with the effects and
// returns all of them.
func checkJobs(t *testing.T, f *fleet, histories []history) []kcapi.JobStatus {
	t.Helper()
	states := make(map[kcapi.JobState]int)
	orders := make(map[string]kcapi.JobStatus)
	var ended []kcapi.JobStatus
	for _, h := range histories {
		if h.job != "" {
			orders[h.job] = awaitJob(t, f, h.job)
			states[orders[h.job].State]++
			ended = append(ended, orders[h.job])
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
	ran := effects(t, f)
	for id, j := range orders {
		switch n := ran[id]; {
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
