package kcentry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcchat"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// errAnswerTooLarge reports a whole answer over MaxResponseBytes.
var errAnswerTooLarge = errs.New("the answer is larger than the limit")

// relay passes the events of one attempt to the caller, as a stream or as a
// whole answer.
type relay struct {
	s  *Server
	ex *Exchange
	// attempt is the id under which the engine runs the request.
	attempt string
	whole   kcchat.Assembler
	// buf is the event that is being written.
	buf []byte
	// size is the number of bytes of a whole answer so far.
	size int64
	// version is the version of the attempt.
	version string
	// hold keeps the events of a streamed answer until it has passed the check
	// of a cascade; held has them.
	hold bool
	held [][]byte
	// tokens is the number of events, firstAt and last the times of the first
	// and the last one.
	tokens        int
	firstAt, last kcclock.Millis
	// started is true once a part of the answer has been passed on.
	started bool
}

func (r *relay) copy(ctx context.Context, stream *kcupstream.Stream) error {
	for {
		ev, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		r.count(r.s.Clock.Now())
		if err := r.event(ev.Data); err != nil {
			return err
		}
	}
}

func (r *relay) count(now kcclock.Millis) {
	if r.tokens == 0 {
		r.firstAt = now
	}
	r.last = now
	r.tokens++
	r.ex.tokens++
	r.ex.markFirst(now)
}

// flush passes the held events on.
func (r *relay) flush() error {
	r.hold = false
	if !r.ex.Chat.Stream {
		return nil
	}
	for _, data := range r.held {
		if err := r.event(data); err != nil {
			return err
		}
	}
	r.held = nil
	return nil
}

func (r *relay) event(data []byte) error {
	if r.hold && r.ex.Chat.Stream {
		r.held = append(r.held, bytes.Clone(data))
	}
	if r.hold || !r.ex.Chat.Stream {
		r.size += int64(len(data))
		switch {
		case r.size <= r.s.Limits.MaxResponseBytes:
			return r.whole.Add(data)
		case r.ex.Chat.Stream:
			// It cannot be held any longer, and goes on without the check.
			return r.flush()
		default:
			return errAnswerTooLarge
		}
	}
	if !r.wantsUsage() && isUsageOnly(data) {
		return nil
	}
	if !r.started {
		// The caller learns the request id with the first byte.
		if err := r.s.awaitOpened(r.ex); err != nil {
			return err
		}
		r.header("text/event-stream")
	}
	// The caller knows the request by its id; the id of the attempt is only
	// for the engine.
	before, after, found := bytes.Cut(data, []byte(r.attempt))
	r.buf = append(append(r.buf[:0], "data: "...), before...)
	if found {
		r.buf = append(append(r.buf, r.ex.ID...), after...)
	}
	r.buf = append(r.buf, "\n\n"...)
	if _, err := r.ex.W.Write(r.buf); err != nil {
		return err
	}
	return r.ex.W.flush()
}

func (r *relay) wantsUsage() bool {
	return r.ex.Chat.StreamOptions != nil && r.ex.Chat.StreamOptions.IncludeUsage
}

func isUsageOnly(data []byte) bool {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return false
	}
	var c kcchat.Chunk
	return json.Unmarshal(data, &c) == nil && len(c.Choices) == 0 && c.Usage != nil
}

func (r *relay) header(contentType string) {
	r.started = true
	h := r.ex.W.Header()
	h.Set("Content-Type", contentType)
	h.Set(kcapi.HeaderVersion, r.ex.Version)
	if token, err := r.s.Sessions.Issue(r.ex.WorkspaceName, r.ex.Version); err == nil {
		h.Set(kcapi.HeaderSession, token)
	}
}

func (r *relay) finish() error {
	if r.ex.Chat.Stream {
		if !r.started {
			r.header("text/event-stream")
		}
		_, err := io.WriteString(r.ex.W, "data: [DONE]\n\n")
		return err
	}
	answer, err := r.whole.Completion(r.ex.ID, r.ex.Version)
	if err != nil {
		return err
	}
	r.header("application/json")
	_, err = r.ex.W.Write(append(answer, '\n'))
	return err
}

// fail ends a stream that was cut after its start with an error event, so that
// the caller does not take it for whole.
func (r *relay) fail(e *kcapi.Error) {
	b, err := json.Marshal(struct {
		Error *kcapi.Error `json:"error"`
	}{e})
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(r.ex.W, "data: %s\n\n", b)
}
