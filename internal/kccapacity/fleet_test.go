package kccapacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

var measureFleet = flag.Bool("fleet", false, "measure nine serve processes and compare them with the prediction")

const (
	fleetInstances  = 9
	measureWindowMs = 15 * kcclock.Second
)

// startProgram starts a built program until the end of the test. It returns the
// submatches of the first output line that matches ready, separated by spaces.
func startProgram(t *testing.T, ready, path string, args ...string) string {
	t.Helper()
	cmd := exec.Command(path, args...)
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout = cmd.Stderr
	r, w := io.Pipe()
	cmd.Stdout = w
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	})
	addresses, readyPattern := make(chan string, 1), regexp.MustCompile(ready)
	for _, in := range []io.Reader{out, r} {
		go func() {
			for sc := bufio.NewScanner(in); sc.Scan(); {
				if m := readyPattern.FindStringSubmatch(sc.Text()); m != nil {
					select {
					case addresses <- strings.Join(m[1:], " "):
					default:
					}
				}
			}
		}()
	}
	return <-addresses
}

// startFleet starts the stand-ins and the entry instances and returns the base
// URLs of their caller and admin listeners.
func startFleet(t *testing.T) (callerURLs, adminURLs []string) {
	t.Helper()
	dir := t.TempDir()
	for name, pkg := range map[string]string{"serve": "../..", "standin": "../../cmd/kingcuprail-standin"} {
		if out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), pkg).CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
	}
	write := func(name string, v any) string {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	place := kcstandin.Location{Zone: zoneName(0), Region: "region-0"}
	deployment := write("deployment.json", kcstandin.Deployment{
		Versions: map[string]kcstandin.VersionSpec{"small@1": {Quality: 0.9}, "large@1": {Quality: 0.97}},
		Engines: []kcstandin.EngineSpec{{
			ID: "engine", Count: 12, Location: place, Versions: []string{"small@1", "large@1"}, TokenMs: 5,
		}},
		Services: []kcstandin.ServiceSpec{{ID: "orders", Service: "orders", Count: 3, Location: place}},
	})
	platform := startProgram(t, `platform (http://\S+)`, filepath.Join(dir, "standin"),
		"--listen", "127.0.0.1:0", "--deployment", deployment)
	for n := range fleetInstances {
		set, m := kcsettings.Defaults(), runnerMember(n%3)
		set.Instance = kcsettings.Instance{
			ID: instanceName(n), Zone: m.Zone, Region: m.Region, Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0",
		}
		set.Platform = kcsettings.Platform{Log: platform, List: platform, Rater: platform, Weights: platform}
		set.SessionKeys, set.Rules, set.Timing.LameDuckMs = kcsettings.DemoSessionKeys(), kcsettings.DemoRules(), 0
		path := write(instanceName(n)+".json", set)
		ready := startProgram(t, `msg=ready .*listen=(\S+) admin=(\S+) peer=(\S+)`,
			filepath.Join(dir, "serve"), "serve", "--settings", path)
		f := strings.Fields(ready)
		callerURLs, adminURLs = append(callerURLs, "http://"+f[0]), append(adminURLs, "http://"+f[1])
		body := write("member", kcmember.Member{
			ID: instanceName(n), Role: kcmember.RoleEntry, Addr: f[2], Zone: m.Zone, Region: m.Region,
		})
		b, _ := os.ReadFile(body)
		req, _ := http.NewRequest(http.MethodPut, platform+"/standin/list/members", bytes.NewReader(b))
		if resp, err := http.DefaultClient.Do(req); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
	}
	return callerURLs, adminURLs
}

// sumMetrics returns each metric summed over all instances.
func sumMetrics(t *testing.T, adminURLs []string) map[string]float64 {
	t.Helper()
	sum := make(map[string]float64)
	for _, a := range adminURLs {
		resp, err := http.Get(a + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
			var name string
			var v float64
			if n, _ := fmt.Sscan(sc.Text(), &name, &v); n == 2 {
				sum[name] += v
			}
		}
		_ = resp.Body.Close()
	}
	return sum
}

// measureWindow sends requestsPerSecond requests per second to the fleet for
// measureWindowMs. It returns the growth of each metric per instance and second,
// and the metrics at the end, summed over all instances.
func measureWindow(
	t *testing.T, callerURLs, adminURLs []string, requestsPerSecond int, path, body string,
) (growth, end map[string]float64) {
	t.Helper()
	b := &testInstance{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	before, clock := sumMetrics(t, adminURLs), kcclock.System{}
	start := clock.Now()
	var running sync.WaitGroup
	for n := 0; clock.Now()-start < measureWindowMs; n++ {
		if requestsPerSecond == 0 {
			<-clock.After(measureWindowMs)
			continue
		}
		<-clock.After(start + kcclock.Second*kcclock.Millis(n+1)/kcclock.Millis(requestsPerSecond) - clock.Now())
		running.Go(func() {
			one := &testInstance{http: b.http, url: callerURLs[n%len(callerURLs)]}
			one.idempotencyKeys.Store(int64(clock.Now())*1000 + int64(n))
			if err := one.postRequest(context.Background(), path, body); err != nil {
				t.Error(err)
			}
		})
	}
	running.Wait()
	end = sumMetrics(t, adminURLs)
	seconds := float64(clock.Now()-start) / 1000
	growth = make(map[string]float64)
	for name, v := range end {
		growth[name] = (v - before[name]) / seconds / fleetInstances
	}
	return growth, end
}

// TestFleet is a measurement, not a check. It prints the resource usage of nine
// processes next to the prediction for nine. It fails only if requests fail.
func TestFleet(t *testing.T) {
	if !*measureFleet {
		t.Skip("run with -fleet")
	}
	r, err := Run(t.Context(), []string{"list", "log", "directory", "digest", "config"})
	if err != nil {
		t.Fatal(err)
	}
	size := DeploymentSize{
		Instances: fleetInstances, Members: fleetInstances + 15, ConfigKeys: 5, ConfigReadsPerSecond: 1, ListReadsPerSecond: 1,
	}
	predicted := PredictCosts(r, size)
	callerURLs, adminURLs := startFleet(t)
	measureWindow(t, callerURLs, adminURLs, 90, requestKinds[0].path, chatBody) // opens connections
	idle, end := measureWindow(t, callerURLs, adminURLs, 0, "", "")
	t.Logf("idle, per instance: processor %.3f%%, memory held %.1f MB, heap %.1f MB, goroutines %.0f",
		idle["process.cpuMicros"]/1e4, end["process.memoryBytes"]/fleetInstances/(1<<20),
		end["process.heapBytes"]/fleetInstances/(1<<20),
		end["process.goroutines"]/fleetInstances)
	t.Logf("predicted processor %.3f%%", SumCosts(predicted).CPUMicrosPerSecond/1e4)
	for i, name := range []string{"list", "log", "peer"} {
		got := idle[name+".wireBytesIn"] + idle[name+".wireBytesOut"]
		t.Logf("%s: measured %.0f B/s, predicted %.0f B/s, error %+.0f%%",
			name, got, predicted[i].WireBytesPerSecond, 100*(predicted[i].WireBytesPerSecond/got-1))
	}
	for _, k := range requestKinds {
		for _, rate := range []int{90, 270} {
			growth, end := measureWindow(t, callerURLs, adminURLs, rate, k.path, k.body)
			perInstance := float64(rate) / fleetInstances
			wireBytesPerRequest := func(name string) float64 {
				in, out := name+".wireBytesIn", name+".wireBytesOut"
				return (growth[in] + growth[out] - idle[in] - idle[out]) / perInstance
			}
			t.Logf("%s at %.0f/s per instance: processor %.2f%%, %.0f µs a request, log %.0f B, peers %.0f B a request, held %.1f MB",
				k.name, perInstance, growth["process.cpuMicros"]/1e4, (growth["process.cpuMicros"]-idle["process.cpuMicros"])/perInstance,
				wireBytesPerRequest("log"), wireBytesPerRequest("peer"), end["process.memoryBytes"]/fleetInstances/(1<<20))
		}
	}
}
