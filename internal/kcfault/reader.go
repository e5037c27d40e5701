package kcfault

import (
	"context"
	"testing"
	"time"
)

// Reader sends a request and reads the response. It is checked with every case.
type Reader struct {
	// Header holds the lines that the head of a sound response needs, each with its
	// line end. Body is the body of one.
	Header, Body string
	// OwnEnd is true if the body itself shows where it ends, so that the framing need
	// not be complete.
	OwnEnd bool
	// RequiresFraming is true if a response without framing must be rejected, whole or
	// not.
	RequiresFraming bool
	// MayLoseEarly is true if a sound response may be lost when the connection breaks
	// during the upload, as net/http does. The request then counts as one that may have
	// run.
	MayLoseEarly bool
	// Read sends a request to addr, with the upload if it is not nil. It returns what it
	// has read of a complete response, and an error if there is none. Want is what it
	// returns for a sound one.
	Read func(ctx context.Context, addr string, upload []byte) (got string, err error)
	Want string
	// Upload is true if requests can have a large body. Early responses are only played
	// then.
	Upload bool
}

const (
	// readTimeout ends a read of a response that never ends.
	readTimeout = 20 * time.Second
	// maxTakenBytes is what a client may take of a response without end: the largest
	// limit, that of the list of instances, the framing of so much in chunks of the
	// smallest body, and what it may not have read yet.
	maxTakenBytes = 16<<20 + 3<<20 + unreadFloodBytes
)

// Check plays all cases. The subtests run in parallel.
func (r Reader) Check(t *testing.T) {
	t.Helper()
	for _, c := range Cases(t) {
		if c.Early && !r.Upload {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s := NewServer(t, c, r.Header, r.Body)
			s.AwaitReads = true
			ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
			defer cancel()
			got, err := r.Read(ctx, s.Addr, c.upload())
			r.checkResult(t, c, got, err)
			if n := s.FloodedBytes(); n > maxTakenBytes {
				t.Errorf("the client took %d bytes of a response without end, want at most %d", n, maxTakenBytes)
			}
		})
	}
}

// CheckCuts plays responses without framing that end in order after each part of the
// body. None of them may be accepted.
func (r Reader) CheckCuts(t *testing.T) {
	t.Helper()
	c := Case{Response: "HTTP/1.1 200 OK\r\n{header}\r\n{body}", End: Close}
	for n := range len(r.Body) {
		s := NewServer(t, c, r.Header, r.Body[:n])
		ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
		if got, err := r.Read(ctx, s.Addr, nil); err == nil {
			t.Errorf("%d of %d bytes were accepted as %.80q", n, len(r.Body), got)
		}
		cancel()
	}
}

func (r Reader) checkResult(t *testing.T, c Case, got string, err error) {
	t.Helper()
	sound := c.Sound && (!r.RequiresFraming || !c.Unframed)
	mayAccept, mayReject := r.OwnEnd && c.Whole, r.MayLoseEarly && c.Early
	switch {
	case err == nil && !sound && !mayAccept:
		t.Errorf("the response was accepted as %.80q, it is broken", got)
	case err == nil && sound && got != r.Want:
		t.Errorf("%.80q, want %q", got, r.Want)
	case err != nil && sound && !mayReject:
		t.Errorf("the response was rejected, it is sound: %v", err)
	}
}

func (c Case) upload() []byte {
	if !c.Early {
		return nil
	}
	return make([]byte, UploadBytes)
}
