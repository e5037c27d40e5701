package kcmember_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
)

// Guards against a broken response of the list service that counts as the list, and
// against a sound one that is rejected.
func TestBrokenListIsAnError(t *testing.T) {
	reader := kcfault.Reader{
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
	}
	reader.Check(t)
	reader.Body = twoMembers
	reader.CheckCuts(t)
}

// twoMembers is a list of which some parts end like the whole.
const twoMembers = `{"instances":[{"id":"a","role":"engine","addr":"127.0.0.1:1","versions":["v@1"]},` +
	`{"id":"b","role":"engine","addr":"127.0.0.1:2","versions":["v@1","v@2"]}],"version":"7","count":2,"removed":["c"]}`

// Guards against members that stay missing after a list that was cut, because the service
// answers that the list has not changed since.
func TestCutListIsReadAgain(t *testing.T) {
	part, _, _ := strings.Cut(twoMembers, `,{"id":"b"`)
	requests := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"7"`)
		if r.Header.Get("If-None-Match") != "" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		if requests++; requests > 1 {
			part = twoMembers
		}
		_, _ = io.WriteString(w, part)
	}))
	t.Cleanup(srv.Close)
	l := &kcmember.HTTPLister{BaseURL: srv.URL, HTTP: srv.Client()}
	first, err := l.List(t.Context())
	if err == nil {
		t.Errorf("a part of the list was accepted: %+v", first)
	}
	if members, err := l.List(t.Context()); err != nil || len(members) != 2 || members[1].ID != "b" {
		t.Errorf("%+v, %v, want both members", members, err)
	}
}
