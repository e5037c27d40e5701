// Package kcchat defines the chat completion messages that callers and engines
// exchange. Fields that the router does not use are passed on unchanged.
package kcchat

import (
	"encoding/json"

	"github.com/zeebo/errs"
)

// ModelAuto is the model name with which a caller lets the router select the
// model.
const ModelAuto = "auto"

// DefaultMaxTokens is the output limit of a request that sets none. The price
// is quoted for this many tokens.
const DefaultMaxTokens = 512

// maxOutputTokens bounds max_tokens, so that the price calculation cannot
// overflow.
const maxOutputTokens = 1 << 24

// Message is one message of a chat.
type Message struct {
	Role string `json:"role"`
	// Content is a string or a list of parts.
	Content json.RawMessage `json:"content"`
}

// Request is a chat completion request.
type Request struct {
	Model               string            `json:"model"`
	Messages            []Message         `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	ServiceTier         string            `json:"service_tier"`
	Metadata            map[string]string `json:"metadata"`
	StreamOptions       *StreamOptions    `json:"stream_options"`
	// rawFields holds all fields of the body, including those that Request does
	// not declare.
	rawFields map[string]json.RawMessage
}

// StreamOptions are the options of a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Parse decodes the body of a chat completion request.
func Parse(body []byte) (*Request, error) {
	r := &Request{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, errs.Wrap(err)
	}
	if err := json.Unmarshal(body, &r.rawFields); err != nil {
		return nil, errs.Wrap(err)
	}
	if len(r.Messages) == 0 {
		return nil, errs.New("messages must hold at least one message")
	}
	if r.Model == "" {
		return nil, errs.New("model is missing")
	}
	if min(r.MaxTokens, r.MaxCompletionTokens) < 0 || max(r.MaxTokens, r.MaxCompletionTokens) > maxOutputTokens {
		return nil, errs.New("max_tokens must be from 0 to %d", maxOutputTokens)
	}
	return r, nil
}

// OutputLimit returns the maximum number of tokens that the engine may
// generate.
func (r *Request) OutputLimit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return DefaultMaxTokens
}

// bytesPerToken is the assumed size of a token; the router does not have the
// tokenizer of the engine.
const bytesPerToken = 4

// EstimatePromptTokens estimates the number of tokens in the prompt.
func (r *Request) EstimatePromptTokens() int {
	n := 0
	for _, m := range r.Messages {
		n += len(m.Content)/bytesPerToken + 1
	}
	return n
}

// UpstreamBody returns the body to send to an engine: the caller's body with
// the model name replaced, the output limit set and streaming enabled.
func (r *Request) UpstreamBody(model string) ([]byte, error) {
	out := make(map[string]json.RawMessage, len(r.rawFields)+4)
	for k, v := range r.rawFields {
		out[k] = v
	}
	for k, v := range map[string]any{
		"model": model, "stream": true, "max_tokens": r.OutputLimit(),
		"stream_options": StreamOptions{IncludeUsage: true},
	} {
		b, err := json.Marshal(v)
		if err != nil {
			return nil, errs.Wrap(err)
		}
		out[k] = b
	}
	b, err := json.Marshal(out)
	return b, errs.Wrap(err)
}
