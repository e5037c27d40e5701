package kcconfig_test

import (
	"fmt"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

// BenchmarkFold measures the fold of one accepted change for several numbers of
// keys. The results are in docs/notes/configuration.md.
func BenchmarkFold(b *testing.B) {
	for _, keys := range []int{50, 500} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			s := kcconfig.NewState()
			fold := func(n int64) {
				key := fmt.Sprintf("versions/b@%d", n%int64(keys))
				c, err := parseChange([]string{fmt.Sprintf("%s=%d:active", key, s.RevisionOf(key))})
				if err != nil {
					b.Fatal(err)
				}
				rec := kclog.Encode(fmt.Sprint(n), kcconfig.KindChange, c)
				if v := s.Fold(kclog.Record{Offset: n, NewRecord: rec}); !v.Accepted {
					b.Fatal(v.Reason)
				}
			}
			n := int64(0)
			for ; n < int64(keys); n++ {
				fold(n)
			}
			for b.Loop() {
				fold(n)
				n++
			}
		})
	}
}
