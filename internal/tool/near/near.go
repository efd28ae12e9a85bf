// Package near suggests the closest valid name for a mistyped word.
package near

import "fmt"

// maxDistance is the maximum edit distance, in bytes, between a word and its
// suggestion.
const maxDistance = 3

// Suggest returns the candidate with the smallest edit distance to word; the
// first of equal ones. ok is false when every distance exceeds maxDistance.
func Suggest(word string, candidates []string) (name string, ok bool) {
	bestDistance := maxDistance + 1
	for _, candidate := range candidates {
		if distance := editDistance(word, candidate); distance < bestDistance {
			name, bestDistance = candidate, distance
		}
	}
	return name, bestDistance <= maxDistance
}

// Hint returns "; did you mean ...?" with prefix and the closest candidate, or
// an empty string if Suggest finds no name.
func Hint(word string, candidates []string, prefix string) string {
	name, ok := Suggest(word, candidates)
	if !ok {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", prefix+name)
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	distances := make([]int, len(b)+1)
	for j := range distances {
		distances[j] = j
	}
	for i := range len(a) {
		diagonal := distances[0]
		distances[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = distances[j+1]
			distances[j+1] = min(cost, distances[j]+1, distances[j+1]+1)
		}
	}
	return distances[len(b)]
}
