package kcclaim_test

import (
	"encoding/json"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// Guards against a record that makes readers panic, or that takes a key from
// the attempt that holds it although that attempt has not reported an outcome.
func FuzzFold(f *testing.F) {
	f.Add("claim", []byte(`{"workspace":"w","service":"s","operation":"o","idempotencyKey":"k","attempt":"other","deadline":9}`))
	f.Add("outcome", []byte(`{"workspace":"w","service":"s","operation":"o","idempotencyKey":"k","execution":"notRun"}`))
	f.Add("expired", []byte(`{"hashes":["",null],"through":-1}`))
	f.Add("expired", []byte(`[]`))
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		if !json.Valid(body) {
			return // the log holds JSON
		}
		var o kcclaim.Outcome
		if kind == kcclaim.KindOutcome && json.Unmarshal(body, &o) == nil && o.Attempt == "first" {
			return // the holder itself may close its attempt
		}
		key := kcclaim.Key{Workspace: "w", Service: "s", Operation: "o", IdempotencyKey: "k"}
		claim := kcclaim.Claim{Key: key, Attempt: "first", Deadline: kcclock.Minute}
		b := kcclaim.NewShardState(kcclaim.ShardStateOptions{WindowMs: kcclock.Day, MaxAnswerBytes: 1 << 20})
		b.Fold(kclog.Record{Offset: 0, NewRecord: kclog.Encode("1", kcclaim.KindClaim, claim)})
		b.Fold(kclog.Record{Offset: 1, NewRecord: kclog.NewRecord{ID: "2", Kind: kind, Body: body}})
		if e := b.Lookup(key); e == nil || e.Holder.Attempt != "first" {
			t.Errorf("the key is held by %+v", e)
		}
	})
}
