package kcfeed_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"log/slog"
	"strconv"
	"testing"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// failingStore is a store that is down.
type failingStore struct{ kcfeed.Reader }

func (failingStore) ReadSnapshot(context.Context, string, kcfeed.Position) (kcfeed.Page, error) {
	return kcfeed.Page{}, errs.New("the store is down")
}

// Guards against a broken response of a peer that counts as complete, and against a
// sound one that is rejected.
func TestBrokenPeerResponsesAreErrors(t *testing.T) {
	reader := kcfault.Reader{
		Body: `{"ageMs":5,"whole":true,"end":7,"records":[]}`, OwnEnd: true, Want: "7",
		Read: func(ctx context.Context, addr string, _ []byte) (string, error) {
			pool := kcconn.NewPool(kcconn.Options{
				Clock: kcclock.System{}, DialTimeoutMs: 1000, UnackedTimeoutMs: 3000, IdleTimeoutMs: 4000, MaxIdlePerAddr: 1,
			})
			defer pool.Close()
			reader := &kcfeed.PeerReader{
				Store: failingStore{}, Pool: pool, Clock: kcclock.NewManual(1000), Log: slog.New(slog.DiscardHandler),
				PeerAddr: func() (string, bool) { return addr, true }, OnPeerLost: func(string) {},
				MaxAgeMs: kcclock.Minute, StoreFallbackMs: kcclock.Minute,
			}
			page, err := reader.ReadSnapshot(ctx, "topic", kcfeed.Position{})
			return strconv.FormatInt(page.NextOffset, 10), err
		},
	}
	reader.Check(t)
	reader.CheckCuts(t)
	var compressed bytes.Buffer
	zip := gzip.NewWriter(&compressed)
	if _, err := zip.Write([]byte(reader.Body)); err != nil {
		t.Fatal(err)
	}
	if err := zip.Close(); err != nil {
		t.Fatal(err)
	}
	reader.Header, reader.Body = "Content-Encoding: gzip\r\n", compressed.String()
	reader.CheckCuts(t)
}
