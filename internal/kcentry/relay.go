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
	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// errResponseTooLarge is returned for a response that is not streamed and exceeds
// Limits.MaxResponseBytes.
var errResponseTooLarge = errs.New("response exceeds maxAnswerBytes")

// relay sends the events of one attempt to the caller, as a stream or as a
// complete response.
type relay struct {
	s  *Server
	ex *Exchange
	// attemptID is the id under which the engine runs the request.
	attemptID string
	assembler kcchat.Assembler
	// eventBuf is a reused buffer for the event that is being written.
	eventBuf []byte
	// responseBytes is the number of event bytes that were assembled or held so far.
	responseBytes int64
	// chargedBytes is what is charged to the caller for them.
	chargedBytes int64
	// version is the version that the attempt runs on.
	version string
	// holdUntilChecked holds the events of a streamed response in heldEvents until
	// the response has passed the check of a cascade.
	holdUntilChecked bool
	heldEvents       [][]byte
	// eventCount is the number of events received, which counts as the number of
	// output tokens. firstEventAt and lastEventAt are the times of the first and
	// the last one.
	eventCount                int
	firstEventAt, lastEventAt kcclock.Millis
	// onFirstEvent, if set, is called at the first event.
	onFirstEvent func()
	// headerArrived is true once the engine has begun its response.
	headerArrived bool
	// started is true once part of the response has been sent to the caller.
	started bool
}

// copyStream handles the events of stream until it ends.
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
		if r.onFirstEvent != nil {
			r.onFirstEvent()
		}
	}
	r.lastEventAt = now
	r.eventCount++
	r.ex.outputTokens++
	r.ex.recordFirstEvent(now)
}

// flushHeld sends the held events to the caller and stops holding.
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

// handleEvent assembles, holds or sends the event, depending on whether the caller
// asked for a stream and the response has to pass a check first.
func (r *relay) handleEvent(data []byte) error {
	if r.holdUntilChecked && r.ex.Chat.Stream {
		r.heldEvents = append(r.heldEvents, bytes.Clone(data))
	}
	if r.holdUntilChecked || !r.ex.Chat.Stream {
		r.responseBytes += int64(len(data))
		switch {
		case r.responseBytes <= r.s.Limits.MaxResponseBytes:
			if err := r.charge(); err != nil {
				return err
			}
			return r.assembler.Add(data)
		case r.ex.Chat.Stream:
			// The response is too large to hold, so it is relayed without the check.
			return r.flushHeld()
		default:
			return errResponseTooLarge
		}
	}
	if !r.wantsUsage() && isUsageOnlyChunk(data) {
		return nil
	}
	if !r.started {
		// The first byte discloses the request id to the caller, so the bill must
		// be durable before it.
		if err := r.s.awaitStreamBill(r.ex); err != nil {
			return err
		}
		r.startResponse("text/event-stream")
	}
	// The attempt id is internal to the engine; the caller gets the request id.
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

const (
	// chargeStepBytes is how much of a response is charged at once.
	chargeStepBytes = 64 << 10
	// heldCopies is the memory of a byte of a response that is assembled and held.
	heldCopies = 2
)

// charge charges the caller for the events that are assembled or held so far. The first
// ones are covered by the charge of the connection.
func (r *relay) charge() error {
	for heldCopies*r.responseBytes > r.chargedBytes+kcresponse.UnchargedBytes {
		if err := kcledger.CallerOf(r.ex.R.Context()).Hold(chargeStepBytes); err != nil {
			return err
		}
		r.chargedBytes += chargeStepBytes
	}
	return nil
}

// releaseCharge releases the charge for the events of an attempt whose response is not
// used.
func (r *relay) releaseCharge() {
	kcledger.CallerOf(r.ex.R.Context()).Release(r.chargedBytes)
	r.chargedBytes = 0
}

func (r *relay) wantsUsage() bool {
	return r.ex.Chat.StreamOptions != nil && r.ex.Chat.StreamOptions.IncludeUsage
}

// isUsageOnlyChunk reports whether the event carries token usage and no choices.
// Such events are only sent to callers that asked for them.
func isUsageOnlyChunk(data []byte) bool {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return false
	}
	var c kcchat.Chunk
	return json.Unmarshal(data, &c) == nil && len(c.Choices) == 0 && c.Usage != nil
}

// startResponse sets the response headers, with a session token for the version.
func (r *relay) startResponse(contentType string) {
	r.started = true
	h := r.ex.W.Header()
	h.Set("Content-Type", contentType)
	h.Set(kcapi.HeaderVersion, r.ex.Version)
	if token, err := r.s.Sessions.Issue(r.ex.WorkspaceName, r.ex.Version); err == nil {
		h.Set(kcapi.HeaderSession, token)
	}
}

// finishResponse writes the end of a stream, or the complete response of a request
// that is not streamed.
func (r *relay) finishResponse() error {
	if r.ex.Chat.Stream {
		if !r.started {
			r.startResponse("text/event-stream")
		}
		_, err := io.WriteString(r.ex.W, "data: [DONE]\n\n")
		return err
	}
	completion, err := r.assembler.Completion(r.ex.ID, r.ex.Version)
	if err != nil {
		return err
	}
	kcledger.CallerOf(r.ex.R.Context()).Keep(int64(len(completion)))
	r.startResponse("application/json")
	completion = append(completion, '\n')
	r.ex.W.setLength(len(completion))
	_, err = r.ex.W.Write(completion)
	return err
}

// writeErrorEvent ends an interrupted stream with an error event, so that the
// caller does not mistake it for complete.
func (r *relay) writeErrorEvent(e *kcapi.Error) {
	b, err := json.Marshal(struct {
		Error *kcapi.Error `json:"error"`
	}{e})
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(r.ex.W, "data: %s\n\n", b)
}
