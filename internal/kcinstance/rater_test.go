package kcinstance

import (
	"context"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against a broken response of the rating service that counts as ratings, and
// against a sound one that is rejected.
func TestBrokenRatingsAreErrors(t *testing.T) {
	client := &http.Client{Transport: kcresponse.NewTransport(&http.Transport{})}
	t.Cleanup(client.CloseIdleConnections)
	d := &routingSync{parent: &Instance{opts: Options{RatingClient: client, Clock: kcclock.NewManual(1000)}}}
	reader := kcfault.Reader{
		Body: `{"ratings":[{"requestId":"q"}]}`, OwnEnd: true, Want: "q",
		Read: func(ctx context.Context, addr string, _ []byte) (string, error) {
			var answer struct {
				Ratings []struct {
					RequestID string `json:"requestId"`
				} `json:"ratings"`
			}
			err := d.callRater(ctx, http.MethodGet, "http://"+addr+"/v1/ratings", nil, &answer)
			if err != nil || len(answer.Ratings) != 1 {
				return "", err
			}
			return answer.Ratings[0].RequestID, nil
		},
	}
	reader.Check(t)
	reader.CheckCuts(t)
}
