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

// faultyUpstream is an upstream that injects one kind of fault into every
// connection.
type faultyUpstream struct {
	ln               net.Listener
	fault            string
	connsWithData    *atomic.Int64 // connections that received at least one byte
	completeRequests *atomic.Int64 // requests that were read completely
	goroutines       sync.WaitGroup
}

func (f *faultyUpstream) accept() {
	defer f.goroutines.Done()
	for {
		conn, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.goroutines.Add(1)
		go f.serve(conn)
	}
}

func (f *faultyUpstream) serve(conn net.Conn) {
	defer f.goroutines.Done()
	defer conn.Close()
	if f.fault == "close" {
		return
	}
	r := bufio.NewReader(conn)
	if _, err := r.Peek(1); err != nil {
		return
	}
	f.connsWithData.Add(1)
	if f.fault == "reset" {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	f.completeRequests.Add(1)
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

// Guards against the execution notRun for a request of which an upstream
// received a byte, against completed for a request that no upstream read, and
// against a second run of a non-idempotent operation. The faults of the
// upstreams' connections are drawn at random.
func TestReportedExecutionMatchesUpstream(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var received, requests atomic.Int64
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{
			"refuse", "close", "reset", "lost", "ok", "error", "garbage", "half",
		}), 0, 3).Draw(rt, "faults")
		operation := rapid.SampledFrom([]string{"place", "lookup"}).Draw(rt, "operation")
		i := startInstance(t, func(o *kcinstance.Options) {
			list := o.Lister.(*kcstandin.InstanceList)
			list.Delete("orders-1")
			for n, fault := range faults {
				addr := startFaultyUpstream(t, fault, &received, &requests)
				list.Put(kcmember.Member{ID: fmt.Sprint("s", n), Role: kcmember.RoleService, Addr: addr, Service: "orders"})
			}
		})
		for range 3 {
			seen, read := received.Load(), requests.Load()
			status, body := postCall(t, i.callerURL+"/v1/services/orders/"+operation, "key", "{}")
			seen, read = received.Load()-seen, requests.Load()-read
			if strings.Contains(body, `"execution":"notRun"`) && seen > 0 {
				rt.Errorf("%s: status %d says notRun, but %d connections received bytes: %s", operation, status, seen, body)
			}
			if operation == "lookup" && strings.Contains(body, `"execution":"completed"`) && read == 0 {
				rt.Errorf("status %d says completed, but no upstream read the request: %s", status, body)
			}
		}
		if operation == "place" && requests.Load() > 1 {
			rt.Errorf("the operation was sent %d times", requests.Load())
		}
		i.startStop()
		<-i.runResult
		i.Close()
	})
}

// refusingAddr returns an address that refuses connections. The port is bound
// without listening, so that no other process can use it during the test.
func refusingAddr(t *testing.T) string {
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

// startFaultyUpstream starts an upstream with the fault and returns its address.
func startFaultyUpstream(t *testing.T, fault string, received, requests *atomic.Int64) string {
	t.Helper()
	if fault == "refuse" {
		return refusingAddr(t)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faultyUpstream{ln: ln, fault: fault, connsWithData: received, completeRequests: requests}
	f.goroutines.Add(1)
	go f.accept()
	t.Cleanup(func() { _ = ln.Close(); f.goroutines.Wait() })
	return ln.Addr().String()
}
