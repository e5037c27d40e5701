package kcfault

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// unreadPollMs is the time between two looks at a connection that has unread bytes.
const unreadPollMs = 2 * kcclock.Millisecond

// waitUntilRead waits until the client of a connection on this machine has read all
// that the server has written, or has closed the connection.
func waitUntilRead(ctx context.Context, nc net.Conn) error {
	for {
		n, err := unreadBytes(nc)
		if err != nil || n == 0 {
			return err
		}
		if err := kcclock.Wait(ctx, kcclock.System{}, unreadPollMs); err != nil {
			return err
		}
	}
}

// unreadBytes returns the number of bytes that the server of a connection on this
// machine has written and that the kernel still holds, 0 if the client has closed it.
func unreadBytes(nc net.Conn) (n int64, err error) {
	server, client, err := ports(nc)
	if err != nil {
		return 0, err
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	open, marker := false, fmt.Appendf(nil, ":%04X ", client)
	for line := range bytes.Lines(table) {
		if !bytes.Contains(line, marker) {
			continue
		}
		// Number, local and remote address, state, "sent:received" bytes in queues.
		fields := strings.Fields(string(line))
		if len(fields) < 5 {
			continue
		}
		local, remote := hexAfterColon(fields[1]), hexAfterColon(fields[2])
		sent, _, _ := strings.Cut(fields[4], ":")
		switch {
		case local == server && remote == client:
			n += hexAfterColon(":" + sent)
		case local == client && remote == server:
			open = true
			n += hexAfterColon(fields[4])
		}
	}
	if !open {
		return 0, nil
	}
	return n, nil
}

// ports returns the ports of the server's and the client's end of a connection.
func ports(nc net.Conn) (server, client int64, err error) {
	local, ok := nc.LocalAddr().(*net.TCPAddr)
	remote, alsoOK := nc.RemoteAddr().(*net.TCPAddr)
	if !ok || !alsoOK {
		return 0, 0, fmt.Errorf("%s is no TCP connection", nc.RemoteAddr())
	}
	return int64(local.Port), int64(remote.Port), nil
}

// hexAfterColon returns the hexadecimal number after a colon, 0 if there is none.
func hexAfterColon(text string) int64 {
	_, text, _ = strings.Cut(text, ":")
	n, err := strconv.ParseInt(text, 16, 64)
	if err != nil {
		return 0
	}
	return n
}
