package commands

import (
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/internal/kctls"
)

// adminClient holds the flags of commands that call the admin address.
type adminClient struct {
	Admin   string        `default:"127.0.0.1:8081" placeholder:"ADDR" help:"Admin address of the instance, IP:port."`
	Timeout time.Duration `default:"5s" help:"Time limit for the answers of the instance."`
	CA      string        `name:"ca" placeholder:"FILE" help:"CA certificates that verify the admin listener, PEM; enables TLS."`
	Cert    string        `placeholder:"FILE" help:"Client certificate for the admin listener, PEM."`
	Key     string        `placeholder:"FILE" help:"Key of the client certificate, PEM."`
}

// maxAdminResponseBytes bounds one response of an admin endpoint.
const maxAdminResponseBytes = 4 << 20

// get requests a path of the admin address and returns status and body.
func (c adminClient) get(e *commandEnv, path string) (int, string, error) {
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
	// net/http would hide the length of a compressed response.
	transport := kcresponse.NewTransport(&http.Transport{TLSClientConfig: config, DisableCompression: true})
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: c.Timeout}).Do(req)
	if err != nil {
		return 0, "", errs.New("no answer from the admin address %s: %v; is the instance running?", c.Admin, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if !kcresponse.IsFramed(resp) {
		return 0, "", errs.New("the answer of the admin address %s has neither a length nor chunks, so it may not be complete", c.Admin)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxAdminResponseBytes))
	if err != nil {
		return 0, "", errs.New("the answer of the admin address %s is not complete: %v", c.Admin, err)
	}
	return resp.StatusCode, string(body), nil
}
