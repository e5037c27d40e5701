package kcpeer

import (
	"errors"
	"io"
	"net/http"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
)

// errUnframed means that a response has neither a length nor chunks, unlike all that
// instances send, so that its end does not show that it is complete.
var errUnframed = errs.New("peer: the response has no framing")

// countingBody counts the bytes that are read from a body.
type countingBody struct {
	io.ReadCloser
	bytes int64
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	return n, err
}

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += int64(n)
	return n, err
}

// reportingBody reports the bytes that were read from a body when it is closed.
type reportingBody struct {
	countingBody
	closed bool
	report func(n int64)
}

func (b *reportingBody) Close() error {
	if !b.closed {
		b.closed = true
		b.report(b.bytes)
	}
	return b.countingBody.Close()
}

// countMessage adds one message and the bytes of its request and response bodies
// to the metrics of its RPC. HTTP headers are not included.
func (n *Node) countMessage(rpc string, sent, received int64) {
	n.opts.Metrics.Add("peer."+rpc+".messages", 1)
	n.opts.Metrics.Add("peer."+rpc+".bytesOut", sent)
	n.opts.Metrics.Add("peer."+rpc+".bytesIn", received)
}

// Do sends a request of a Twirp client and counts the bytes of the bodies.
func (c *client) Do(req *http.Request) (*http.Response, error) {
	if err := c.node.gzipper.compressRequest(req); err != nil {
		return nil, err
	}
	req.Header.Set(deploymentHeader, c.node.opts.Deployment)
	resp, err := c.http.Do(req)
	if err != nil {
		c.node.countMessage(rpcName(req.URL.Path), req.ContentLength, 0)
		return nil, err
	}
	if other := resp.Header.Get(deploymentHeader); other != c.node.opts.Deployment {
		// An answer of a foreign instance is as good as none: the peer of the list
		// was not reached.
		c.node.recordForeign(req.URL.Host, other)
		return nil, errors.Join(errForeign, resp.Body.Close())
	}
	if !kcresponse.IsFramed(resp) {
		// A part of a message may be a message too.
		return nil, errors.Join(errUnframed, resp.Body.Close())
	}
	c.gotResponse = true
	counted := &reportingBody{countingBody: countingBody{ReadCloser: resp.Body}, report: func(in int64) {
		c.node.countMessage(rpcName(req.URL.Path), req.ContentLength, in)
	}}
	resp.Body, err = decompress(resp.Header, counted)
	return resp, err
}
