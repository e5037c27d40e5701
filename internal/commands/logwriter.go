package commands

import (
	"fmt"
	"io"
	"sync/atomic"
)

// logQueueLines bounds the lines that are queued while the reader of the log is
// slow. With about 300 bytes a line they take 600 KB.
const logQueueLines = 2048

// logWriter writes lines asynchronously and never blocks its callers. Lines are
// dropped while the queue is full. Their number is logged after the next line
// that is written.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	flushed chan struct{}
}

func newLogWriter(w io.Writer) *logWriter {
	l := &logWriter{lines: make(chan []byte, logQueueLines), flushed: make(chan struct{})}
	go func() {
		defer close(l.flushed)
		for line := range l.lines {
			_, _ = w.Write(line)
			if n := l.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
			}
		}
	}()
	return l
}

// Write queues one line, or drops it if the queue is full.
func (l *logWriter) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the queued lines and waits for that. Write must not be called
// after Close.
func (l *logWriter) Close() {
	close(l.lines)
	<-l.flushed
}
