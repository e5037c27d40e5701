package commands

import (
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kctls"
)

// adminClient is the flags of commands that read the admin address.
type adminClient struct {
	Admin   string        `default:"127.0.0.1:8081" placeholder:"ADDR" help:"Admin address of the instance, IP:port."`
	Timeout time.Duration `default:"5s" help:"Time limit for the answers of the instance."`
	CA      string        `name:"ca" placeholder:"FILE" help:"Authorities of the admin listener, PEM; means TLS."`
	Cert    string        `placeholder:"FILE" help:"Client certificate for the admin listener, PEM."`
	Key     string        `placeholder:"FILE" help:"Key of the client certificate, PEM."`
}

// maxAdminAnswer bounds one answer of an admin endpoint in bytes.
const maxAdminAnswer = 4 << 20

// get returns status and body of an admin endpoint.
func (c adminClient) get(e *env, path string) (int, string, error) {
	config, err := kctls.Files{CAFile: c.CA, CertFile: c.Cert, KeyFile: c.Key}.ClientConfig()
	if err != nil {
		return 0, "", err
	}
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, scheme+c.Admin+path, http.NoBody)
	if err != nil {
		return 0, "", errs.New("admin address %q: %v; it must be IP:port", c.Admin, err)
	}
	transport := &http.Transport{TLSClientConfig: config}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: c.Timeout}).Do(req)
	if err != nil {
		return 0, "", errs.New("no answer from the admin address %s: %v; is the instance running?", c.Admin, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminAnswer))
	return resp.StatusCode, string(body), errs.Wrap(err)
}
