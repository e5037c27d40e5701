package kcinstance_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kctls"
	"github.com/kingcuprail/kingcuprail/internal/kctls/kctlstest"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a listener that serves plain text although files are set, and
// against instances that talk to a peer without a certificate.
func TestTLS(t *testing.T) {
	a := kctlstest.NewAuthority(t)
	files := a.Issue(t)
	server := kctls.Files{CertFile: files.CertFile, KeyFile: files.KeyFile}
	var insts []*kcinstance.Instance
	var ends []func()
	for _, id := range []string{"one", "two"} {
		i := startOne(t, func(o *kcinstance.Options) {
			o.Settings.Instance.ID, o.Settings.Instance.Peer = id, "127.0.0.1:0"
			o.Settings.TLS = kctls.Settings{Caller: server, Admin: server, Peer: a.Issue(t)}
		})
		insts, ends = append(insts, i.inst), append(ends, i.stop)
	}
	config, err := kctls.Files{CAFile: files.CAFile}.ClientConfig()
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{TLSClientConfig: config}
	defer transport.CloseIdleConnections()
	for _, addr := range []string{insts[0].CallerAddr + "/v1/models", insts[0].AdminAddr + "/readyz"} {
		resp, err := (&http.Client{Transport: transport}).Get("https://" + addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if want := strings.Contains(addr, "/v1/"); (resp.StatusCode == http.StatusUnauthorized) != want {
			t.Errorf("%s: status %d", addr, resp.StatusCode)
		}
	}
	exchange := func(ctx context.Context, p kcpeer.Peer) error {
		_, err := p.Exchange(ctx, &kcpeer.Digest{Instance: "x"})
		return err
	}
	two := kcmember.Member{ID: "two", Addr: insts[1].PeerAddr}
	if err := insts[0].Node().Call(t.Context(), two, kcclock.Minute, exchange); err != nil {
		t.Error(err)
	}
	stranger := kcpeer.NewPeerProtobufClient("https://"+two.Addr, &http.Client{Transport: transport})
	if err := exchange(t.Context(), stranger); err == nil {
		t.Error("a peer without a certificate was served")
	}
	for _, end := range ends {
		end()
	}
}
