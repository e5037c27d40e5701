package kctls_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kctls"
	"github.com/kingcuprail/kingcuprail/internal/kctls/kctlstest"
)

// handshake connects client to server and returns the serial number of the
// certificate that the server presented.
func handshake(t *testing.T, server, client *tls.Config) (string, error) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	result := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
		result <- err
	}()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	client = client.Clone()
	if client.ServerName == "" {
		client.ServerName = "127.0.0.1"
	}
	conn := tls.Client(raw, client)
	defer conn.Close()
	if err := conn.Handshake(); err != nil {
		<-result
		return "", err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String(), <-result
}

func tlsConfigs(t *testing.T, server, client kctls.Files) (*tls.Config, *tls.Config) {
	t.Helper()
	s, err := server.ServerConfig()
	if err != nil {
		t.Fatal(err)
	}
	c, err := client.ClientConfig()
	if err != nil {
		t.Fatal(err)
	}
	return s, c
}

// Guards against a side that accepts a certificate of another authority, no
// certificate at all, or a certificate for another name.
func TestMutualVerification(t *testing.T) {
	ours, theirs := kctlstest.NewAuthority(t), kctlstest.NewAuthority(t)
	server, client, foreign := ours.Issue(t), ours.Issue(t), theirs.Issue(t)
	misnamed := client
	misnamed.ServerName = "x"
	for name, c := range map[string]struct {
		client kctls.Files
		ok     bool
	}{
		"same authority":          {client, true},
		"no client certificate":   {kctls.Files{CAFile: client.CAFile}, false},
		"foreign client":          {kctls.Files{CertFile: foreign.CertFile, KeyFile: foreign.KeyFile, CAFile: client.CAFile}, false},
		"foreign server":          {kctls.Files{CertFile: client.CertFile, KeyFile: client.KeyFile, CAFile: foreign.CAFile}, false},
		"wrong server name":       {misnamed, false},
		"authority of the system": {kctls.Files{CertFile: client.CertFile, KeyFile: client.KeyFile}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, cc := tlsConfigs(t, server, c.client)
			if _, err := handshake(t, s, cc); (err == nil) != c.ok {
				t.Errorf("error %v", err)
			}
		})
	}
}

func renameFile(t *testing.T, from, to string) {
	t.Helper()
	if err := os.Rename(from, to); err != nil {
		t.Fatal(err)
	}
}

// Guards against a new certificate that takes effect only after a restart, and
// against a listener that fails while the files are being replaced.
func TestFilesAreReloaded(t *testing.T) {
	a := kctlstest.NewAuthority(t)
	server, next := a.Issue(t), a.Issue(t)
	listen := kctls.Files{CertFile: server.CertFile, KeyFile: server.KeyFile}
	s, c := tlsConfigs(t, listen, kctls.Files{CAFile: server.CAFile})
	first, err := handshake(t, s, c)
	if err != nil {
		t.Fatal(err)
	}
	renameFile(t, next.CertFile, server.CertFile)
	if got, err := handshake(t, s, c); err != nil || got != first {
		t.Errorf("certificate %s without its key: error %v", got, err)
	}
	renameFile(t, next.KeyFile, server.KeyFile)
	if got, err := handshake(t, s, c); err != nil || got == first {
		t.Errorf("certificate %s after the change: error %v", got, err)
	}
	// The client must trust a new authority after its CA file has changed.
	other := kctlstest.NewAuthority(t).Issue(t)
	renameFile(t, other.CertFile, server.CertFile)
	renameFile(t, other.KeyFile, server.KeyFile)
	if _, err := handshake(t, s, c); err == nil {
		t.Error("a certificate of an unknown authority was accepted")
	}
	ca, err := os.ReadFile(other.CAFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(server.CAFile, append(ca, '\n'), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := handshake(t, s, c); err != nil {
		t.Errorf("the client does not trust the new authority: %v", err)
	}
}
