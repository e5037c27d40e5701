package kcrules

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Problem is one reason why rules are not valid.
type Problem struct {
	// Path is the JSON pointer (RFC 6901) of the value within the rules.
	Path string `json:"path"`
	// Message states what is wrong and how to fix it.
	Message string `json:"message"`
}

// String returns the path and the message.
func (p Problem) String() string { return p.Path + ": " + p.Message }

// Values of ClassRule.StaleConfigPolicy; "" means StaleConfigRefuse.
const (
	StaleConfigRefuse = "refuse"
	StaleConfigServe  = "serve"
)

// autoModel is the model name in requests that leave the choice of the model to
// the router. It is therefore reserved.
const autoModel = "auto"

// keyHashHexLength is the length of a SHA-256 hash in hex.
const keyHashHexLength = 64

// Validate returns every problem of the rules in a fixed order, nil if there
// is none. The result depends on r alone, so that all readers of the
// configuration log accept and reject the same changes.
//
// References to withdrawn and draining versions are valid: a withdrawal must
// not be rejected because a roll-out or a workspace still names the version.
func Validate(r *Rules) []Problem {
	v := &validator{rules: r, models: kcset.New[string]()}
	for key := range r.Versions {
		model, _, _ := strings.Cut(key, "@")
		v.models.Add(model)
	}
	v.checkVersions()
	v.checkWorkspaces()
	v.checkServices()
	v.checkRollouts()
	v.checkClasses()
	v.checkPriceList()
	return v.problems
}

type validator struct {
	rules    *Rules
	models   kcset.Set[string]
	problems []Problem
}

func (v *validator) addProblem(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkVersions() {
	for _, key := range sortedKeys(v.rules.Versions) {
		ver, path := v.rules.Versions[key], JSONPointer("versions", key)
		model, version, ok := strings.Cut(key, "@")
		if !ok || model == "" || version == "" || strings.ContainsAny(version, "@/") || strings.Contains(model, "/") {
			v.addProblem(path, "%q is not of the form name@version, for example small@1", key)
		}
		if model == autoModel {
			v.addProblem(path, "the model name %q is reserved; choose another", autoModel)
		}
		v.checkOneOf(path+"/state", string(ver.State), string(Active), string(Draining), string(Withdrawn))
		if _, ok := ver.Quality[DefaultClass]; !ok {
			v.addProblem(path+"/quality", "the class %q is missing; state the expected quality of other classes", DefaultClass)
		}
		v.checkSharesByClass(path+"/quality", ver.Quality)
		checkNotNegative(v, path+"/inputPrice", ver.InputPrice)
		checkNotNegative(v, path+"/outputPrice", ver.OutputPrice)
		checkNotNegative(v, path+"/tokenMillis", ver.TokenMillis)
	}
}

func (v *validator) checkWorkspaces() {
	workspaceByKeyHash := make(map[string]string)
	for _, name := range sortedKeys(v.rules.Workspaces) {
		w, path := v.rules.Workspaces[name], JSONPointer("workspaces", name)
		v.checkName(path, name)
		for i, h := range w.KeyHashes {
			v.checkKeyHash(fmt.Sprintf("%s/keyHashes/%d", path, i), h)
			if other, taken := workspaceByKeyHash[h]; taken {
				v.addProblem(fmt.Sprintf("%s/keyHashes/%d", path, i), "workspace %q has the same key; give each its own", other)
			}
			workspaceByKeyHash[h] = name
		}
		for i, a := range w.AllowedModels {
			if _, ok := v.rules.Versions[a]; !ok && !v.models.Has(a) {
				v.addProblem(fmt.Sprintf("%s/allow/%d", path, i), "%q names no model or version%s", a,
					suggestName(a, append(kcset.Sorted(v.models), sortedKeys(v.rules.Versions)...)))
			}
		}
		v.checkSharesByClass(path+"/qualityTarget", w.QualityTarget)
		checkNotNegative(v, path+"/weight", w.Weight)
		checkNotNegative(v, path+"/requestsPerSecond", w.RequestsPerSecond)
		checkNotNegative(v, path+"/concurrency", w.Concurrency)
		checkNotNegative(v, path+"/tokensPerMinute", w.TokensPerMinute)
		checkNotNegative(v, path+"/spendPerDay", w.SpendPerDay)
		v.checkShare(path+"/maxRolloutShare", w.MaxRolloutShare)
	}
}

func (v *validator) checkServices() {
	for _, name := range sortedKeys(v.rules.Services) {
		svc, path := v.rules.Services[name], JSONPointer("services", name)
		v.checkName(path, name)
		for _, opName := range sortedKeys(svc.Operations) {
			op, path := svc.Operations[opName], path+JSONPointer("operations", opName)
			v.checkName(path, opName)
			checkNotNegative(v, path+"/timeoutMs", op.TimeoutMs)
			checkNotNegative(v, path+"/price", op.Price)
			checkNotNegative(v, path+"/hedgeAfterMs", op.HedgeAfterMs)
			switch {
			case op.HedgeAfterMs > 0 && !op.Idempotent:
				v.addProblem(path+"/hedgeAfterMs", "a hedge sends a second call; remove it or set repeatable to true")
			case op.TimeoutMs > 0 && op.HedgeAfterMs >= op.TimeoutMs:
				v.addProblem(path+"/hedgeAfterMs", "must be below timeoutMs, %d", op.TimeoutMs)
			}
		}
	}
}

func (v *validator) checkRollouts() {
	for _, model := range sortedKeys(v.rules.Rollouts) {
		r, path := v.rules.Rollouts[model], JSONPointer("rollouts", model)
		v.checkVersionReference(path+"/from", model, r.From)
		v.checkVersionReference(path+"/to", model, r.To)
		if r.From == r.To {
			v.addProblem(path+"/to", "must be another version than from")
		}
		if len(r.Stages) == 0 {
			v.addProblem(path+"/stages", "at least one stage is required, for example [0.01, 0.1, 1]")
		} else if r.StageIndex < 0 || r.StageIndex >= len(r.Stages) {
			v.addProblem(path+"/stage", "%d is not an index into stages; use 0 to %d", r.StageIndex, len(r.Stages)-1)
		}
		for i, s := range r.Stages {
			at := fmt.Sprintf("%s/stages/%d", path, i)
			v.checkShare(at, s)
			if i > 0 && !(s > r.Stages[i-1]) {
				v.addProblem(at, "%v is not above the stage before it, %v; stages ascend", s, r.Stages[i-1])
			}
		}
	}
}

func (v *validator) checkClasses() {
	for _, name := range sortedKeys(v.rules.Classes) {
		c, path := v.rules.Classes[name], JSONPointer("classes", string(name))
		v.checkName(path, string(name))
		checkNotNegative(v, path+"/maxWaitMs", c.MaxWaitMs)
		if c.StaleConfigPolicy != "" {
			v.checkOneOf(path+"/whenStale", c.StaleConfigPolicy, StaleConfigRefuse, StaleConfigServe)
		}
	}
}

func (v *validator) checkPriceList() {
	steps := v.rules.PriceList.Steps
	for i, s := range steps {
		path := fmt.Sprintf("/priceList/steps/%d", i)
		checkNotNegative(v, path+"/minWaitMs", s.MinWaitMs)
		if !(s.Factor > 0) || math.IsInf(s.Factor, 0) {
			v.addProblem(path+"/factor", "%v is not above 0", s.Factor)
		}
		if i == 0 {
			continue
		}
		if s.MinWaitMs <= steps[i-1].MinWaitMs {
			v.addProblem(path+"/minWaitMs", "%d is not above the step before it, %d; steps ascend", s.MinWaitMs, steps[i-1].MinWaitMs)
		}
		if s.Factor > steps[i-1].Factor {
			v.addProblem(path+"/factor", "%v is above the step before it, %v; more patience must not cost more",
				s.Factor, steps[i-1].Factor)
		}
	}
}

// checkVersionReference checks that key names a version of the model.
func (v *validator) checkVersionReference(path, model, key string) {
	if _, ok := v.rules.Versions[key]; !ok {
		v.addProblem(path, "%q names no version%s", key, suggestName(key, sortedKeys(v.rules.Versions)))
		return
	}
	if m, _, _ := strings.Cut(key, "@"); m != model {
		v.addProblem(path, "%q is not a version of model %q", key, model)
	}
}

func (v *validator) checkSharesByClass(path string, checkSharesByClass map[Class]float64) {
	for _, class := range sortedKeys(checkSharesByClass) {
		at := path + JSONPointer(string(class))
		if _, ok := v.rules.Classes[class]; !ok && class != DefaultClass {
			known := []string{string(DefaultClass)}
			for c := range v.rules.Classes {
				known = append(known, string(c))
			}
			v.addProblem(at, "%q names no class%s", class, suggestName(string(class), known))
		}
		v.checkShare(at, checkSharesByClass[class])
	}
}

func (v *validator) checkShare(path string, f float64) {
	if !(f >= 0 && f <= 1) {
		v.addProblem(path, "%v is not a share from 0 to 1", f)
	}
}

// checkName checks a name that is used in URLs and in configuration keys.
func (v *validator) checkName(path, checkName string) {
	if checkName == "" || strings.ContainsAny(checkName, "/ \t\n") {
		v.addProblem(path, "the name %q must not be empty or contain slashes or white space", checkName)
	}
}

func (v *validator) checkKeyHash(path, h string) {
	if _, err := hex.DecodeString(h); err != nil || len(h) != keyHashHexLength || h != strings.ToLower(h) {
		v.addProblem(path, "not a SHA-256 hash in lower-case hex; make one with: printf %%s KEY | sha256sum")
	}
}

func (v *validator) checkOneOf(path, value string, known ...string) {
	if !slices.Contains(known, value) {
		v.addProblem(path, "%q is not one of %s%s", value, strings.Join(known, ", "), suggestName(value, known))
	}
}

func checkNotNegative[T int | int64 | float64 | kcclock.Millis](v *validator, path string, n T) {
	// The comparison is false for NaN, which is therefore rejected.
	if n >= 0 && !math.IsInf(float64(n), 0) {
		return
	}
	v.addProblem(path, "%v is not 0 or above", n)
}

// suggestName returns a clause that suggests the known name most similar to name,
// or "".
func suggestName(name string, known []string) string {
	if near, ok := kcset.Nearest(name, known); ok {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	return ""
}

// JSONPointer returns the JSON pointer (RFC 6901) with the given keys.
func JSONPointer(keys ...string) string {
	var b strings.Builder
	for _, k := range keys {
		b.WriteString("/" + pointerEscape.Replace(k))
	}
	return b.String()
}

var pointerEscape = strings.NewReplacer("~", "~0", "/", "~1")

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
