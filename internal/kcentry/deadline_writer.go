package kcentry

import (
	"net/http"
	"strconv"
	"time"
)

// maxBytesPerDeadline bounds the bytes that are written under one write deadline.
const maxBytesPerDeadline = 64 << 10

// deadlineWriter sets a new write deadline for each part of a response. A caller
// that never reads cannot block the request forever, while a slow one gets the
// complete response.
type deadlineWriter struct {
	http.ResponseWriter
	rc           *http.ResponseController
	writeTimeout time.Duration
	// started is true once the status has been written.
	started bool
	// writeErr is the first write error: the caller disconnected or does not read.
	writeErr error
}

func newDeadlineWriter(w http.ResponseWriter, writeTimeout time.Duration) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// Unwrap returns the wrapped writer, as http.ResponseController requires.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// setLength sets the length of the body. Without it, the end of a large response in
// HTTP/1.0 does not show that it is complete.
func (w *deadlineWriter) setLength(n int) {
	if n > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(n))
	}
}

// WriteHeader sends the status under a new deadline.
func (w *deadlineWriter) WriteHeader(status int) {
	w.started = true
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends p in parts of up to maxBytesPerDeadline.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	w.started = true
	total := 0
	for w.writeErr == nil {
		part := p[total:min(total+maxBytesPerDeadline, len(p))]
		w.extendDeadline()
		n, err := w.ResponseWriter.Write(part)
		total += n
		w.writeErr = err
		if total == len(p) {
			break
		}
	}
	return total, w.writeErr
}

// flush sends the buffered data.
func (w *deadlineWriter) flush() error {
	if w.writeErr == nil {
		w.writeErr = w.rc.Flush()
	}
	return w.writeErr
}

// extendDeadline sets a new write deadline. The error is ignored because writers
// in tests and of jobs do not support deadlines.
func (w *deadlineWriter) extendDeadline() { _ = w.rc.SetWriteDeadline(time.Now().Add(w.writeTimeout)) }
