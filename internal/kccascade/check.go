package kccascade

import (
	"strings"
	"unicode/utf8"
)

// Answer is what the check in the request path sees of an answer.
type Answer struct {
	Text string
	// FinishReason is the reason that the engine gives: stop, length, ...
	FinishReason string
}

// minAnswerRunes is the length below which an answer to a request that allows at
// least minCheckedOutputLimit tokens is taken for a failure.
const (
	minAnswerRunes        = 8
	minCheckedOutputLimit = 64
)

// refusalSearchBytes is the part of an answer that is searched for refusals; models
// refuse at the start.
const refusalSearchBytes = 160

var refusalPhrases = []string{
	"i can't help", "i cannot help", "i'm unable to", "i am unable to", "i can't assist", "i cannot assist",
	"as an ai", "i'm sorry, but", "i am sorry, but",
}

// Failure is the reason for which an answer does not pass the check.
type CheckResult string

// Values of Failure.
const (
	Passed    CheckResult = ""
	CutOff    CheckResult = "cutOff"
	Filtered  CheckResult = "filtered"
	TooShort  CheckResult = "tooShort"
	Refusal   CheckResult = "refusal"
	Repeating CheckResult = "repeating"
)

// CheckAnswer looks for cheap signs of a bad answer: a cut at the length
// limit, a filter, an almost empty answer, a refusal, and a tail that repeats
// itself. It cannot tell a wrong answer that reads well from a right one.
func CheckAnswer(a Answer, outputLimit int) CheckResult {
	text := strings.TrimSpace(a.Text)
	switch {
	case a.FinishReason == "length":
		return CutOff
	case a.FinishReason == "content_filter":
		return Filtered
	case outputLimit >= minCheckedOutputLimit && utf8.RuneCountInString(text) < minAnswerRunes:
		return TooShort
	case isRefusal(text):
		return Refusal
	case endsInLoop(text):
		return Repeating
	default:
		return Passed
	}
}

func isRefusal(text string) bool {
	head := strings.ToLower(strings.ReplaceAll(text[:min(len(text), refusalSearchBytes)], "’", "'"))
	for _, r := range refusalPhrases {
		if strings.Contains(head, r) {
			return true
		}
	}
	return false
}

// A tail of minLoopBytes that occurs loopRepeats times in a row is a loop.
const (
	minLoopBytes = 24
	loopRepeats  = 4
)

func endsInLoop(text string) bool {
	if len(text) < minLoopBytes*loopRepeats {
		return false
	}
	for size := minLoopBytes; size*loopRepeats <= len(text) && size <= 4*minLoopBytes; size++ {
		tail := text[len(text)-size:]
		if strings.HasSuffix(text, strings.Repeat(tail, loopRepeats)) && strings.TrimSpace(tail) != "" {
			return true
		}
	}
	return false
}
