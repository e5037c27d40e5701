package commands

import (
	"bytes"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

// Guards against a block that an operator cannot see or lift.
func TestQuarantineListAndLift(t *testing.T) {
	store := kcplatformtest.NewStore(t)
	store.Put("keyed.status", "instance/i", `{}`)
	store.Put("keyed.status", "quarantine/00000000000000ab", `{"part":"00000000000000ab","failures":3,"nextTrialAt":1000,
"evidence":[{"crash":1,"upstream":"u1","request":"q1","workspace":2,"at":500,"phase":1,"parts":["00000000000000ab"]}]}`)
	run := func(args ...string) (int, string) {
		var out, errOut bytes.Buffer
		code := Execute(append([]string{"quarantine"}, args...), &out, &errOut)
		return code, out.String() + errOut.String()
	}
	code, out := run("list", "--store", store.Addr)
	for _, want := range []string{"00000000000000ab", "u1", "q1", "1970-01-01T00:00:00.500Z"} {
		if code != 0 || !strings.Contains(out, want) {
			t.Errorf("exit code %d, want %s in:\n%s", code, want, out)
		}
	}
	if code, out := run("lift", "--store", store.Addr, "xyz"); code != 1 || !strings.Contains(out, "quarantine list") {
		t.Errorf("exit code %d for an impossible part: %s", code, out)
	}
	if code, out := run("lift", "--store", store.Addr, "00000000000000ab"); code != 0 {
		t.Errorf("exit code %d: %s", code, out)
	}
	if got := store.Latest("keyed.status", "quarantine/00000000000000ab"); got != "" {
		t.Errorf("the block is still there: %s", got)
	}
	if _, out := run("list", "--store", store.Addr, "--json"); strings.TrimSpace(out) != "[]" {
		t.Errorf("%q after the block was lifted", out)
	}
}
