package kcmetric_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
)

// Guards against control traffic that is missing from the metrics, and against
// counting only the bodies.
func TestTrafficCountsBothSides(t *testing.T) {
	r := kcmetric.New()
	client, server := r.Traffic("client"), r.Traffic("server")
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("answer"))
	}))
	s.Listener = server.WrapListener(s.Listener)
	s.Start()
	transport := &http.Transport{DialContext: client.Dial, DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Post(s.URL, "text/plain", strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	s.Close()
	if client.BytesOut() <= int64(len("POST / HTTP/1.1question")) || client.BytesIn() <= int64(len("HTTP/1.1 200 OKanswer")) {
		t.Errorf("client sent %d and got %d bytes", client.BytesOut(), client.BytesIn())
	}
	if server.BytesIn() != client.BytesOut() || server.BytesOut() != client.BytesIn() {
		t.Errorf("server got %d and sent %d, client sent %d and got %d",
			server.BytesIn(), server.BytesOut(), client.BytesOut(), client.BytesIn())
	}
}

// Guards against process metrics that are missing or zero.
func TestProcessMetricsAreNonZero(t *testing.T) {
	r := kcmetric.New()
	r.RegisterProcessMetrics()
	var text strings.Builder
	if _, err := r.WriteTo(&text); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"cpuMicros", "memoryBytes", "heapBytes", "goroutines"} {
		if !regexp.MustCompile(`(?m)^process\.` + name + ` [1-9]\d*$`).MatchString(text.String()) {
			t.Errorf("%s is missing or zero in:\n%s", name, text.String())
		}
	}
}
