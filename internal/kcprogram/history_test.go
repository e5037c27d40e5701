package kcprogram_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcprogram"
)

// Guards against a test that fails, rather than telling the reason, where the history
// lacks the commit of another build.
func TestCommitOutsideTheHistoryIsTold(t *testing.T) {
	for _, commit := range []string{strings.Repeat("0", 40), "no-such-commit"} {
		_, err := kcprogram.BuildTestOf(t.TempDir(), "../..", commit, "./internal/kcprogram")
		if !errors.Is(err, kcprogram.ErrNoHistory) {
			t.Errorf("commit %s: got the error %v, want %v", commit, err, kcprogram.ErrNoHistory)
		}
	}
}
