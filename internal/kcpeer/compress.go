package kcpeer

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
)

const (
	// minCompressBytes is the smallest body that is compressed. For smaller ones the
	// gzip header outweighs the savings.
	minCompressBytes = 256
	// maxBodyBytes limits the size of a body, decompressed or not.
	maxBodyBytes = 16 << 20
	encodingGzip = "gzip"
)

// compressor compresses bodies with gzip. It reuses a single writer, which takes
// about 1 MB. That is enough because messages are infrequent.
type compressor struct {
	mu sync.Mutex
	w  *gzip.Writer
}

// compress returns p compressed, or p itself if that is not shorter.
func (c *compressor) compress(p []byte) (out []byte, ok bool) {
	if len(p) < minCompressBytes {
		return p, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var b bytes.Buffer
	if c.w == nil {
		c.w, _ = gzip.NewWriterLevel(&b, gzip.BestSpeed) // the level is valid
	} else {
		c.w.Reset(&b)
	}
	_, err := c.w.Write(p)
	if err = errors.Join(err, c.w.Close()); err != nil || b.Len() >= len(p) {
		return p, false
	}
	return b.Bytes(), true
}

// compressRequest compresses the body of a request and announces that a
// compressed response is accepted.
func (c *compressor) compressRequest(req *http.Request) error {
	req.Header.Set("Accept-Encoding", encodingGzip)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return err
	}
	body, ok := c.compress(body)
	if ok {
		req.Header.Set("Content-Encoding", encodingGzip)
	}
	req.ContentLength = int64(len(body))
	req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	req.Body, err = req.GetBody()
	return err
}

// decompress returns body decompressed if its Content-Encoding is gzip, and body
// itself otherwise. Reads fail after maxBodyBytes.
func decompress(h http.Header, body io.ReadCloser) (io.ReadCloser, error) {
	if h.Get("Content-Encoding") != encodingGzip {
		return http.MaxBytesReader(nil, body, maxBodyBytes), nil
	}
	r, err := gzip.NewReader(body)
	if err != nil {
		return nil, errors.Join(err, body.Close())
	}
	return http.MaxBytesReader(nil, struct {
		io.Reader
		io.Closer
	}{r, body}, maxBodyBytes), nil
}

// compressingWriter compresses a response. The body must be written with a single
// call of Write.
type compressingWriter struct {
	http.ResponseWriter
	gzipper     *compressor
	acceptsGzip bool
	status      int
	headerSent  bool
}

// WriteHeader records the status, which is sent together with the body.
func (w *compressingWriter) WriteHeader(status int) { w.status = status }

// Write sends the status and the body. It fails if it was called before.
func (w *compressingWriter) Write(p []byte) (int, error) {
	if w.headerSent {
		return 0, errors.New("kcpeer: the response was already written")
	}
	body, ok := p, false
	if w.acceptsGzip {
		body, ok = w.gzipper.compress(p)
	}
	if ok {
		w.Header().Set("Content-Encoding", encodingGzip)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.sendHeader()
	if _, err := w.ResponseWriter.Write(body); err != nil {
		return 0, err
	}
	return len(p), nil
}

// sendHeader sends the status if that has not been done yet.
func (w *compressingWriter) sendHeader() {
	if !w.headerSent && w.status != 0 {
		w.ResponseWriter.WriteHeader(w.status)
	}
	w.headerSent = true
}
