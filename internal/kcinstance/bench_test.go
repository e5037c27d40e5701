package kcinstance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
)

// BenchmarkAddedTime measures the latency that the router adds. It alternates
// between a chat request sent directly to the engine and the same request sent
// through the router, so that both see the same load on the machine. It reports
// the medians and their difference in microseconds.
//
//	go test -run xxx -bench AddedTime -benchtime 5000x ./internal/kcinstance
func BenchmarkAddedTime(b *testing.B) {
	for _, idle := range []int{0, 10_000} {
		b.Run(fmt.Sprintf("idleSessions=%d", idle), func(b *testing.B) {
			i := startInstance(b, nil)
			startIdleConnections(b, i, idle)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			defer client.CloseIdleConnections()
			directURL := "http://" + i.engineAddr(b) + "/v1/chat/completions"
			directTimes, routedTimes := make([]time.Duration, 0, b.N), make([]time.Duration, 0, b.N)
			for n := range b.N {
				directTimes = append(directTimes, timeChat(b, client, directURL, `{"model":"small@1","stream":true,`, n))
				routedTimes = append(routedTimes,
					timeChat(b, client, i.callerURL+"/v1/chat/completions", `{"model":"small","stream":true,`, n))
			}
			b.ReportMetric(median(directTimes), "direct-us")
			b.ReportMetric(median(routedTimes), "routed-us")
			b.ReportMetric(median(routedTimes)-median(directTimes), "added-us")
		})
	}
}

// BenchmarkDirect and BenchmarkRouted report the allocations per request without
// and with the router. The difference is what the router and its client allocate.
func BenchmarkDirect(b *testing.B) { benchmarkChat(b, false) }

func BenchmarkRouted(b *testing.B) { benchmarkChat(b, true) }

func benchmarkChat(b *testing.B, routed bool) {
	b.Helper()
	i := startInstance(b, nil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	url, model := "http://"+i.engineAddr(b), "small@1"
	if routed {
		url, model = i.callerURL, "small"
	}
	b.ReportAllocs()
	for n := range b.N {
		timeChat(b, client, url+"/v1/chat/completions", `{"model":"`+model+`","stream":true,`, n)
	}
}

func (i *testInstance) engineAddr(tb testing.TB) string {
	tb.Helper()
	members, err := i.InstanceList.List(tb.Context())
	if err != nil {
		tb.Fatal(err)
	}
	return members[0].Addr
}

func timeChat(tb testing.TB, client *http.Client, url, head string, n int) time.Duration {
	tb.Helper()
	body := head + `"max_tokens":3,"messages":[{"role":"user","content":"one two three"}]}`
	req, err := http.NewRequestWithContext(tb.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+kcsettings.DemoAPIKey)
	req.Header.Set("X-Request-Id", fmt.Sprint("bench-", n))
	begin := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	answer, err := io.ReadAll(resp.Body)
	took := time.Since(begin)
	_ = resp.Body.Close()
	if err != nil || !strings.Contains(string(answer), "[DONE]") {
		tb.Fatalf("answer %q, error %v", answer, err)
	}
	return took
}

func median(d []time.Duration) float64 {
	slices.Sort(d)
	return float64(d[len(d)/2]) / float64(time.Microsecond)
}

// idleConnectionsEnv makes the test program open idle connections instead of
// running tests. A separate process is needed because the usual limit of open
// files does not allow both ends of 10,000 connections in one process.
const idleConnectionsEnv = "KINGCUPRAIL_TEST_IDLE"

func TestMain(m *testing.M) {
	if target := os.Getenv(idleConnectionsEnv); target != "" {
		if err := holdIdleConnections(target); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// startIdleConnections starts a process that holds n idle connections. Each has
// received one response.
func startIdleConnections(tb testing.TB, i *testInstance, n int) {
	tb.Helper()
	if n == 0 {
		return
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d", idleConnectionsEnv, strings.TrimPrefix(i.callerURL, "http://"), n))
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		tb.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = stdin.Close(); _ = cmd.Wait() })
	if line, err := bufio.NewReader(stdout).ReadString('\n'); err != nil {
		tb.Fatalf("cannot open the idle connections: output %q, error %v", line, err)
	}
}

// holdIdleConnections opens idle connections and keeps them until standard
// input ends. target has the form "ADDRESS COUNT".
func holdIdleConnections(target string) error {
	var addr string
	var n int
	if _, err := fmt.Sscan(target, &addr, &n); err != nil {
		return err
	}
	request := rawRequest("GET /v1/models", "", "")
	conns := make([]net.Conn, n)
	for k := range conns {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return err
		}
		conns[k] = conn
		if _, err := io.WriteString(conn, request); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	fmt.Println("ready")
	_, err := io.Copy(io.Discard, os.Stdin)
	runtime.KeepAlive(conns)
	return err
}
