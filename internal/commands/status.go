package commands

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/zeebo/errs"
)

type statusCommand struct {
	adminClient
	Metrics bool `help:"Also print all metrics."`
}

// Run prints the health, the readiness and the state of an instance. It fails
// if the instance is not healthy or not ready.
func (c *statusCommand) Run(e *commandEnv) error {
	var failed []string
	for _, probe := range []struct{ name, path string }{{"health", "/healthz"}, {"readiness", "/readyz"}} {
		status, body, err := c.get(e, probe.path)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(e.stdout, "%s %s\n", probe.name, strings.TrimSpace(body))
		if status != http.StatusOK {
			failed = append(failed, probe.path)
		}
	}
	paths := []string{"/status"}
	if c.Metrics {
		paths = append(paths, "/metrics")
	}
	for _, path := range paths {
		_, body, err := c.get(e, path)
		if err != nil {
			return err
		}
		_, _ = io.WriteString(e.stdout, body)
	}
	if len(failed) > 0 {
		return errs.New("%s: %s failed; see the log lines of the instance", c.Admin, strings.Join(failed, ", "))
	}
	return nil
}
