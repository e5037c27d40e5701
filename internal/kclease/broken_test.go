package kclease_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/internal/kclease"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a broken response of an engine that counts as its state, and against a
// sound one that is rejected.
func TestBrokenEngineStateIsAnError(t *testing.T) {
	reader := kcfault.Reader{
		Body: `{"role":"both","versions":["small@1"]}`, OwnEnd: true, Want: "both",
		Read: func(ctx context.Context, addr string, _ []byte) (string, error) {
			client := &kclease.HTTPEngineClient{
				HTTP:  &http.Client{Transport: kcresponse.NewTransport(&http.Transport{})},
				Clock: kcclock.System{}, TimeoutMs: kcclock.Minute,
			}
			state, err := client.ReadState(ctx, addr)
			return state.Role, err
		},
	}
	reader.Check(t)
	reader.CheckCuts(t)
}
