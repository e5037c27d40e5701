package commands

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kctls/kctlstest"
)

// Guards against operators who cannot read an admin listener with TLS, and
// against a client that accepts any certificate.
func TestAdminClientUsesTLS(t *testing.T) {
	a := kctlstest.NewAuthority(t)
	files, other := a.Issue(t), kctlstest.NewAuthority(t).Issue(t)
	srv := httptest.NewUnstartedServer(http.NotFoundHandler())
	var err error
	if srv.TLS, err = files.ServerConfig(); err != nil {
		t.Fatal(err)
	}
	srv.StartTLS()
	defer srv.Close()
	c := adminClient{
		Admin: srv.Listener.Addr().String(), Timeout: time.Minute, CA: files.CAFile, Cert: files.CertFile, Key: files.KeyFile,
	}
	e := &env{ctx: t.Context()}
	if status, _, err := c.get(e, "/healthz"); err != nil || status != http.StatusNotFound {
		t.Errorf("status %d, error %v", status, err)
	}
	c.CA = other.CAFile
	if _, _, err := c.get(e, "/healthz"); err == nil {
		t.Error("a certificate of an unknown authority was accepted")
	}
}
