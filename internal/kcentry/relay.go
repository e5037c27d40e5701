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

// errResponseTooLarge reports a whole answer over MaxResponseBytes.
var errResponseTooLarge = errs.New("the answer is larger than the limit")

// relay passes the events of one attempt to the caller, as a stream or as a
// whole answer.
type relay struct {
	s  *Server
	ex *Exchange
	// attempt is the id under which the engine runs the request.
	attemptID string
	assembler kcchat.Assembler
	// buf is the event that is being written.
	eventBuf []byte
	// size is the number of bytes of a whole answer so far.
	responseBytes int64
	// version is the version of the attempt.
	version string
	// hold keeps the events of a streamed answer until it has passed the check
	// of a cascade; held has them.
	holdUntilChecked bool
	heldEvents       [][]byte
	// tokens is the number of events, firstEventAt and last the times of the first
	// and the last one.
	eventCount                int
	firstEventAt, lastEventAt kcclock.Millis
	// started is true once a part of the answer has been passed on.
	started bool
}

func (r *relay) copyStream(ctx context.Context, stream *kcupstream.Stream) error {
	for {
		ev, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		r.countEvent(r.s.Clock.Now())
		if err := r.handleEvent(ev.Data); err != nil {
			return err
		}
	}
}

func (r *relay) countEvent(now kcclock.Millis) {
	if r.eventCount == 0 {
		r.firstEventAt = now
	}
	r.lastEventAt = now
	r.eventCount++
	r.ex.outputTokens++
	r.ex.recordFirstEvent(now)
}

// flush passes the held events on.
func (r *relay) flushHeld() error {
	r.holdUntilChecked = false
	if !r.ex.Chat.Stream {
		return nil
	}
	for _, data := range r.heldEvents {
		if err := r.handleEvent(data); err != nil {
			return err
		}
	}
	r.heldEvents = nil
	return nil
}

func (r *relay) handleEvent(data []byte) error {
	if r.holdUntilChecked && r.ex.Chat.Stream {
		r.heldEvents = append(r.heldEvents, bytes.Clone(data))
	}
	if r.holdUntilChecked || !r.ex.Chat.Stream {
		r.responseBytes += int64(len(data))
		switch {
		case r.responseBytes <= r.s.Limits.MaxResponseBytes:
			return r.assembler.Add(data)
		case r.ex.Chat.Stream:
			// It cannot be held any longer, and goes on without the check.
			return r.flushHeld()
		default:
			return errResponseTooLarge
		}
	}
	if !r.wantsUsage() && isUsageOnlyChunk(data) {
		return nil
	}
	if !r.started {
		// The caller learns the request id with the first byte.
		if err := r.s.awaitStreamBill(r.ex); err != nil {
			return err
		}
		r.startResponse("text/event-stream")
	}
	// The caller knows the request by its id; the id of the attempt is only
	// for the engine.
	before, after, found := bytes.Cut(data, []byte(r.attemptID))
	r.eventBuf = append(append(r.eventBuf[:0], "data: "...), before...)
	if found {
		r.eventBuf = append(append(r.eventBuf, r.ex.ID...), after...)
	}
	r.eventBuf = append(r.eventBuf, "\n\n"...)
	if _, err := r.ex.W.Write(r.eventBuf); err != nil {
		return err
	}
	return r.ex.W.flush()
}

func (r *relay) wantsUsage() bool {
	return r.ex.Chat.StreamOptions != nil && r.ex.Chat.StreamOptions.IncludeUsage
}

func isUsageOnlyChunk(data []byte) bool {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return false
	}
	var c kcchat.Chunk
	return json.Unmarshal(data, &c) == nil && len(c.Choices) == 0 && c.Usage != nil
}

func (r *relay) startResponse(contentType string) {
	r.started = true
	h := r.ex.W.Header()
	h.Set("Content-Type", contentType)
	h.Set(kcapi.HeaderVersion, r.ex.Version)
	if token, err := r.s.Sessions.Issue(r.ex.WorkspaceName, r.ex.Version); err == nil {
		h.Set(kcapi.HeaderSession, token)
	}
}

func (r *relay) finishResponse() error {
	if r.ex.Chat.Stream {
		if !r.started {
			r.startResponse("text/event-stream")
		}
		_, err := io.WriteString(r.ex.W, "data: [DONE]\n\n")
		return err
	}
	answer, err := r.assembler.Completion(r.ex.ID, r.ex.Version)
	if err != nil {
		return err
	}
	r.startResponse("application/json")
	_, err = r.ex.W.Write(append(answer, '\n'))
	return err
}

// fail ends a stream that was cut after its start with an error event, so that
// the caller does not take it for whole.
func (r *relay) writeErrorEvent(e *kcapi.Error) {
	b, err := json.Marshal(struct {
		Error *kcapi.Error `json:"error"`
	}{e})
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(r.ex.W, "data: %s\n\n", b)
}
