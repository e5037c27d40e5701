package kcbill_test

import (
	"encoding/json"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Guards against a record that makes Fold panic, and against a request id that
// is counted twice.
func FuzzFold(f *testing.F) {
	f.Add([]byte(`{"requestId":"a","state":"closed","price":5,"amount":5}`), []byte(`{"requestId":"a","state":"opened"}`))
	f.Add([]byte(`{"requestId":""}`), []byte(`null`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		b := kcbill.NewIndex()
		for n, body := range [][]byte{first, second, first} {
			if json.Valid(body) {
				b.Fold("bills-00", kclog.Record{Offset: int64(n), NewRecord: kclog.NewRecord{Kind: kcbill.KindBill, Body: body}})
			}
		}
		seen := make(map[string]bool)
		for _, c := range b.All() {
			if seen[c.RequestID] {
				t.Errorf("request %q is counted twice", c.RequestID)
			}
			seen[c.RequestID] = true
		}
	})
}
