package kclog_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Guards against a broken response of the log that counts as complete, and against a
// sound one that is rejected.
func TestBrokenResponsesAreErrors(t *testing.T) {
	client := func(addr string) *kclog.Client {
		return &kclog.Client{BaseURL: "http://" + addr, HTTP: &http.Client{Transport: kcresponse.NewTransport(&http.Transport{})}}
	}
	t.Run("read", func(t *testing.T) {
		reader := kcfault.Reader{
			Body: `{"records":[],"firstOffset":0,"endOffset":7,"nowMs":1}`, OwnEnd: true, Want: "7",
			Read: func(ctx context.Context, addr string, _ []byte) (string, error) {
				page, err := client(addr).Read(ctx, "s", 0, 1, 0)
				return strconv.FormatInt(page.EndOffset, 10), err
			},
		}
		reader.Check(t)
		reader.CheckCuts(t)
	})
	t.Run("append", func(t *testing.T) {
		reader := kcfault.Reader{
			Body: `{"firstOffset":7}`, OwnEnd: true, Upload: true, MayLoseEarly: true, Want: "7",
			Read: func(ctx context.Context, addr string, upload []byte) (string, error) {
				body, err := json.Marshal(upload)
				if err != nil {
					return "", err
				}
				first, err := client(addr).Append(ctx, "s", []kclog.NewRecord{{ID: "a", Kind: "k", Body: body}})
				return strconv.FormatInt(first, 10), err
			},
		}
		reader.Check(t)
		reader.CheckCuts(t)
	})
}

// Guards against records that can never be read because a page of them exceeds the limit
// on responses.
func TestPageOfLargeRecordsIsReadInParts(t *testing.T) {
	record := `{"offset":0,"id":"a","kind":"k","body":"` + strings.Repeat("x", 64<<10) + `"}`
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.URL.Query().Get("max"))
		if err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(w, `{"records":[`+strings.Repeat(record+",", n-1)+record+`],"endOffset":1000}`)
	}))
	defer srv.Close()
	client := &kclog.Client{BaseURL: srv.URL, HTTP: srv.Client(), TimeoutMs: kcclock.Minute}
	page, err := client.Read(t.Context(), "s", 0, 1000, 0)
	if err != nil || len(page.Records) == 0 || page.EndOffset != 1000 {
		t.Errorf("%d records, end %d, error %v", len(page.Records), page.EndOffset, err)
	}
}
