package commands

import (
	"fmt"
	"io"
	"sync/atomic"
)

// logLines is the number of lines that wait for a slow reader of the log.
// With about 300 bytes a line they take 600 KB.
const logLines = 2048

// logWriter passes lines on without ever blocking their writer. Lines that
// find no room are counted, and the count is written once there is room.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
}

func newLogWriter(w io.Writer) *logWriter {
	l := &logWriter{lines: make(chan []byte, logLines), ended: make(chan struct{})}
	go func() {
		defer close(l.ended)
		for line := range l.lines {
			_, _ = w.Write(line)
			if n := l.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
			}
		}
	}()
	return l
}

// Write queues one line.
func (l *logWriter) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what is queued. No line may be written after it.
func (l *logWriter) Close() {
	close(l.lines)
	<-l.ended
}
