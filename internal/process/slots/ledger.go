package slots

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// allocation is the home member's state of one member's slots of an upstream.
type allocation struct {
	// granted is the latest grant. reserved is the most slots that the member may
	// be using, under this grant and earlier ones.
	granted, reserved int
	// wanted is the demand in slots.
	wanted float64
	// sequence is that of the latest grant, or 0 when a new one is to be issued.
	sequence uint64
	// stampMS is the time of the last report on the member's clock, in
	// milliseconds, and reportedAt the time of its receipt on this process's clock.
	stampMS    int64
	reportedAt time.Duration
}

// report is a SlotDemand as received by the home member: the wanted slots, the
// larger of the slots used and granted, the sequence of the last applied grant, and
// the sender's clock in milliseconds.
type report struct {
	member   string
	wanted   float64
	held     int
	sequence uint64
	stampMS  int64
}

// ledger records how the home member has divided one upstream's slots. It has no
// lock and no clock; the caller provides both.
type ledger struct {
	slots int
	// rank is the upstream's position among those of its service, ordered by ID;
	// splitStart depends on it.
	rank        int
	allocations map[string]*allocation
	// sequence is that of the latest grant to any member.
	sequence uint64
	// majority says whether more than half of the listed members report to this
	// home, and allReport whether all do. majoritySince is when the current majority
	// began.
	majority      bool
	majoritySince time.Duration
	allReport     bool
	// appliedShares are the shares in use; small changes of demand do not replace
	// them. start is the value of splitStart at the time they were set.
	appliedShares []share
	start         float64
}

// newLedger returns an empty ledger. The baseSequence is the wall clock in
// milliseconds, so that grants after a restart have higher sequences.
func newLedger(baseSequence uint64) *ledger {
	return &ledger{allocations: map[string]*allocation{}, sequence: baseSequence}
}

// recordReport records a member's demand and the slots that it holds. Reports older
// than the last one are ignored.
func (l *ledger) recordReport(report report, now time.Duration) {
	alloc := l.allocations[report.member]
	if alloc == nil {
		alloc = &allocation{reserved: report.held, granted: report.held}
		l.allocations[report.member] = alloc
	}
	if report.stampMS < alloc.stampMS {
		return
	}
	l.resetSequence(alloc, report.sequence)
	if alloc.sequence != 0 && report.sequence == alloc.sequence {
		alloc.reserved = max(report.held, alloc.granted)
	} else {
		alloc.reserved = max(alloc.reserved, report.held)
	}
	alloc.wanted = report.wanted
	alloc.stampMS = report.stampMS
	alloc.reportedAt = now
}

// membership lists the members that may hold slots, as seen by this member.
type membership struct {
	// listed are the members that are live or on the platform's list.
	listed []string
	// live are the live members that are not leaving; slots are divided among them.
	live []string
}

// resetSequence continues from the sequence that the member has applied when it is
// later than the home's, and makes divide issue a new grant. This happens when the
// wall clock of an earlier life of the home was ahead; see newLedger.
func (l *ledger) resetSequence(alloc *allocation, applied uint64) {
	if applied > alloc.sequence {
		l.sequence = max(l.sequence, applied)
		alloc.sequence = 0
	}
}

// countReporters updates majority and allReport. A member waits homeSwitchWait,
// longer than reportMaxAge, before it reports to a new home. Unless clock rates
// differ by more than 10 %, no two homes of an upstream therefore count the same
// member, or have a majority, at the same time.
func (l *ledger) countReporters(members membership, now time.Duration) {
	reporting := 0
	for _, id := range members.listed {
		if alloc := l.allocations[id]; alloc != nil && now-alloc.reportedAt < reportMaxAge {
			reporting++
		}
	}
	l.allReport = reporting == len(members.listed)
	majority := 2*reporting > len(members.listed)
	if majority && !l.majority {
		l.majoritySince = now
	}
	l.majority = majority
}

// mayDivide says whether this home may issue new grants: every listed member reports
// what it holds, or a majority has done so for majorityWait, after which the grants
// of earlier homes to the others have expired.
func (l *ledger) mayDivide(now time.Duration) bool {
	return l.allReport || l.majority && now-l.majoritySince >= majorityWait
}

// expireStale lowers allocations to floorSlots when the last report is older than
// grantLease and drainTime together: the grant has expired and its requests have
// ended. Members that are no longer listed are removed.
func (l *ledger) expireStale(members membership, now time.Duration) {
	for id, alloc := range l.allocations {
		if now-alloc.reportedAt < grantLease+drainTime {
			continue
		}
		alloc.sequence = 0
		alloc.granted = min(alloc.granted, floorSlots)
		alloc.reserved = min(alloc.reserved, floorSlots)
		if !slices.Contains(members.listed, id) {
			delete(l.allocations, id)
		}
	}
}

// divide sets the grant of each live member with a recent report. It raises a grant
// only as far as the reserved slots of all members stay within the upstream's.
func (l *ledger) divide(members membership, now time.Duration) {
	l.expireStale(members, now)
	l.countReporters(members, now)
	if !l.mayDivide(now) {
		return
	}
	if shares := l.shares(members, now); sharesChanged(l.appliedShares, shares) {
		l.appliedShares = shares
		l.start = splitStart(l.rank)
	}
	targets := split(l.slots, l.start, l.appliedShares)
	free := l.slots - l.outstanding(members, now)
	for _, id := range members.live {
		alloc := l.allocations[id]
		if alloc == nil || now-alloc.reportedAt >= reportMaxAge {
			continue
		}
		target := targets[id]
		increase := min(max(0, target-alloc.reserved), max(0, free))
		free -= increase
		grant := min(target, alloc.reserved+increase)
		alloc.reserved = max(alloc.reserved, grant)
		if grant != alloc.granted || alloc.sequence == 0 {
			l.sequence++
			alloc.sequence = l.sequence
			alloc.granted = grant
		}
	}
}

// sharesChanged says whether the shares differ by more than rebalanceThreshold. A
// slot that moves to another member is unused for up to two report periods.
func sharesChanged(old, shares []share) bool {
	if len(old) != len(shares) {
		return true
	}
	oldTotal, total := 0.0, 0.0
	for i := range shares {
		oldTotal += old[i].weight
		total += shares[i].weight
	}
	for i := range shares {
		before, after := old[i].weight/oldTotal, shares[i].weight/total
		if old[i].member != shares[i].member || math.Abs(after-before) > rebalanceThreshold*before {
			return true
		}
	}
	return false
}

// outstanding returns the most slots that all members may be using. A listed member
// without a recent report counts with at least floorSlots, which another home may
// have granted it since.
func (l *ledger) outstanding(members membership, now time.Duration) int {
	sum := 0
	for id, alloc := range l.allocations {
		if now-alloc.reportedAt >= reportMaxAge && slices.Contains(members.listed, id) {
			sum += max(alloc.reserved, floorSlots)
		} else {
			sum += alloc.reserved
		}
	}
	for _, id := range members.listed {
		if l.allocations[id] == nil {
			sum += floorSlots
		}
	}
	return sum
}

// shares weights the live members by their demand, ordered by ID. A minimum weight
// gives an idle member enough slots for its first requests.
func (l *ledger) shares(members membership, now time.Duration) []share {
	total := 0.0
	for _, id := range members.live {
		if alloc := l.allocations[id]; alloc != nil {
			total += alloc.wanted
		}
	}
	minWeight := max(total*minDemandShare, 1)
	shares := make([]share, 0, len(members.live))
	for _, id := range members.live {
		weight := minWeight
		if alloc := l.allocations[id]; alloc != nil && now-alloc.reportedAt < reportMaxAge {
			weight = max(minWeight, alloc.wanted)
		}
		shares = append(shares, share{member: id, weight: weight})
	}
	slices.SortFunc(shares, func(a, b share) int { return cmp.Compare(a.member, b.member) })
	return shares
}
