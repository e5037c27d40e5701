package kcmetric

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
)

// Traffic counts the bytes that connections send and receive, including HTTP
// headers and TLS, but not TCP and IP headers.
type Traffic struct{ in, out metrics.Counter }

// Traffic returns a Traffic that counts in name.wireBytesIn and
// name.wireBytesOut.
func (r *Registry) Traffic(name string) Traffic {
	return Traffic{
		in:  metrics.GetOrRegisterCounter(name+".wireBytesIn", r.Registry),
		out: metrics.GetOrRegisterCounter(name+".wireBytesOut", r.Registry),
	}
}

// BytesIn returns the bytes that were received.
func (t Traffic) BytesIn() int64 { return t.in.Count() }

// BytesOut returns the bytes that were sent.
func (t Traffic) BytesOut() int64 { return t.out.Count() }

// Dial opens a connection whose bytes are counted.
func (t Traffic) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return countingConn{c, t}, nil
}

// WrapListener returns a listener that accepts the connections of ln and counts
// their bytes.
func (t Traffic) WrapListener(ln net.Listener) net.Listener { return countingListener{ln, t} }

type countingListener struct {
	net.Listener
	t Traffic
}

// Accept returns the next connection. Its bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.t}, nil
}

type countingConn struct {
	net.Conn
	t Traffic
}

// Read reads and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.in.Inc(int64(n))
	return n, err
}

// Write counts and writes the bytes. They are counted before they can reach the
// other side, so that no answer arrives before its request is counted. Bytes
// that could not be written are taken off again.
func (c countingConn) Write(p []byte) (int, error) {
	c.t.out.Inc(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.t.out.Dec(int64(len(p) - n))
	return n, err
}
