package kcgate_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against the same as TestLateCopiesAreNotTakenForResponses, for any mix of
// requests with few ids and of copies: each response is that of a run of its own request,
// and whole, and no request that must not be repeated runs twice.
func TestAnyLateCopiesLeaveResponsesWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SampledFrom([]string{"", "upstreams 2\n"}).Draw(rt, "upstreams")
		r := newCopyRun(t, rapid.Bool().Draw(rt, "tunnel"), script)
		r.upstream = []string{"answer"}
		r.send([]string{"once", "z"})
		for n := range rapid.IntRange(1, 12).Draw(rt, "requests") {
			lines := rapid.SliceOfN(copyLine(), 6, 6).Draw(rt, "upstream")
			r.mu.Lock()
			r.upstream = lines
			r.mu.Unlock()
			words := []string{
				rapid.SampledFrom([]string{"once", "lookup", "stream"}).Draw(rt, "route"),
				rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id"),
			}
			first := 0
			if words[0] == "stream" && rapid.Bool().Draw(rt, "resumed") {
				words, first = append(words, "last=1"), 2
			}
			call := strconv.Itoa(n)
			got := r.send(words, "Call", call)
			if problem := r.judge(words, call, got, first); problem != "" {
				rt.Fatalf("%s: %q, %s", strings.Join(words, " "), got, problem)
			}
		}
	})
}

// copyLine draws what an upstream does with a request. A response that breaks off is the
// last of its connection: what follows may have the length that it lacks.
func copyLine() *rapid.Generator[string] {
	copies := rapid.SampledFrom([]string{
		"copy", "copy,noId", "copy,noLength", "copy,chunked", "copy,tail", "copy,head", "copy,rest", "copy,short", "copy,status",
		"copy,field", "part", "interim",
	})
	own := rapid.SampledFrom([]string{"answer", "answer", "answer", "refuse", "refuse200", "fail", "half"})
	return rapid.Custom(func(rt *rapid.T) string {
		words := append(rapid.SliceOfN(copies, 0, 2).Draw(rt, "before"), own.Draw(rt, "own"))
		if words[len(words)-1] != "half" {
			words = append(words, rapid.SliceOfN(copies, 0, 1).Draw(rt, "behind")...)
		}
		return strings.Join(words, rapid.SampledFrom([]string{"+", " "}).Draw(rt, "joined"))
	})
}

// judge returns what is wrong with what the caller of a request has got, or "".
func (r *copyRun) judge(words []string, call, got string, firstEvent int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var own []string
	for n, of := range r.callOf {
		if of == call {
			own = append(own, words[1]+"/"+strconv.Itoa(n))
		}
	}
	_, err := strconv.Atoi(got)
	switch {
	case words[0] == "once" && len(own) > 1:
		return "ran twice"
	case got == "503" && len(own) > 0:
		return "told as not run"
	case got == "none" || err == nil:
		return ""
	case words[0] != "stream" && !slices.Contains(own, got):
		return "not its own"
	case words[0] != "stream":
		return ""
	}
	return judgeEvents(strings.Fields(got), own, firstEvent)
}

// judgeEvents does the same for the events of a stream.
func judgeEvents(events, own []string, first int) string {
	for n, e := range events {
		id, text, _ := strings.Cut(e, ":")
		if id != strconv.Itoa(first+n) || !slices.Contains(own, text) {
			return "not its own"
		}
	}
	if first+len(events) != copyEvents {
		return "not whole"
	}
	return ""
}
