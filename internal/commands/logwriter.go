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
	lines chan []byte
	// dropped is the number of dropped lines that the log does not tell of yet.
	dropped atomic.Int64
	closing chan struct{}
	flushed chan struct{}
}

func newLogWriter(w io.Writer) *logWriter {
	l := &logWriter{lines: make(chan []byte, logQueueLines), closing: make(chan struct{}), flushed: make(chan struct{})}
	go func() {
		defer close(l.flushed)
		for {
			select {
			case line := <-l.lines:
				l.writeLine(w, line)
			case <-l.closing:
				l.writeQueued(w)
				return
			}
		}
	}()
	return l
}

func (l *logWriter) writeLine(w io.Writer, line []byte) {
	_, _ = w.Write(line)
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
	}
}

// writeQueued writes the lines that are in the queue.
func (l *logWriter) writeQueued(w io.Writer) {
	for {
		select {
		case line := <-l.lines:
			l.writeLine(w, line)
		default:
			return
		}
	}
}

// Write queues one line. It drops the line if the queue is full or the writer is
// closed: requests that outlast a stop still log.
func (l *logWriter) Write(p []byte) (int, error) {
	select {
	case <-l.closing:
		l.dropped.Add(1)
		return len(p), nil
	default:
	}
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the queued lines and waits for that. It must be called once.
func (l *logWriter) Close() {
	close(l.closing)
	<-l.flushed
}
