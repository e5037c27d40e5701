package kccrowd

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcprogram"
)

const (
	// entryMemoryMB is the soft limit of the Go runtime that the process is started
	// with. The bodies of a crowd are three times as much.
	entryMemoryMB = 160
	// entryDescriptors is the limit on open files that the process is started with.
	entryDescriptors = 600
	entryMaxBody     = 8 * mib
)

var entryStarted = regexp.MustCompile(`^callers +http://(\S+)/v1`)

// startEntry starts an entry instance with the stand-ins of the demo. Its limits
// are those of the process, which the shell lowers.
func startEntry(t *testing.T) *target {
	t.Helper()
	t.Setenv("GOMEMLIMIT", strconv.Itoa(entryMemoryMB)+"MiB")
	process, m := kcprogram.Start(t, "demo", entryStarted, "/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`,
		strconv.Itoa(entryDescriptors), programPath, "demo", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0")
	tg := &target{
		process: process, addr: m[1], memoryBytes: entryMemoryMB * mib, descriptors: entryDescriptors,
		sockets: entryDescriptors, path: "/v1/services/orders/lookup", large: "/v1/chat/completions", stream: "/v1/chat/completions",
		maxBody: entryMaxBody, maxHeader: 256 << 10,
		header: "Host: demo\r\nAuthorization: Bearer demo-key\r\nContent-Type: application/json\r\n",
		streamBody: `{"model":"small","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"` +
			string(bytes.Repeat([]byte("word "), 2000)) + `"}]}`,
	}
	tg.largeBody = strings.Replace(tg.streamBody, `"stream":true`, `"stream":false`, 1)
	tg.ordinary = func(body []byte) error {
		req, err := http.NewRequest(http.MethodPost, "http://"+tg.addr+tg.path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer demo-key")
		req.Header.Set("Content-Type", "application/json")
		return send(req)
	}
	if err := tg.serveOrdinary(t.Context(), []byte("ordinary")); err != nil {
		t.Fatalf("not ready: %v\n%s", err, process.Tail())
	}
	return tg
}

// chatBody sends a chat request of the largest legal size, which is decoded and
// encoded again if it is complete. Most stop one byte short.
func chatBody(tg *target, c net.Conn, n int) error {
	const head, tail = `{"model":"small","messages":[{"role":"user","content":"`, `"}]}`
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", tg.maxBody)
	if err := begin(tg, c, tg.stream, n, framing+head); err != nil {
		return err
	}
	if _, err := c.Write(fill[:tg.maxBody-len(head)-len(tail)]); err != nil {
		return err
	}
	end := tail
	if stopsShort(n) {
		end = tail[:len(tail)-1]
	}
	_, err := c.Write([]byte(end))
	return err
}

// Guards against a limit that refuses a single request within the limits of the
// settings.
func TestEntryServesLargestBodyInCalm(t *testing.T) {
	tg := startEntry(t)
	if err := tg.ordinary(fill[:tg.maxBody]); err != nil {
		t.Errorf("the largest legal body: %v", err)
	}
	var u usage
	u.sample(tg.process.PID())
	tg.check(t, u)
}

// Guards against large bodies that are sent at once and kept in memory without a
// bound on their sum.
func TestEntryOutlivesWholeBodies(t *testing.T) { startEntry(t).run(t, bodyCallers, wholeBody) }

// Guards against the same with bodies that arrive in pieces.
func TestEntryOutlivesBodiesInPieces(t *testing.T) { startEntry(t).run(t, bodyCallers, bodyInPieces) }

// Guards against bodies without a stated length whose end never comes.
func TestEntryOutlivesLargeChunks(t *testing.T) {
	startEntry(t).run(t, bodyCallers, chunkedBody(largeChunkBytes))
}

// Guards against the same in chunks that are hardly larger than their framing.
func TestEntryOutlivesSmallChunks(t *testing.T) {
	startEntry(t).run(t, bodyCallers, chunkedBody(smallChunkBytes))
}

// Guards against bodies over the limit that are read although their length is
// known.
func TestEntryOutlivesAnnouncedOversize(t *testing.T) {
	startEntry(t).run(t, bodyCallers, announcedOversize)
}

// Guards against bodies over the limit that are kept until the limit is met.
func TestEntryOutlivesSentOversize(t *testing.T) { startEntry(t).run(t, bodyCallers, sentOversize) }

// Guards against a bound that holds for one kind of caller only.
func TestEntryOutlivesMixedCrowd(t *testing.T) { startEntry(t).run(t, 4*bodyCallers, mixed) }

// Guards against headers that are kept for as long as their end does not come.
func TestEntryOutlivesSlowHeaders(t *testing.T) { startEntry(t).run(t, openCallers, slowHeader) }

// Guards against connections that take every descriptor and send nothing.
func TestEntryOutlivesSilentConnections(t *testing.T) { startEntry(t).run(t, openCallers, silent) }

// Guards against the copies of a body that its decoding and encoding make.
func TestEntryOutlivesChatBodies(t *testing.T) { startEntry(t).run(t, bodyCallers, chatBody) }

// Guards against answers that are held for callers that do not read.
func TestEntryOutlivesUnreadAnswers(t *testing.T) { startEntry(t).run(t, openCallers, unreadAnswers) }

// Guards against events that are held for callers that do not read.
func TestEntryOutlivesUnreadStreams(t *testing.T) { startEntry(t).run(t, openCallers, unreadStream) }

// Guards against requests that are read ahead of the answers before them.
func TestEntryOutlivesPipelinedRequests(t *testing.T) { startEntry(t).run(t, bodyCallers, pipelined) }
