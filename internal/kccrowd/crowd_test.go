// Package kccrowd starts the built program as a process on loopback, sends it
// crowds of callers that do not respect its limits, and checks that the process
// lives within its memory and its descriptors.
//
// The tests measure a process, so each must run alone: scripts/test runs this
// package by itself.
package kccrowd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcprogram"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

var programPath string

func TestMain(m *testing.M) {
	dir, remove, err := kcprogram.TempDir()
	if err != nil {
		panic(err)
	}
	if programPath, err = kcprogram.Build(dir, "../.."); err != nil {
		panic(err)
	}
	code := m.Run()
	remove()
	os.Exit(code)
}

const (
	mib = 1 << 20
	// bodyCallers is the number of callers with large bodies. The bodies of all of
	// them are at least twice the memory of each target.
	bodyCallers = 60
	// openCallers is the number of callers that only need a connection. It is above
	// the descriptors of each target.
	openCallers = 700
	// holdMs is how long a crowd stays connected after each caller has sent what it
	// sends. Callers that are disconnected before do not come back.
	holdMs = 2000 * kcclock.Millisecond
	// sampleMs is the time between two readings of the process.
	sampleMs = 20 * kcclock.Millisecond
	// callerTimeoutMs ends a caller that can neither send nor stay connected.
	callerTimeoutMs = 20 * kcclock.Second
	// ordinaryTries bounds the tries of the ordinary request after a crowd.
	ordinaryTries = 40
	// ordinaryTimeoutMs is how long an ordinary caller waits before it tries again.
	ordinaryTimeoutMs = 5 * kcclock.Second
	// ordinaryPauseMs is the pause between two of these tries.
	ordinaryPauseMs = 100 * kcclock.Millisecond
)

// target is a running program that a crowd is sent to.
type target struct {
	process *kcprogram.Process
	// addr is the address for callers.
	addr string
	// memoryBytes is the memory that the settings of the process give it, and
	// descriptors the number of descriptors that it may have open at a time. sockets
	// is the part of them that is not reserved for files.
	memoryBytes          int64
	descriptors, sockets int
	// path and header are those of the requests of the crowd, large those of
	// requests for large answers.
	path, large, stream string
	header              string
	// maxBody is the size of the largest legal body, maxHeader that of the largest
	// headers.
	maxBody, maxHeader int
	// largeBody and streamBody are the bodies of requests for a large answer and for
	// a stream.
	largeBody, streamBody string
	// ordinary sends an ordinary request and reports whether it was served.
	ordinary func(body []byte) error
}

// crowd is what a caller of a crowd does. It sends its part and returns; the
// connection stays open until the end of the test. n is the number of the caller.
type crowd func(tg *target, c net.Conn, n int) error

// usage is the highest use of resources that was seen of a process.
type usage struct {
	rssBytes, peakBytes  int64
	descriptors, sockets int
}

var statusLine = regexp.MustCompile(`(?m)^(VmRSS|VmHWM):\s+(\d+) kB$`)

// sample reads the use of resources of a process. A process that has ended has
// none.
func (u *usage) sample(pid int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return
	}
	for _, m := range statusLine.FindAllStringSubmatch(string(text), -1) {
		kb, _ := strconv.ParseInt(m[2], 10, 64)
		if m[1] == "VmRSS" {
			u.rssBytes = max(u.rssBytes, kb<<10)
		} else {
			u.peakBytes = max(u.peakBytes, kb<<10)
		}
	}
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return
	}
	sockets := 0
	for _, e := range entries {
		if to, err := os.Readlink(dir + "/" + e.Name()); err == nil && strings.HasPrefix(to, "socket:") {
			sockets++
		}
	}
	u.descriptors, u.sockets = max(u.descriptors, len(entries)), max(u.sockets, sockets)
}

// run sends a crowd of callers and checks the process during it, while the
// callers stay connected, and afterwards.
func (tg *target) run(t *testing.T, callers int, act crowd) {
	t.Helper()
	before, seen := usage{}, usage{}
	before.sample(tg.process.PID())
	ctx, stop := context.WithCancel(context.Background())
	var sampling, sending, staying sync.WaitGroup
	sampling.Go(func() {
		for ; ctx.Err() == nil; _ = kcclock.Wait(ctx, kcclock.System{}, sampleMs) {
			seen.sample(tg.process.PID())
		}
	})
	leave := make(chan struct{})
	var unsent atomic.Int64
	for n := range callers {
		sending.Add(1)
		staying.Go(func() {
			if err := tg.attend(n, act, leave, sync.OnceFunc(sending.Done)); err != nil {
				unsent.Add(1)
			}
		})
	}
	sending.Wait()
	_ = kcclock.Wait(ctx, kcclock.System{}, holdMs)
	err := tg.serveOrdinary(ctx, []byte("ordinary"))
	close(leave)
	staying.Wait()
	afterwards := tg.serveOrdinary(ctx, []byte("ordinary"))
	stop()
	sampling.Wait()
	t.Logf("%d callers, %d ended early; memory %.1f MB before, at most %.1f MB (VmHWM %.1f) of %.0f; "+
		"descriptors at most %d (%d sockets) of %d", callers, unsent.Load(), float64(before.rssBytes)/mib,
		float64(seen.rssBytes)/mib, float64(seen.peakBytes)/mib, float64(tg.memoryBytes)/mib, seen.descriptors, seen.sockets,
		tg.descriptors)
	tg.check(t, seen)
	if err != nil {
		t.Errorf("an ordinary request was not served while the crowd was connected: %v", err)
	}
	if afterwards != nil {
		t.Errorf("an ordinary request was not served after the crowd had left: %v", afterwards)
	}
}

// attend is one caller of a crowd. sent is called once or more when it has sent its
// part.
func (tg *target) attend(n int, act crowd, leave <-chan struct{}, sent func()) error {
	defer sent()
	c, err := net.DialTimeout("tcp", tg.addr, callerTimeoutMs.Duration())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(callerTimeoutMs.Duration()))
	err = act(tg, c, n)
	sent()
	<-leave
	return err
}

// check compares the use of resources with what the settings state.
func (tg *target) check(t *testing.T, u usage) {
	t.Helper()
	select {
	case <-tg.process.Done():
		t.Errorf("the process has ended: %v\n%s", tg.process.Wait(), tg.process.Tail())
	default:
	}
	if out := tg.process.Output(); strings.Contains(out, "panic:") || strings.Contains(out, "fatal error:") {
		t.Errorf("the process has crashed:\n%s", tg.process.Tail())
	}
	if most := max(u.rssBytes, u.peakBytes); most > tg.memoryBytes {
		t.Errorf("the process took %.1f MB of memory, its settings give it %.0f", float64(most)/mib, float64(tg.memoryBytes)/mib)
	}
	if u.descriptors >= tg.descriptors || u.sockets > tg.sockets {
		t.Errorf("the process had %d descriptors open, its settings allow fewer than %d; %d were sockets, of at most %d",
			u.descriptors, tg.descriptors, u.sockets, tg.sockets)
	}
}

// serveOrdinary sends one ordinary request. As an ordinary caller does, it tries
// again if it is refused.
func (tg *target) serveOrdinary(ctx context.Context, body []byte) error {
	var err error
	for range ordinaryTries {
		if err = tg.ordinary(body); err == nil {
			return nil
		}
		select {
		case <-tg.process.Done():
			return errors.New("the process has ended")
		default:
		}
		_ = kcclock.Wait(ctx, kcclock.System{}, ordinaryPauseMs)
	}
	return err
}

// send sends one request on a connection of its own and reports whether it was
// served.
func send(req *http.Request) error {
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: ordinaryTimeoutMs.Duration()}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// fill is the content of large bodies. The callers share it.
var fill = bytes.Repeat([]byte("a"), 8*mib)

// fillHeader is a header of 16 KiB.
var fillHeader = bytes.Repeat([]byte("A: b\r\n"), 16<<10/6)

// begin writes the head of a request of the crowd without its last line.
func begin(tg *target, c net.Conn, path string, n int, framing string) error {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\n%sRequest-Id: crowd-%d\r\n%s", path, tg.header, n, framing)
	return err
}

// stopsShort reports whether a caller stops just short of the end of its body.
// One of eight completes it.
func stopsShort(n int) bool { return n%8 != 0 }

// wholeBody sends a body of the largest legal size at once.
func wholeBody(tg *target, c net.Conn, n int) error {
	if err := begin(tg, c, tg.path, n, fmt.Sprintf("Content-Length: %d\r\n\r\n", tg.maxBody)); err != nil {
		return err
	}
	size := tg.maxBody
	if stopsShort(n) {
		size--
	}
	_, err := c.Write(fill[:size])
	return err
}

// bodyInPieces sends the same body in pieces.
func bodyInPieces(tg *target, c net.Conn, n int) error {
	const pieceBytes = 64 << 10
	if err := begin(tg, c, tg.path, n, fmt.Sprintf("Content-Length: %d\r\n\r\n", tg.maxBody)); err != nil {
		return err
	}
	size := tg.maxBody
	if stopsShort(n) {
		size--
	}
	for sent := 0; sent < size; {
		piece := fill[sent:min(sent+pieceBytes, size)]
		if _, err := c.Write(piece); err != nil {
			return err
		}
		sent += len(piece)
		_ = kcclock.Wait(context.Background(), kcclock.System{}, kcclock.Millis(1+n%3))
	}
	return nil
}

// chunkedBody returns a caller that sends a body of the largest legal size in
// chunks. Most stop before the last chunk, which ends the body.
func chunkedBody(chunkBytes int) crowd {
	return func(tg *target, c net.Conn, n int) error {
		if err := begin(tg, c, tg.path, n, "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, fill[:chunkBytes])
		// Small chunks are written together, so that the sender isn't the slow side.
		batch := max(1, 64<<10/len(chunk))
		block := bytes.Repeat(chunk, batch)
		for sent := 0; sent+batch*chunkBytes <= tg.maxBody; sent += batch * chunkBytes {
			if _, err := c.Write(block); err != nil {
				return err
			}
		}
		if stopsShort(n) {
			return nil
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	}
}

const (
	largeChunkBytes = 256 << 10
	smallChunkBytes = 24
	// oversizeFactor is the size of bodies over the limit as a multiple of it.
	oversizeFactor = 8
)

// announcedOversize announces a body far over the limit and sends it.
func announcedOversize(tg *target, c net.Conn, n int) error {
	size := oversizeFactor * tg.maxBody
	if err := begin(tg, c, tg.path, n, fmt.Sprintf("Content-Length: %d\r\n\r\n", size)); err != nil {
		return err
	}
	for sent := 0; sent < size; sent += tg.maxBody {
		if _, err := c.Write(fill[:tg.maxBody]); err != nil {
			return err
		}
	}
	return nil
}

// sentOversize sends a body far over the limit without announcing its size.
func sentOversize(tg *target, c net.Conn, n int) error {
	if err := begin(tg, c, tg.path, n, "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", largeChunkBytes, fill[:largeChunkBytes])
	for sent := 0; sent < oversizeFactor*tg.maxBody; sent += largeChunkBytes {
		if _, err := c.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// mixed is a crowd of all the others with bodies.
func mixed(tg *target, c net.Conn, n int) error {
	kinds := []crowd{
		wholeBody, bodyInPieces, chunkedBody(largeChunkBytes), chunkedBody(smallChunkBytes), announcedOversize, sentOversize,
		slowHeader, silent, unreadAnswers, unreadStream, pipelined,
	}
	return kinds[n%len(kinds)](tg, c, n/len(kinds))
}

// slowHeader sends most of the largest headers at once and the rest byte by byte,
// without an end.
func slowHeader(tg *target, c net.Conn, n int) error {
	if err := begin(tg, c, tg.path, n, ""); err != nil {
		return err
	}
	for sent := 0; sent+2*len(fillHeader) <= tg.maxHeader; sent += len(fillHeader) {
		if _, err := c.Write(fillHeader); err != nil {
			return err
		}
	}
	for range 200 {
		if _, err := io.WriteString(c, "a"); err != nil {
			return err
		}
		_ = kcclock.Wait(context.Background(), kcclock.System{}, 5)
	}
	return nil
}

// silent opens a connection and sends nothing.
func silent(*target, net.Conn, int) error { return nil }

// unreadAnswers asks for large answers one after the other, without waiting, and
// reads none.
func unreadAnswers(tg *target, c net.Conn, n int) error {
	return pipeline(tg, c, n, tg.large, 40, tg.largeBody)
}

// unreadStream asks for streams and reads nothing.
func unreadStream(tg *target, c net.Conn, n int) error {
	return pipeline(tg, c, n, tg.stream, 10, tg.streamBody)
}

// pipelined sends many small requests without waiting for answers.
func pipelined(tg *target, c net.Conn, n int) error {
	return pipeline(tg, c, n, tg.path, 2000, "x")
}

// pipeline writes requests as long as the process takes them, up to a number, and
// reads no answer.
func pipeline(tg *target, c net.Conn, n int, path string, requests int, body string) error {
	for k := range requests {
		// A process that reads no further request is as intended.
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		head := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		if err := begin(tg, c, path, n*requests+k, head); err != nil {
			return err
		}
	}
	return nil
}
