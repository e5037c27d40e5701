package kcdetour

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// copyBufferBytes is the buffer of one direction: a few events, or two packets.
	copyBufferBytes = 8 << 10
	// lingerMs is how long the rest of a request is read after its upstream has closed
	// the connection, so that the response is not lost with it.
	lingerMs = 1000 * kcclock.Millisecond
)

// passageEnd is what has ended a passage, as in metrics.
type passageEnd string

// Values of passageEnd.
const (
	endedByUpstream passageEnd = "upstream"
	endedByPeer     passageEnd = "peer"
	// endedBroken: a connection was reset, or fell silent.
	endedBroken passageEnd = "broken"
)

// passage is one tunnel at the relay: the connection of a peer and the one to the
// upstream.
type passage struct {
	clock     kcclock.Clock
	near, far net.Conn
	// framed is false if the peer does not know frames.
	framed bool
	// activeAt is when a byte has passed last.
	activeAt atomic.Int64
	// stopping is true from the stop of the relay until the peer is told.
	stopping atomic.Bool
	// peerEnded is true once the peer has ended its connection.
	peerEnded atomic.Bool

	// writeMu is held during each write to the upstream, and writeErr the error of the one
	// that failed. It has taken the error of the socket, so reads end as if the upstream
	// had closed the connection in order.
	writeMu  sync.Mutex
	writeErr error
}

// acceptsFrames reports whether the peer that asks for a tunnel knows frames.
func acceptsFrames(req *http.Request) bool {
	for name := range strings.SplitSeq(req.Header.Get("Upgrade"), ",") {
		if strings.TrimSpace(name) == framedProtocol {
			return true
		}
	}
	return false
}

func newPassage(clock kcclock.Clock, near, far net.Conn, framed bool) *passage {
	p := &passage{clock: clock, near: near, far: far, framed: framed}
	p.activeAt.Store(int64(clock.Now()))
	if !framed {
		p.resetAtEnd(true)
	}
	return p
}

// protocol returns the protocol that the connection of the peer changes to.
func (p *passage) protocol() string {
	if p.framed {
		return framedProtocol
	}
	return bareProtocol
}

// resetAtEnd sets whether the connection of the peer is reset when it is closed, also
// by the kernel after the end of this process.
func (p *passage) resetAtEnd(reset bool) {
	linger := -1
	if reset {
		linger = 0
	}
	if tcp, ok := p.near.(*net.TCPConn); ok {
		_ = tcp.SetLinger(linger)
	}
}

// close closes both connections.
func (p *passage) close() { _, _ = p.near.Close(), p.far.Close() }

// run passes bytes on until either side ends. The end and the reset of the upstream
// reach the peer as what they are. Whatever ends the connection of the peer ends that to
// the upstream.
func (p *passage) run() passageEnd {
	toUpstream := make(chan struct{})
	go func() {
		defer close(toUpstream)
		p.passRequests()
		_ = p.far.Close()
	}()
	end := p.passResponses()
	if p.peerEnded.Load() {
		end = endedByPeer
	}
	if end == endedByUpstream || p.framed && end == endedBroken {
		p.endResponse(end)
	} else {
		p.resetAtEnd(true)
		p.close()
	}
	<-toUpstream
	return end
}

// endResponse ends the connection of the peer after what was sent on it, and without the
// end of the upstream if that is not known.
func (p *passage) endResponse(end passageEnd) {
	if end == endedByUpstream {
		p.resetAtEnd(false)
	}
	if tcp, ok := p.near.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = p.near.SetReadDeadline(time.Now().Add(lingerMs.Duration()))
}

// passRequests copies to the upstream until the peer ends. After a failed write it only
// reads, so that the peer gets to the response.
func (p *passage) passRequests() {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := p.near.Read(buf)
		if n > 0 {
			p.activeAt.Store(int64(p.clock.Now()))
			p.write(buf[:n])
		}
		if err != nil {
			p.peerEnded.Store(!errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded))
			return
		}
	}
}

func (p *passage) write(b []byte) {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	if p.writeErr == nil {
		_, p.writeErr = p.far.Write(b)
	}
}

// awaitWrite waits until no write to the upstream is running and returns the error of
// the one that failed.
func (p *passage) awaitWrite() error {
	_ = p.far.SetWriteDeadline(time.Now().Add(lingerMs.Duration()))
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	return p.writeErr
}

// passResponses copies from the upstream until either side ends, and tells the peer how
// the upstream has ended.
func (p *passage) passResponses() passageEnd {
	buf := make([]byte, frameHeadBytes+copyBufferBytes)
	for {
		n, err := p.far.Read(buf[frameHeadBytes:])
		if n > 0 {
			p.activeAt.Store(int64(p.clock.Now()))
			if p.writeFrame(buf[:frameHeadBytes+n]) != nil {
				return endedByPeer
			}
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && p.stopping.CompareAndSwap(true, false):
			if p.far.SetReadDeadline(time.Time{}) != nil || p.writeHead(stopNotice) != nil {
				return endedBroken
			}
		case errors.Is(err, io.EOF):
			if p.awaitWrite() == nil && p.writeHead(0) == nil {
				return endedByUpstream
			}
			return endedBroken
		case err != nil:
			_ = p.writeHead(resetNotice) // the tunnel ends without it as well
			return endedBroken
		}
	}
}

// stop tells a peer that knows frames to end the tunnel.
func (p *passage) stop() {
	p.stopping.Store(true)
	_ = p.far.SetReadDeadline(time.Now()) // wakes passResponses
}

// writeFrame sends the bytes of b after the room for the head of a frame.
func (p *passage) writeFrame(b []byte) error {
	if !p.framed {
		b = b[frameHeadBytes:]
	} else {
		binary.BigEndian.PutUint16(b, uint16(len(b)-frameHeadBytes)) //nolint:gosec // at most copyBufferBytes
	}
	_, err := p.near.Write(b)
	return err
}

// writeHead sends the head of a frame without bytes to a peer that knows frames.
func (p *passage) writeHead(n uint16) error {
	if !p.framed {
		return nil
	}
	_, err := p.near.Write(binary.BigEndian.AppendUint16(nil, n))
	return err
}
