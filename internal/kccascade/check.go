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

// minRunes is the length below which an answer to a request that allows at
// least minLimit tokens is taken for a failure.
const (
	minRunes = 8
	minLimit = 64
)

// refusalBytes is the part of an answer that is searched for refusals; models
// refuse at the start.
const refusalBytes = 160

var refusals = []string{
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
	case outputLimit >= minLimit && utf8.RuneCountInString(text) < minRunes:
		return TooShort
	case refuses(text):
		return Refusal
	case repeats(text):
		return Repeating
	default:
		return Passed
	}
}

func refuses(text string) bool {
	head := strings.ToLower(strings.ReplaceAll(text[:min(len(text), refusalBytes)], "’", "'"))
	for _, r := range refusals {
		if strings.Contains(head, r) {
			return true
		}
	}
	return false
}

// A tail of tailBytes that occurs tailRepeats times in a row is a loop.
const (
	tailBytes   = 24
	tailRepeats = 4
)

func repeats(text string) bool {
	if len(text) < tailBytes*tailRepeats {
		return false
	}
	for size := tailBytes; size*tailRepeats <= len(text) && size <= 4*tailBytes; size++ {
		tail := text[len(text)-size:]
		if strings.HasSuffix(text, strings.Repeat(tail, tailRepeats)) && strings.TrimSpace(tail) != "" {
			return true
		}
	}
	return false
}
