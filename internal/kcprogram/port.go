package kcprogram

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

// Ports are chosen below the range of ephemeral ports. An outgoing connection
// could otherwise occupy the port of an instance while the instance is down.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// FreePort returns a port that is free for TCP and UDP.
func FreePort(tb testing.TB) int {
	tb.Helper()
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)) //nolint:noctx // returns at once
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", ln.Addr().String()) //nolint:noctx // returns at once
		_ = ln.Close()
		if err != nil {
			continue
		}
		_ = udp.Close()
		return port
	}
}
