package judge

import (
	"cmp"
	"slices"
)

// checkSettings checks that no member went back, and that each accepted version
// was in force in time on every member that could be reached.
func checkSettings(input Input, verdict *Verdict) {
	seen := make(map[string][]Seen)
	for _, sight := range input.Seen {
		seen[sight.Member] = append(seen[sight.Member], sight)
	}
	for member, sights := range seen {
		slices.SortStableFunc(sights, func(a, b Seen) int { return cmp.Compare(a.AtMS, b.AtMS) })
		checkRising(member, sights, verdict)
	}
	for _, accepted := range input.Accepted {
		for _, member := range input.Members {
			checkInForce(input, accepted, member, seen[member.Member], verdict)
		}
	}
}

func checkRising(member string, sights []Seen, verdict *Verdict) {
	for i := 1; i < len(sights); i++ {
		verdict.check(sights[i].Version >= sights[i-1].Version, "member %q went back from version %d to %d at %d ms",
			member, sights[i-1].Version, sights[i].Version, sights[i].AtMS)
	}
}

func checkInForce(input Input, accepted Accepted, member MemberLife, sights []Seen, verdict *Verdict) {
	due := dueMS(accepted, member, input.settingsWithinMS())
	if due > min(member.end(), input.EndMS) {
		return
	}
	for _, sight := range sights {
		if sight.Version >= accepted.Version && sight.AtMS <= due {
			verdict.check(true, "")
			return
		}
	}
	verdict.check(false, "version %d, accepted at %d ms, was not in force on member %q by %d ms",
		accepted.Version, accepted.AtMS, member.Member, due)
}

// dueMS is when the version must be in force: the time allowed counts from the
// latest of its acceptance, the member's start and the end of a cut.
func dueMS(accepted Accepted, member MemberLife, withinMS int64) int64 {
	from := max(accepted.AtMS, member.FromMS)
	for _, cut := range member.CutOff {
		if cut.FromMS <= from+withinMS && cut.end() > from {
			from = cut.end()
		}
	}
	return min(from, openEnd) + withinMS
}
