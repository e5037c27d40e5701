package kcedge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a response that breaks off and looks whole to callers without chunks.
func TestResponseThatBreaksOffIsNotWholeInHTTP10(t *testing.T) {
	const part = 600 << 10 // is passed on before its end
	p := startOnce(t, 100*kcclock.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Stamp", "s")
		_, _ = w.Write(make([]byte, part))
		if r.Header.Get("Request-Id") == "breaks true" {
			panic(http.ErrAbortHandler)
		}
	})
	for _, breaks := range []bool{false, true} {
		nc, err := net.Dial("tcp", p.callerAddr)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.WriteString(nc, "POST /a/x HTTP/1.0\r\nHost: h.example\r\nApi-Key: k1\r\nDeadline-Ms: 60000\r\n"+
			fmt.Sprintf("Request-Id: breaks %v\r\nContent-Length: 0\r\n\r\n", breaks))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK || (err != nil) != breaks || !breaks && n != part {
			t.Errorf("breaks off %v: status %d, %d bytes, %v", breaks, resp.StatusCode, n, err)
		}
		_, _ = resp.Body.Close(), nc.Close()
	}
}
