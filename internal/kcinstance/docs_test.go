package kcinstance_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

func readFile(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Guards against error codes and request metrics that the documentation for
// callers and operators does not explain.
func TestDocsExplainEveryCodeAndMetric(t *testing.T) {
	page := readFile(t, "../../docs/api.md")
	for _, m := range regexp.MustCompile(`Code = "(\w+)"`).FindAllStringSubmatch(readFile(t, "../../pkg/kcapi/api.go"), -1) {
		if !strings.Contains(page, "`"+m[1]+"`") {
			t.Errorf("docs/api.md does not explain the code %s", m[1])
		}
	}
	page = readFile(t, "../../docs/metrics.md")
	i := startInstance(t, nil)
	readBody(t, i.postChat(t.Context(), t, helloRequest))
	for line := range strings.Lines(httpGet(t, i.adminURL+"/metrics")) {
		name, _, _ := strings.Cut(line, " ")
		name = regexp.MustCompile(`\.(count|p50|p95|p99)$`).ReplaceAllString(name, "")
		if strings.HasPrefix(name, "requests") && !strings.Contains(page, "`"+name+"`") {
			t.Errorf("docs/metrics.md does not explain %s", name)
		}
	}
}
