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

var fleet = flag.Bool("fleet", false, "measure nine serve processes and compare them with the prediction")

const (
	fleetSize = 9
	windowMs  = 15 * kcclock.Second
)

// program runs a built program and returns the submatch of the first line of
// its output that matches ready.
func program(t *testing.T, ready, path string, args ...string) string {
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
	found, re := make(chan string, 1), regexp.MustCompile(ready)
	for _, in := range []io.Reader{out, r} {
		go func() {
			for sc := bufio.NewScanner(in); sc.Scan(); {
				if m := re.FindStringSubmatch(sc.Text()); m != nil {
					select {
					case found <- strings.Join(m[1:], " "):
					default:
					}
				}
			}
		}()
	}
	return <-found
}

// fleetOf starts the stand-ins and the entry instances and returns the caller
// and admin addresses.
func fleetOf(t *testing.T) (callers, admins []string) {
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
	place := kcstandin.Place{Zone: zoneName(0), Region: "region-0"}
	deployment := write("deployment.json", kcstandin.Deployment{
		Versions: map[string]kcstandin.VersionSpec{"small@1": {Quality: 0.9}, "large@1": {Quality: 0.97}},
		Engines:  []kcstandin.EngineSpec{{ID: "engine", Count: 12, Place: place, Versions: []string{"small@1", "large@1"}, TokenMs: 5}},
		Services: []kcstandin.ServiceSpec{{ID: "orders", Service: "orders", Count: 3, Place: place}},
	})
	platform := program(t, `platform (http://\S+)`, filepath.Join(dir, "standin"),
		"--listen", "127.0.0.1:0", "--deployment", deployment)
	for n := range fleetSize {
		set, m := kcsettings.Defaults(), runner(n%3)
		set.Instance = kcsettings.Instance{
			ID: instanceName(n), Zone: m.Zone, Region: m.Region, Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0",
		}
		set.Platform = kcsettings.Platform{Log: platform, List: platform, Rater: platform, Weights: platform}
		set.SessionKeys, set.Rules, set.Timing.LeaveMs = kcsettings.DemoSessionKeys(), kcsettings.DemoRules(), 0
		path := write(instanceName(n)+".json", set)
		ready := program(t, `msg=ready .*listen=(\S+) admin=(\S+) peer=(\S+)`, filepath.Join(dir, "serve"), "serve", "--settings", path)
		f := strings.Fields(ready)
		callers, admins = append(callers, "http://"+f[0]), append(admins, "http://"+f[1])
		body := write("member", kcmember.Member{
			ID: instanceName(n), Role: kcmember.RoleEntry, Addr: f[2], Zone: m.Zone, Region: m.Region,
		})
		b, _ := os.ReadFile(body)
		req, _ := http.NewRequest(http.MethodPut, platform+"/standin/list/members", bytes.NewReader(b))
		if resp, err := http.DefaultClient.Do(req); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
	}
	return callers, admins
}

// figures returns the sums of the figures of all instances.
func figures(t *testing.T, admins []string) map[string]float64 {
	t.Helper()
	sum := make(map[string]float64)
	for _, a := range admins {
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

// window sends perSecond requests a second for a while and returns the growth
// of the figures per instance and second, and the memory at the end.
func window(t *testing.T, callers, admins []string, perSecond int, path, body string) (growth, end map[string]float64) {
	t.Helper()
	b := &bench{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	before, clock := figures(t, admins), kcclock.System{}
	start := clock.Now()
	var running sync.WaitGroup
	for n := 0; clock.Now()-start < windowMs; n++ {
		if perSecond == 0 {
			<-clock.After(windowMs)
			continue
		}
		<-clock.After(start + kcclock.Second*kcclock.Millis(n+1)/kcclock.Millis(perSecond) - clock.Now())
		running.Go(func() {
			one := &bench{http: b.http, url: callers[n%len(callers)]}
			one.keys.Store(int64(clock.Now())*1000 + int64(n))
			if err := one.post(context.Background(), path, body); err != nil {
				t.Error(err)
			}
		})
	}
	running.Wait()
	end = figures(t, admins)
	seconds := float64(clock.Now()-start) / 1000
	growth = make(map[string]float64)
	for name, v := range end {
		growth[name] = (v - before[name]) / seconds / fleetSize
	}
	return growth, end
}

// TestFleet is a measurement, not a check: it prints what nine processes use
// beside the prediction for nine. It fails only if requests fail.
func TestFleet(t *testing.T) {
	if !*fleet {
		t.Skip("run with -fleet")
	}
	r, err := Run(t.Context(), []string{"list", "log", "directory", "digest", "config"})
	if err != nil {
		t.Fatal(err)
	}
	size := Size{Instances: fleetSize, Members: fleetSize + 15, Keys: 5, ConfigReads: 1, ListReads: 1}
	predicted := Predict(r, size)
	callers, admins := fleetOf(t)
	window(t, callers, admins, 90, kinds[0].path, chatBody) // opens connections
	idle, end := window(t, callers, admins, 0, "", "")
	t.Logf("idle, per instance: processor %.3f%%, memory held %.1f MB, heap %.1f MB, goroutines %.0f",
		idle["process.cpuMicros"]/1e4, end["process.memoryBytes"]/fleetSize/(1<<20), end["process.heapBytes"]/fleetSize/(1<<20),
		end["process.goroutines"]/fleetSize)
	t.Logf("predicted processor %.3f%%", Sum(predicted).Micros/1e4)
	for i, name := range []string{"list", "log", "peer"} {
		got := idle[name+".wireBytesIn"] + idle[name+".wireBytesOut"]
		t.Logf("%s: measured %.0f B/s, predicted %.0f B/s, error %+.0f%%", name, got, predicted[i].Wire, 100*(predicted[i].Wire/got-1))
	}
	for _, k := range kinds {
		for _, rate := range []int{90, 270} {
			g, end := window(t, callers, admins, rate, k.path, k.body)
			per := float64(rate) / fleetSize
			wire := func(name string) float64 {
				in, out := name+".wireBytesIn", name+".wireBytesOut"
				return (g[in] + g[out] - idle[in] - idle[out]) / per
			}
			t.Logf("%s at %.0f/s per instance: processor %.2f%%, %.0f µs a request, log %.0f B, peers %.0f B a request, held %.1f MB",
				k.name, per, g["process.cpuMicros"]/1e4, (g["process.cpuMicros"]-idle["process.cpuMicros"])/per,
				wire("log"), wire("peer"), end["process.memoryBytes"]/fleetSize/(1<<20))
		}
	}
}
