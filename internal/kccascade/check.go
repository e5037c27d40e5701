package kccascade

import (
	"strings"
	"unicode/utf8"
)

// Answer is the part of an answer that the check in the request path examines.
type Answer struct {
	Text string
	// FinishReason is the reason that the engine reports: stop, length, and so
	// on.
	FinishReason string
}

// minAnswerRunes is the length below which an answer is too short, if its
// request allows at least minCheckedOutputLimit tokens.
const (
	minAnswerRunes        = 8
	minCheckedOutputLimit = 64
)

// refusalSearchBytes is the length of the prefix of an answer that is searched
// for refusals; models refuse at the start.
const refusalSearchBytes = 160

var refusalPhrases = []string{
	"i can't help", "i cannot help", "i'm unable to", "i am unable to", "i can't assist", "i cannot assist",
	"as an ai", "i'm sorry, but", "i am sorry, but",
}

// CheckResult is the reason why an answer fails the check, or Passed.
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

// CheckAnswer looks for signs of a bad answer that are cheap to detect:
// truncation at the length limit, a content filter, an almost empty answer, a
// refusal, and a repeating tail. It cannot tell a plausible wrong answer from a
// right one.
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

// An answer is in a loop if its last minLoopBytes or more, up to four times
// that, occur loopRepeats times in a row.
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
