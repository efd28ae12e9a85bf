package commit

import "sort"

// Span is a half-open range of indices: From is included, To is not.
type Span struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Spans is a set of indices, stored as sorted spans that are not adjacent.
type Spans []Span

// Contains reports whether index is in the set.
func (s Spans) Contains(index int) bool {
	at := sort.Search(len(s), func(i int) bool { return s[i].To > index })
	return at < len(s) && s[at].From <= index
}

// Count returns the number of indices in the set.
func (s Spans) Count() int {
	count := 0
	for _, span := range s {
		count += span.To - span.From
	}
	return count
}

// Add returns the set with index added. The receiver must not be used again.
func (s Spans) Add(index int) Spans {
	at := sort.Search(len(s), func(i int) bool { return s[i].To >= index })
	if at == len(s) || s[at].From > index+1 {
		s = append(s, Span{})
		copy(s[at+1:], s[at:])
		s[at] = Span{From: index, To: index + 1}
		return s
	}
	s[at].From = min(s[at].From, index)
	s[at].To = max(s[at].To, index+1)
	if at+1 < len(s) && s[at+1].From <= s[at].To {
		s[at].To = s[at+1].To
		s = append(s[:at+1], s[at+2:]...)
	}
	return s
}
