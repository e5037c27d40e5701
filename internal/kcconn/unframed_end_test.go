package kcconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a response without framing that counts as whole although its server may
// have ended: it could not be asked.
func TestResponseWithoutFramingIsWholeOnlyIfItsServerLives(t *testing.T) {
	script, err := txtar.ParseFile("testdata/unframedEnds.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range script.Files {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			steps := append([]string{"response"}, strings.Fields(string(f.Data))...)
			p := kcconn.NewPool(kcconn.Options{
				Clock: kcclock.NewManual(1000), IdleTimeoutMs: 4000, RequestIDHeader: "Id",
				Dial: func(context.Context, string) (net.Conn, error) {
					if len(steps) == 0 {
						t.Error("one more connection is opened")
						return nil, os.ErrDeadlineExceeded
					}
					step := steps[0]
					steps = steps[1:]
					return openUnframed(t, step, leave)
				},
			})
			resp, err := p.Do(ctx, "server", &kcconn.Request{Method: http.MethodPost, Target: "/", Host: "server", ID: "q"})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || string(body) != "hello" {
				t.Fatalf("%q, %v", body, err)
			}
			err = resp.CheckEnd(ctx, "/healthz", "")
			if whole := strings.HasPrefix(f.Name, "whole"); (err == nil) != whole || len(steps) > 0 {
				t.Errorf("%v, and %v were not opened", err, steps)
			}
			resp.Finish()
			p.Close()
		})
	}
}

// openUnframed opens a connection that a step describes, or fails as it says.
func openUnframed(t *testing.T, step string, leave func()) (net.Conn, error) {
	t.Helper()
	client, server := net.Pipe()
	failure := map[string]error{
		"refused": syscall.ECONNREFUSED, "reset": syscall.ECONNRESET, "timeout": os.ErrDeadlineExceeded, "leaves": context.Canceled,
	}
	switch step {
	case "response":
		go func() {
			req, err := http.ReadRequest(bufio.NewReader(server))
			if err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nId: q\r\n\r\nhello")
			}
			_ = server.Close()
		}()
	case "answers":
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(server))
			_, _ = io.WriteString(server, "H")
			_ = server.Close()
		}()
	case "closed":
		_ = server.Close()
	case "open":
		go func() { _, _ = io.Copy(io.Discard, server) }()
	case "silent":
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(server))
			leave()
		}()
	case "leaves":
		leave()
		fallthrough
	default:
		return nil, &net.OpError{Op: "dial", Err: failure[step]}
	}
	return client, nil
}

// Guards against a connection that carries a request after a check has read from it.
func TestConnectionOfWhichACheckHasReadIsNotKept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened := make(chan int, 1)
	go func() {
		n := 0
		for ; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				break
			}
			if n == 0 {
				_, _ = io.WriteString(c, "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n")
			}
			go func() {
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 2\r\n\r\nok")
				}
				_ = c.Close()
			}()
		}
		opened <- n
	}()
	p := newPool(t, kcclock.NewManual(1000))
	addr := ln.Addr().String()
	if found := p.Liveness(t.Context(), addr, "", ""); found != kcconn.Lives {
		t.Errorf("%s, want that the server lives", found)
	}
	resp, err := p.Do(t.Context(), addr, &kcconn.Request{Method: http.MethodPost, Target: "/", Host: addr, ID: "q"})
	if err == nil {
		resp.Abort()
	}
	_ = ln.Close()
	if n := <-opened; n != 2 || err != nil {
		t.Errorf("%d connections, %v, want 2", n, err)
	}
}
