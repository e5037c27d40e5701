package kcentry

import (
	"net/http"
	"time"
)

// maxBytesPerDeadline bounds what is written under one write deadline.
const maxBytesPerDeadline = 64 << 10

// deadlineWriter gives each part of an answer a deadline of its own, so that a
// caller that never reads does not hold the request for ever, while a slow one
// gets the whole answer.
type deadlineWriter struct {
	http.ResponseWriter
	rc           *http.ResponseController
	writeTimeout time.Duration
	// started is true once the status has been written.
	started bool
	// err is the first failed write: the caller is gone or does not read.
	writeErr error
}

func newDeadlineWriter(w http.ResponseWriter, writeTimeout time.Duration) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the status.
func (w *deadlineWriter) WriteHeader(status int) {
	w.started = true
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends p in parts.
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

// flush sends what is buffered.
func (w *deadlineWriter) flush() error {
	if w.writeErr == nil {
		w.writeErr = w.rc.Flush()
	}
	return w.writeErr
}

// extend starts a new deadline. Writers of tests have none.
func (w *deadlineWriter) extendDeadline() { _ = w.rc.SetWriteDeadline(time.Now().Add(w.writeTimeout)) }
