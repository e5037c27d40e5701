package kcinstance_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
)

func newOpenAIClient(i *testInstance, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(i.callerURL+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func chatParams(model, text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// Guards against responses that the official OpenAI client cannot decode.
func TestOpenAIClient(t *testing.T) {
	i := startInstance(t, nil)
	c := newOpenAIClient(i, kcsettings.DemoAPIKey)
	began := time.Now().Unix()
	t.Run("list", func(t *testing.T) {
		page, err := c.Models.List(t.Context())
		if err != nil || len(page.Data) != 2 || page.Data[1].ID != "small@1" {
			t.Errorf("models %+v, error %v", page, err)
		}
	})
	t.Run("chat", func(t *testing.T) {
		p := chatParams("auto", "good morning")
		p.ServiceTier = openai.ChatCompletionNewParamsServiceTierFlex
		got, err := c.Chat.Completions.New(t.Context(), p)
		if err != nil {
			t.Fatal(err)
		}
		choice := got.Choices[0]
		if choice.Message.Content != "You said: good morning" || choice.FinishReason != "stop" || got.Usage.CompletionTokens != 4 {
			t.Errorf("answer %+v", got)
		}
		if now := time.Now().Unix(); got.Created < began || got.Created > now {
			t.Errorf("created at %d, want a time from %d to %d", got.Created, began, now)
		}
	})
	t.Run("stream", func(t *testing.T) {
		p := chatParams("auto", "good morning")
		p.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := c.Chat.Completions.NewStreaming(t.Context(), p)
		var acc openai.ChatCompletionAccumulator
		for stream.Next() {
			if !acc.AddChunk(stream.Current()) {
				t.Fatalf("chunk does not belong to the answer: %+v", stream.Current())
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if acc.Choices[0].Message.Content != "You said: good morning" || acc.Usage.CompletionTokens != 4 {
			t.Errorf("answer %+v", acc.ChatCompletion)
		}
	})
}

// Guards against errors that the official OpenAI client reports without status
// and code.
func TestOpenAIClientErrors(t *testing.T) {
	i := startInstance(t, nil)
	for name, c := range map[string]struct {
		key, model, kind, code string
		status                 int
	}{
		"key":   {"wrong", "auto", "authentication_error", "unauthorized", http.StatusUnauthorized},
		"model": {kcsettings.DemoAPIKey, "tiny", "invalid_request_error", "unknownModel", http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			client := newOpenAIClient(i, c.key)
			_, err := client.Chat.Completions.New(t.Context(), chatParams(c.model, "x"))
			var apiErr *openai.Error
			if !errors.As(err, &apiErr) {
				t.Fatalf("error %v", err)
			}
			if apiErr.StatusCode != c.status || apiErr.Code != c.code || apiErr.Type != c.kind || apiErr.Message == "" ||
				!strings.Contains(apiErr.RawJSON(), `"execution":"notRun"`) {
				t.Errorf("error %+v", apiErr)
			}
		})
	}
}

// Guards against a cancellation by the official OpenAI client that does not
// reach the engine, and against a truncated stream that the client takes for
// complete.
func TestOpenAIClientCancelAndTruncatedStream(t *testing.T) {
	e, _ := newGatedEngine()
	lost := newTestEngine(func(w http.ResponseWriter, _ *http.Request, id string) {
		writeEvent(w, id, 0, "first")
		panic(http.ErrAbortHandler)
	}, nil)
	i := startInstance(t, withEngines(t, e))
	c := newOpenAIClient(i, kcsettings.DemoAPIKey)
	ctx, cancel := context.WithCancel(t.Context())
	stream := c.Chat.Completions.NewStreaming(ctx, chatParams("custom", "x"))
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	cancel()
	<-e.cancelledIDs
	j := startInstance(t, withEngines(t, lost))
	c = newOpenAIClient(j, kcsettings.DemoAPIKey)
	stream = c.Chat.Completions.NewStreaming(t.Context(), chatParams("custom", "x"))
	for stream.Next() {
		continue
	}
	if err := stream.Err(); err == nil || !strings.Contains(err.Error(), "upstreamFailed") {
		t.Errorf("error %v", err)
	}
}
