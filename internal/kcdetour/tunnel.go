package kcdetour

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
)

// Protocols that a connection to a peer changes to. In both, the bytes for the upstream
// are sent as they are.
const (
	// framedProtocol sends the bytes of the upstream in frames: their number in two bytes
	// (big-endian), then the bytes. An empty frame tells that the upstream has ended its
	// connection in order, the number resetNotice, without bytes, that it has broken. The
	// number stopNotice tells that the peer is stopping and waits for the end of the tunnel.
	framedProtocol = "kingcuprail-tunnel/2"
	// bareProtocol sends the bytes of the upstream as they are. It is that of builds
	// without frames.
	bareProtocol = "kingcuprail-tunnel"
)

const (
	// frameHeadBytes is the size of the head of a frame.
	frameHeadBytes = 2
	// stopNotice and resetNotice are above the size of all frames.
	stopNotice  = 1<<16 - 1
	resetNotice = 1<<16 - 2
)

// errTunnelEnded means that a tunnel has ended without the end of its upstream: the peer
// may have ended.
var errTunnelEnded = errs.New("tunnel: %w: %w", kcconn.ErrPathEnded, io.ErrUnexpectedEOF)

// errTunnelReset means that the connection of a peer to an upstream has broken.
var errTunnelReset = &net.OpError{Op: "read", Net: "tunnel", Err: os.NewSyscallError("read", syscall.ECONNRESET)}

// tunnel is a connection to an upstream through a peer.
type tunnel struct {
	net.Conn
	tcp  *net.TCPConn
	peer string
	// framed is false if the peer does not send frames. The end of such a tunnel does not
	// tell what has ended.
	framed bool

	// ahead holds what was read together with the response of the peer.
	ahead []byte
	// head holds the first headLen bytes of the head of a frame, left is the number of
	// bytes of the current frame that have not been read.
	head    [frameHeadBytes]byte
	headLen int
	left    int
	// ended is true after the empty frame, reset after a resetNotice, and stopping after a
	// stopNotice.
	ended, reset, stopping bool
}

// Via returns the address of the peer.
func (t *tunnel) Via() string { return t.peer }

// SyscallConn returns the raw connection to the peer.
func (t *tunnel) SyscallConn() (syscall.RawConn, error) { return t.tcp.SyscallConn() }

// AtRest reports whether the tunnel may carry another request: its upstream has not ended
// the connection, the peer does not stop, and no part of a frame was read whose rest is
// still to come.
func (t *tunnel) AtRest() bool {
	return !t.ended && !t.reset && !t.stopping && t.headLen == 0 && t.left == 0 && len(t.ahead) == 0
}

// Read reads what the upstream has sent. It returns io.EOF only if the upstream has ended
// its connection in order.
func (t *tunnel) Read(p []byte) (int, error) {
	for len(p) > 0 && !t.ended && !t.reset {
		n, err := t.readFrames(p)
		if t.framed {
			n = t.decode(p[:n])
		}
		switch {
		case n > 0:
			return n, nil
		case t.ended, t.reset:
		case errors.Is(err, io.EOF):
			return 0, errTunnelEnded
		case err != nil:
			return 0, err
		}
	}
	switch {
	case t.ended:
		return 0, io.EOF
	case t.reset:
		return 0, errTunnelReset
	}
	return 0, nil
}

func (t *tunnel) readFrames(p []byte) (int, error) {
	if len(t.ahead) > 0 {
		n := copy(p, t.ahead)
		t.ahead = t.ahead[n:]
		return n, nil
	}
	return t.Conn.Read(p)
}

// decode removes the heads of frames from b and returns the number of bytes that are
// left.
func (t *tunnel) decode(b []byte) (n int) {
	for i := 0; i < len(b) && !t.ended && !t.reset; {
		if t.left > 0 {
			k := copy(b[n:], b[i:min(len(b), i+t.left)])
			n, i, t.left = n+k, i+k, t.left-k
			continue
		}
		t.head[t.headLen] = b[i]
		i++
		if t.headLen++; t.headLen == frameHeadBytes {
			t.headLen = 0
			t.beginFrame(int(binary.BigEndian.Uint16(t.head[:])))
		}
	}
	return n
}

func (t *tunnel) beginFrame(size int) {
	switch size {
	case 0:
		t.ended = true
	case resetNotice:
		t.reset = true
	case stopNotice:
		t.stopping = true
	default:
		t.left = size
	}
}
