package kcmember_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
)

// Guards against a broken response of the list service that counts as the list, and
// against a sound one that is rejected.
func TestBrokenListIsAnError(t *testing.T) {
	kcfault.Reader{
		Body: `{"instances":[{"id":"a","role":"engine","addr":"127.0.0.1:1"}],"version":"7","count":1}`, OwnEnd: true, Want: "a",
		Read: func(ctx context.Context, addr string, _ []byte) (string, error) {
			l := &kcmember.HTTPLister{
				BaseURL: "http://" + addr, HTTP: &http.Client{Transport: kcresponse.NewTransport(&http.Transport{})},
			}
			members, err := l.List(ctx)
			if err != nil || len(members) == 0 {
				return "", err
			}
			return members[0].ID, nil
		},
	}.Check(t)
}
