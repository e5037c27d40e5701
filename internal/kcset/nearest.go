package kcset

import "slices"

// Nearest returns the known name with the smallest edit distance to name, for
// hints in error messages. It reports false if none is close, that is if more
// than 2 bytes and more than a third of the bytes of name would have to change.
func Nearest(name string, known []string) (string, bool) {
	best, bestDistance := "", max(2, len(name)/3)+1
	for _, k := range slices.Sorted(slices.Values(known)) {
		if d := editDistance(name, k); d < bestDistance && d < len(k) {
			best, bestDistance = k, d
		}
	}
	return best, best != ""
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}
