package kcfault

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Upload is a connection of a caller that sends the body of a request in two parts.
type Upload struct {
	tb testing.TB
	nc net.Conn
	br *bufio.Reader
}

// NewUpload connects to addr until the end of the test.
func NewUpload(tb testing.TB, addr string) *Upload {
	tb.Helper()
	nc, err := net.Dial("tcp", addr) //nolint:noctx // ends with the test
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = nc.Close() })
	return &Upload{tb: tb, nc: nc, br: bufio.NewReader(nc)}
}

// Begin sends a request with the given lines in its head and the first part of a body,
// and returns once the server reads the body.
func (u *Upload) Begin(lines, part string, size int) {
	u.tb.Helper()
	if _, err := fmt.Fprintf(u.nc, "%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", lines, size, part); err != nil {
		u.tb.Fatal(err)
	}
	if status, _ := u.read(); status != http.StatusContinue {
		u.tb.Fatalf("status %d, want 100", status)
	}
}

// Finish sends the rest of the body and returns the response.
func (u *Upload) Finish(rest string) (status int, body string) {
	u.tb.Helper()
	if _, err := io.WriteString(u.nc, rest); err != nil {
		u.tb.Fatal(err)
	}
	return u.read()
}

func (u *Upload) read() (status int, body string) {
	u.tb.Helper()
	resp, err := http.ReadResponse(u.br, nil)
	if err != nil {
		u.tb.Fatal(err)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		u.tb.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode, string(raw)
}
