// Package kctls makes TLS configurations from files. It reloads the files when
// they change, so that certificates can be replaced without a restart.
package kctls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

	"github.com/zeebo/errs"
)

// Files holds the paths of the PEM files of one listener or client. The zero
// value means plain TCP.
type Files struct {
	// CertFile holds the certificate chain of this side, KeyFile its private key.
	CertFile string `json:"certFile,omitempty"`
	KeyFile  string `json:"keyFile,omitempty"`
	// CAFile holds the certificate authorities that the certificate of the other
	// side must be signed by. A listener with a CAFile requires a client
	// certificate. A client without a CAFile trusts the authorities of the system.
	CAFile string `json:"caFile,omitempty"`
	// ServerName is the name that a client expects in the certificate of the
	// server. "" means the host of the address.
	ServerName string `json:"serverName,omitempty"`
}

// Settings holds the files of every listener and client of an instance.
type Settings struct {
	Caller Files `json:"caller,omitzero"`
	Admin  Files `json:"admin,omitzero"`
	// Peer is for both sides of the connections between instances.
	Peer Files `json:"peer,omitzero"`
	// Upstreams is for connections to engines and plain services.
	Upstreams Files `json:"upstreams,omitzero"`
	// Platform is for connections to the log, the list of members and the rater.
	Platform Files `json:"platform,omitzero"`
}

// Enabled reports whether any of the fields is set, which enables TLS.
func (f Files) Enabled() bool { return f != Files{} }

// ServerConfig returns the configuration of a listener, or nil for plain TCP.
func (f Files) ServerConfig() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	if f.CertFile == "" || f.KeyFile == "" {
		return nil, errs.New("tls: a listener needs certFile and keyFile")
	}
	s := &fileReloader{files: f}
	if _, err := s.current(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := s.current()
			if m == nil {
				return nil, err
			}
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{m.cert}}
			if m.caPool != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.caPool
			}
			return c, nil
		},
	}, nil
}

// ClientConfig returns the configuration of a client, or nil for plain TCP.
func (f Files) ClientConfig() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	s := &fileReloader{files: f}
	if _, err := s.current(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		ServerName: f.ServerName,
		// VerifyConnection verifies the certificate instead, with the authorities
		// that were loaded last. RootCAs cannot change after the configuration is
		// in use.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			m, err := s.current()
			if m == nil {
				return err
			}
			return verifyPeerCertificate(cs, m.caPool)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			m, err := s.current()
			if m == nil {
				return nil, err
			}
			return &m.cert, nil
		},
	}, nil
}

func verifyPeerCertificate(cs tls.ConnectionState, roots *x509.CertPool) error {
	opts := x509.VerifyOptions{DNSName: cs.ServerName, Roots: roots, Intermediates: x509.NewCertPool()}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return errs.Wrap(err)
}

// credentials is the content of the files when they were loaded.
type credentials struct {
	cert   tls.Certificate
	caPool *x509.CertPool
}

// fileReloader loads the files again when one of them has changed.
type fileReloader struct {
	files Files

	mu        sync.Mutex
	fileInfos [3]os.FileInfo // nil where no file is configured
	loaded    *credentials
}

// current returns the newest usable credentials. If the files cannot be read or
// do not match each other, for example while they are being replaced, it returns
// the credentials that were loaded before, or nil, and the error.
func (s *fileReloader) current() (*credentials, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var infos [3]os.FileInfo
	changed := s.loaded == nil
	for i, name := range []string{s.files.CertFile, s.files.KeyFile, s.files.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return s.loaded, errs.New("tls: %v", err)
		}
		infos[i] = info
		changed = changed || fileChanged(s.fileInfos[i], info)
	}
	if !changed {
		return s.loaded, nil
	}
	m, err := loadCredentials(s.files)
	if err != nil {
		return s.loaded, err
	}
	s.fileInfos, s.loaded = infos, m
	return m, nil
}

// fileChanged reports whether a and b are different files or differ in size or
// modification time. The identity of the file matters because a file that is
// renamed into place keeps its modification time, which has a resolution of some
// milliseconds, so two versions can have the same time and size.
func fileChanged(a, b os.FileInfo) bool {
	return !os.SameFile(a, b) || !a.ModTime().Equal(b.ModTime()) || a.Size() != b.Size()
}

func loadCredentials(f Files) (*credentials, error) {
	m := &credentials{}
	var err error
	if f.CertFile != "" {
		if m.cert, err = tls.LoadX509KeyPair(f.CertFile, f.KeyFile); err != nil {
			return nil, errs.New("tls: certFile %s and keyFile %s: %v", f.CertFile, f.KeyFile, err)
		}
	}
	if f.CAFile != "" {
		pem, err := os.ReadFile(f.CAFile)
		if err != nil {
			return nil, errs.New("tls: %v", err)
		}
		m.caPool = x509.NewCertPool()
		if !m.caPool.AppendCertsFromPEM(pem) {
			return nil, errs.New("tls: caFile %s contains no PEM certificate", f.CAFile)
		}
	}
	return m, nil
}
