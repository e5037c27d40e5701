package kcinstance_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
)

var repeatPlaceholder = regexp.MustCompile(`\{(\d+)\}`)

var caseAbbreviations = strings.NewReplacer("CHAT", "POST /v1/chat/completions", `\n`, "\r\n",
	"ASK", `"messages":[{"role":"user","content":"x"}]`)

// rawRequest returns the bytes of the HTTP request for a request line, headers
// and a body in the notation of testdata/badinput.txtar.
func rawRequest(line, headers, body string) string {
	expand := func(s string) string {
		return repeatPlaceholder.ReplaceAllStringFunc(caseAbbreviations.Replace(s), func(m string) string {
			n, _ := strconv.Atoi(strings.Trim(m, "{}"))
			return strings.Repeat("x", n)
		})
	}
	body = expand(body)
	lines := []string{expand(line) + " HTTP/1.1", "Host: test"}
	if headers != "" {
		lines = append(lines, strings.Split(expand(headers), "; ")...)
	}
	if !strings.Contains(headers, "Authorization:") {
		lines = append(lines, "Authorization: Bearer "+kcsettings.DemoAPIKey)
	}
	if !strings.Contains(headers, "Content-Length:") && !strings.Contains(headers, "Transfer-Encoding:") {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// Guards against invalid requests whose response has no JSON body, no code or a
// wrong execution, that are not counted, or that affect other requests.
func TestInvalidRequestsAreRefused(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/badinput.txtar")
	if err != nil {
		t.Fatal(err)
	}
	i := startInstance(t, func(o *kcinstance.Options) {
		addUnusableVersions(&o.Settings.Rules)
		o.Settings.Limits.MaxBodyBytes = 64 << 10
		o.Settings.Limits.MaxHeaderBytes = 8 << 10
		o.Settings.Limits.BodyTimeoutMs = 100
	})
	for line := range strings.Lines(string(ar.Files[0].Data)) {
		text, want, _ := strings.Cut(strings.TrimSpace(line), " => ")
		part := strings.SplitN(text, " | ", 4)
		t.Run(part[0], func(t *testing.T) {
			code := strings.Fields(want)[1]
			before := i.metricValue(t, "refusals."+code)
			got, header := sendRaw(t, i.callerURL, rawRequest(part[1], part[2], part[3]), !strings.Contains(text, "X-Test: stall"))
			if got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			if header.Get(kcapi.HeaderRequestID) == "" {
				t.Error("response has no request id")
			}
			if n := i.metricValue(t, "refusals."+code) - before; n != 1 {
				t.Errorf("refusal counted %d times, want 1", n)
			}
			if resp := i.postChat(t.Context(), t, helloRequest); resp.StatusCode != http.StatusOK {
				t.Errorf("a valid request got status %d", resp.StatusCode)
			}
		})
	}
}

// sendRaw sends raw and returns the status, code and execution of the response,
// and its header.
func sendRaw(t *testing.T, url, raw string, closeWrite bool) (string, http.Header) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = io.WriteString(conn, raw)
		if closeWrite {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var answer struct {
		Error kcapi.Error `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Errorf("the response is not JSON: %v", err)
	}
	<-written
	return fmt.Sprint(resp.StatusCode, " ", answer.Error.Code, " ", answer.Error.Execution), resp.Header
}
