package commands

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

type explainCommand struct {
	Workspace    string        `arg:"" help:"Workspace of the request."`
	Class        string        `help:"Class of the request."`
	Model        string        `help:"Model of the request: auto, a name or name@version."`
	PromptTokens int           `default:"1000" help:"Size of the prompt in tokens."`
	OutputTokens int           `default:"512" help:"Maximum size of the answer in tokens."`
	MaxWait      time.Duration `default:"1m" help:"Maximum time that the caller waits."`
	ID           string        `name:"id" help:"Request id, which selects the version during a roll-out."`
	adminClient
}

// Run prints an instance's candidates for a request and the reason for or
// against each.
func (c *explainCommand) Run(e *commandEnv) error {
	q := url.Values{
		"workspace": {c.Workspace}, "class": {c.Class}, "model": {c.Model}, "id": {c.ID},
		"promptTokens": {strconv.Itoa(c.PromptTokens)}, "outputTokens": {strconv.Itoa(c.OutputTokens)},
		"maxWaitMs": {strconv.FormatInt(c.MaxWait.Milliseconds(), 10)},
	}
	status, body, err := c.get(e, "/explain?"+q.Encode())
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errs.New("%s: %s", c.Admin, strings.TrimSpace(body))
	}
	_, err = io.WriteString(e.stdout, body)
	return errs.Wrap(err)
}
