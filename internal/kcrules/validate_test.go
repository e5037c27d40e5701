package kcrules_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
)

const validRules = `{
  "versions": {
    "small@1": {"state":"active","quality":{"default":0.8,"menu":0.7}},
    "small@2": {"state":"withdrawn","quality":{"default":0.8}}
  },
  "workspaces": {"a": {"keyHashes":["` + hashA + `"],"allow":["small","small@2"],"qualityTarget":{"menu":0.7}}},
  "services": {"orders": {"operations": {"place": {}, "lookup": {"repeatable":true,"timeoutMs":100,"hedgeAfterMs":20}}}},
  "rollouts": {"small": {"from":"small@1","to":"small@2","stages":[0.1,1],"stage":0}},
  "classes": {"menu": {"whenStale":"serve"}},
  "priceList": {"steps":[{"minWaitMs":0,"factor":2},{"minWaitMs":10,"factor":1}]}
}`

const hashA = "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"

// Guards against accepting rules with which a request can only fail or break an
// invariant. Each replacement makes one value of the valid rules wrong and names
// the path that must be reported.
func TestValidateNamesEachWrongValue(t *testing.T) {
	for _, c := range []struct{ old, wrong, path, message string }{
		{`"small@1": {`, `"small": {`, "/versions/small", "name@version"},
		{`"small@1": {`, `"auto@1": {`, "/versions/auto@1", "reserved"},
		{`"state":"active"`, `"state":"activ"`, "/versions/small@1/state", `"active"?`},
		{`"quality":{"default":0.8,"menu":0.7}`, `"quality":{"default":1.8}`, "/versions/small@1/quality/default", "share"},
		{`"quality":{"default":0.8,"menu":0.7}`, `"quality":{}`, "/versions/small@1/quality", "missing"},
		{`"quality":{"default":0.8,"menu":0.7}`, `"quality":{"default":1,"meni":1}`, "/versions/small@1/quality/meni", `"menu"?`},
		{`"state":"active"`, `"state":"active","inputPrice":-1`, "/versions/small@1/inputPrice", "0 or above"},
		{hashA, strings.ToUpper(hashA), "/workspaces/a/keyHashes/0", "SHA-256"},
		{`"workspaces": {`, `"workspaces": {"B": {"keyHashes":["` + hashA + `"]},`, "/workspaces/a/keyHashes/0", `"B"`},
		{`"allow":["small",`, `"allow":["smal",`, "/workspaces/a/allow/0", `"small"?`},
		{`"place": {}`, `"place": {"hedgeAfterMs":5}`, "/services/orders/operations/place/hedgeAfterMs", "repeatable"},
		{`"hedgeAfterMs":20`, `"hedgeAfterMs":100`, "/services/orders/operations/lookup/hedgeAfterMs", "timeoutMs"},
		{`"place": {}`, `"a/b": {}`, "/services/orders/operations/a~1b", "slashes"},
		{`"to":"small@2"`, `"to":"small@3"`, "/rollouts/small/to", "names no version"},
		{`"to":"small@2"`, `"to":"small@1"`, "/rollouts/small/to", "another version"},
		{`"rollouts": {"small"`, `"rollouts": {"big"`, "/rollouts/big/from", "not a version of model"},
		{`"stages":[0.1,1]`, `"stages":[0.1,0.1]`, "/rollouts/small/stages/1", "ascend"},
		{`"stages":[0.1,1]`, `"stages":[]`, "/rollouts/small/stages", "at least one"},
		{`"stage":0`, `"stage":2`, "/rollouts/small/stage", "0 to 1"},
		{`"whenStale":"serve"`, `"whenStale":"server"`, "/classes/menu/whenStale", `"serve"?`},
		{`"minWaitMs":10`, `"minWaitMs":0`, "/priceList/steps/1/minWaitMs", "ascend"},
		{`"factor":1}`, `"factor":3}`, "/priceList/steps/1/factor", "patience"},
		{`"factor":1}`, `"factor":0}`, "/priceList/steps/1/factor", "above 0"},
	} {
		problems := kcrules.Validate(parseRules(t, strings.Replace(validRules, c.old, c.wrong, 1)))
		if !slices.ContainsFunc(problems, func(p kcrules.Problem) bool {
			return p.Path == c.path && strings.Contains(p.Message, c.message)
		}) {
			t.Errorf("%s: got %v, want %q at %s", c.wrong, problems, c.message, c.path)
		}
	}
}

// Guards against rejecting valid rules, especially the withdrawal of a version
// that a roll-out and a workspace still name.
func TestValidateAcceptsValidRules(t *testing.T) {
	if problems := kcrules.Validate(parseRules(t, validRules)); problems != nil {
		t.Errorf("got %v, want none", problems)
	}
}

// Guards against instances that report different first problems for the same
// change because of the iteration order of maps.
func TestValidateIsDeterministic(t *testing.T) {
	wrong := strings.ReplaceAll(strings.ReplaceAll(validRules, "0.7", "7"), "0.8", "8")
	want := kcrules.Validate(parseRules(t, wrong))
	for range 50 {
		if got := kcrules.Validate(parseRules(t, wrong)); !slices.Equal(got, want) {
			t.Fatalf("got %v, then %v", want, got)
		}
	}
}

func parseRules(t *testing.T, text string) *kcrules.Rules {
	t.Helper()
	var r kcrules.Rules
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		t.Fatal(err)
	}
	return &r
}
