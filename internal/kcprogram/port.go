package kcprogram

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

// Ports are chosen below the range of ephemeral ports. An outgoing connection
// could otherwise occupy the port of an instance while the instance is down. The
// port that is guardOffset higher is the guard of a port: the test that has chosen
// the port listens there until its end. An instance leaves its port free while it
// is between two processes, and tests in other processes would choose it then.
const (
	firstPort   = 12_000
	lastPort    = 22_000
	guardOffset = 10_000
)

// FreePort returns a port that is free for TCP and UDP. Until the end of the test,
// no other call returns it, also not in another process on the machine.
func FreePort(tb testing.TB) int {
	tb.Helper()
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if release, ok := reserve(port); ok {
			tb.Cleanup(release)
			return port
		}
	}
}

// reserve takes the guard of a port and reports whether the port is free.
func reserve(port int) (release func(), ok bool) {
	guard, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+guardOffset)) //nolint:noctx // returns at once
	if err != nil {
		return nil, false
	}
	release = func() { _ = guard.Close() }
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)) //nolint:noctx // returns at once
	if err != nil {
		release()
		return nil, false
	}
	udp, err := net.ListenPacket("udp", ln.Addr().String()) //nolint:noctx // returns at once
	_ = ln.Close()
	if err != nil {
		release()
		return nil, false
	}
	_ = udp.Close()
	return release, true
}
