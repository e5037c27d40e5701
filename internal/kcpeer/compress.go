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
	// minCompressBytes is the size in bytes below which a body is sent as it is:
	// the header of a compressed one would take what it saves.
	minCompressBytes = 256
	// maxBodyBytes bounds a body after it was expanded, in bytes.
	maxBodyBytes = 16 << 20
	encodingGzip = "gzip"
)

// compressor compresses bodies. It keeps one writer, which has about 1 MB,
// because messages are few.
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

// request compresses the body of a request and accepts a compressed answer.
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

// expand returns the body as it was before it was compressed.
func decompress(h http.Header, body io.ReadCloser) (io.ReadCloser, error) {
	if h.Get("Content-Encoding") != encodingGzip {
		return body, nil
	}
	r, err := gzip.NewReader(body)
	if err != nil {
		return nil, errors.Join(err, body.Close())
	}
	return struct {
		io.Reader
		io.Closer
	}{io.LimitReader(r, maxBodyBytes), body}, nil
}

// compressingWriter compresses an answer, which is written at once.
type compressingWriter struct {
	http.ResponseWriter
	gzipper     *compressor
	acceptsGzip bool
	status      int
	headerSent  bool
}

// WriteHeader takes the status, which is sent with the body.
func (w *compressingWriter) WriteHeader(status int) { w.status = status }

// Write sends the status and the body.
func (w *compressingWriter) Write(p []byte) (int, error) {
	if w.headerSent {
		return 0, errors.New("kcpeer: the answer was already written")
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

// finish sends the status if no body was written.
func (w *compressingWriter) sendHeader() {
	if !w.headerSent && w.status != 0 {
		w.ResponseWriter.WriteHeader(w.status)
	}
	w.headerSent = true
}
