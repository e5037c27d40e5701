package kcinstance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
)

// faulty is an upstream that treats each connection as its fault says.
type faulty struct {
	ln       net.Listener
	fault    string
	received *atomic.Int64 // connections that brought at least one byte
	requests *atomic.Int64 // requests that were read to their end
	ended    sync.WaitGroup
}

func (f *faulty) accept() {
	defer f.ended.Done()
	for {
		conn, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.ended.Add(1)
		go f.serve(conn)
	}
}

func (f *faulty) serve(conn net.Conn) {
	defer f.ended.Done()
	defer conn.Close()
	if f.fault == "close" {
		return
	}
	r := bufio.NewReader(conn)
	if _, err := r.Peek(1); err != nil {
		return
	}
	f.received.Add(1)
	if f.fault == "reset" {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	f.requests.Add(1)
	switch f.fault {
	case "ok":
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
	case "error":
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	case "garbage":
		_, _ = io.WriteString(conn, "no HTTP\r\n\r\n")
	case "half":
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{")
	}
}

// Guards against notRun for a request of which an upstream got a byte, against
// completed for one that none read, and against a second run of an operation
// that may run only once, whatever the upstreams do with their connections.
func TestExecutionIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var received, requests atomic.Int64
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{
			"refuse", "close", "reset", "lost", "ok", "error", "garbage", "half",
		}), 0, 3).Draw(rt, "faults")
		operation := rapid.SampledFrom([]string{"place", "lookup"}).Draw(rt, "operation")
		i := startOne(t, func(o *kcinstance.Options) {
			list := o.Lister.(*kcstandin.List)
			list.Delete("orders-1")
			for n, fault := range faults {
				addr := startFaulty(t, fault, &received, &requests)
				list.Put(kcmember.Member{ID: fmt.Sprint("s", n), Role: kcmember.RoleService, Addr: addr, Service: "orders"})
			}
		})
		for range 3 {
			seen, read := received.Load(), requests.Load()
			status, body := post(t, i.url+"/v1/services/orders/"+operation, "key", "{}")
			seen, read = received.Load()-seen, requests.Load()-read
			if strings.Contains(body, `"execution":"notRun"`) && seen > 0 {
				rt.Errorf("%s: status %d says notRun, but %d connections brought bytes: %s", operation, status, seen, body)
			}
			if operation == "lookup" && strings.Contains(body, `"execution":"completed"`) && read == 0 {
				rt.Errorf("status %d says completed, but no upstream read the request: %s", status, body)
			}
		}
		if operation == "place" && requests.Load() > 1 {
			rt.Errorf("the operation was sent %d times", requests.Load())
		}
		i.stop()
		<-i.ended
		i.Close()
	})
}

// refusing returns an address that refuses connections. The port is bound
// without a listener, so that nothing else gets it during the test.
func refusing(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
}

// startFaulty starts an upstream with the fault and returns its address.
func startFaulty(t *testing.T, fault string, received, requests *atomic.Int64) string {
	t.Helper()
	if fault == "refuse" {
		return refusing(t)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faulty{ln: ln, fault: fault, received: received, requests: requests}
	f.ended.Add(1)
	go f.accept()
	t.Cleanup(func() { _ = ln.Close(); f.ended.Wait() })
	return ln.Addr().String()
}
