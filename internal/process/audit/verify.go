package audit

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"fmt"
	"slices"
	"time"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// FaultKind says what is wrong with a chain.
type FaultKind string

// Kinds of faults of a chain.
const (
	// FaultTampered is a record whose digest or signature does not match.
	FaultTampered FaultKind = "tampered"
	// FaultMissing is a sequence number without a record and without a
	// declared gap.
	FaultMissing FaultKind = "missing"
	// FaultReordered is a record kept before one that it follows.
	FaultReordered FaultKind = "reordered"
	// FaultBrokenLink is a record that does not name its predecessor's digest.
	FaultBrokenLink FaultKind = "broken_link"
	// FaultDuplicate is a second, different record of one sequence number.
	FaultDuplicate FaultKind = "duplicate"
	// FaultUnsigned is a record without a signature in a life that signs, or
	// where a list of trusted keys was given.
	FaultUnsigned FaultKind = "unsigned"
	// FaultUntrusted is a signature by a key that is not on the list.
	FaultUntrusted FaultKind = "untrusted_key"
)

// Fault is one thing wrong with the chain of a life.
type Fault struct {
	Kind          FaultKind `json:"kind"`
	Instance      string    `json:"instance,omitempty"`
	StartedUnixMS int64     `json:"started_unix_ms,omitempty"`
	FirstSequence uint64    `json:"first_sequence,omitempty"`
	LastSequence  uint64    `json:"last_sequence,omitempty"`
	FromUnixMS    int64     `json:"from_unix_ms,omitempty"`
	Detail        string    `json:"detail"`
}

// Gap is a stretch of time that the records say, or show, they do not cover.
type Gap struct {
	Instance    string `json:"instance"`
	FromUnixMS  int64  `json:"from_unix_ms"`
	UntilUnixMS int64  `json:"until_unix_ms"`
	Cause       string `json:"cause"`
	Lost        uint64 `json:"lost,omitempty"`
}

// Life is what was found of one run of an instance.
type Life struct {
	Instance      string `json:"instance"`
	DataCentre    string `json:"data_centre"`
	StartedUnixMS int64  `json:"started_unix_ms"`
	FromUnixMS    int64  `json:"from_unix_ms"`
	UntilUnixMS   int64  `json:"until_unix_ms"`
	Records       int    `json:"records"`
	Signed        bool   `json:"signed"`
	// PlannedStop says that the last record is the final one of a planned stop.
	PlannedStop bool `json:"planned_stop"`
}

// Check says what Verify is to hold the records against.
type Check struct {
	// From and To bound the time that was read.
	From, To time.Time
	// TrustedKeys are the keys that may sign; empty trusts the keys that the
	// records carry.
	TrustedKeys []ed25519.PublicKey
	// Grace is how long before To a life may end without a final record, since
	// its last records may not be written yet. Zero takes two minutes.
	Grace time.Duration
}

const defaultGrace = 2 * time.Minute

// Verified is what stood the check, and what did not.
type Verified struct {
	Lives  []Life  `json:"lives"`
	Faults []Fault `json:"faults"`
	Gaps   []Gap   `json:"gaps"`
	// Records are those that are intact, by instance, life and sequence.
	Records []*cairnbayv1.AuditRecord `json:"-"`
}

// Verify checks each record and the chain of each life.
func Verify(sealed []*cairnbayv1.SealedAudit, check Check) Verified {
	if check.Grace == 0 {
		check.Grace = defaultGrace
	}
	verified := Verified{}
	lives := verified.gather(sealed, check)
	for _, chain := range lives {
		chain.walk(&verified, check)
	}
	return verified
}

// chained is an intact record with its digest.
type chained struct {
	record *cairnbayv1.AuditRecord
	sealed *cairnbayv1.SealedAudit
}

// head is the digest that the next record must name.
func (c chained) head() []byte {
	if folded := c.record.Folded; len(folded) > 0 {
		return folded[len(folded)-1]
	}
	return c.sealed.Digest
}

// chain is the intact records of one life, as found.
type chain struct {
	instance string
	started  int64
	items    []chained
}

// gather opens each record and sorts them by life.
func (v *Verified) gather(sealed []*cairnbayv1.SealedAudit, check Check) []*chain {
	var chains []*chain
	for _, kept := range sealed {
		record, err := Open(kept)
		if err != nil {
			v.Faults = append(v.Faults, tampered(kept, err))
			continue
		}
		v.checkKey(kept, record, check)
		chains = addTo(chains, chained{record: record, sealed: kept})
	}
	slices.SortStableFunc(chains, func(a, b *chain) int {
		return cmp.Or(cmp.Compare(a.instance, b.instance), cmp.Compare(a.started, b.started))
	})
	return chains
}

func addTo(chains []*chain, item chained) []*chain {
	for _, known := range chains {
		if known.instance == item.record.Instance && known.started == item.record.StartedUnixMs {
			known.items = append(known.items, item)
			return chains
		}
	}
	return append(chains, &chain{
		instance: item.record.Instance, started: item.record.StartedUnixMs, items: []chained{item},
	})
}

// tampered names the record as far as it can still be read.
func tampered(kept *cairnbayv1.SealedAudit, cause error) Fault {
	fault := Fault{Kind: FaultTampered, Detail: cause.Error()}
	record, err := unpack(kept.Body)
	if err != nil {
		return fault
	}
	fault.Instance = record.Instance
	fault.StartedUnixMS = record.StartedUnixMs
	fault.FirstSequence = record.FirstSequence
	fault.LastSequence = record.LastSequence
	fault.FromUnixMS = record.FromUnixMs
	return fault
}

func (v *Verified) checkKey(kept *cairnbayv1.SealedAudit, record *cairnbayv1.AuditRecord, check Check) {
	if len(check.TrustedKeys) == 0 {
		return
	}
	if len(kept.Signature) == 0 {
		v.blame(FaultUnsigned, record, "no signature, though trusted keys were given")
		return
	}
	for _, key := range check.TrustedKeys {
		if bytes.Equal(key, kept.PublicKey) {
			return
		}
	}
	v.blame(FaultUntrusted, record, fmt.Sprintf("key %x is not trusted", kept.PublicKey))
}

func (v *Verified) blame(kind FaultKind, record *cairnbayv1.AuditRecord, detail string) {
	v.Faults = append(v.Faults, Fault{
		Kind: kind, Instance: record.Instance, StartedUnixMS: record.StartedUnixMs,
		FirstSequence: record.FirstSequence, LastSequence: record.LastSequence,
		FromUnixMS: record.FromUnixMs, Detail: detail,
	})
}

// walk checks the order, the links and the ends of one life.
func (c *chain) walk(verified *Verified, check Check) {
	c.checkOrder(verified)
	c.sort()
	c.dropCovered(verified)
	c.checkSigned(verified)
	c.checkStart(verified, check)
	for i := 1; i < len(c.items); i++ {
		c.checkLink(verified, c.items[i-1], c.items[i])
	}
	c.collect(verified)
	c.checkEnd(verified, check)
}

// checkOrder compares minute records only, since folded ones are kept apart.
func (c *chain) checkOrder(verified *Verified) {
	var before *cairnbayv1.AuditRecord
	for _, item := range c.items {
		record := item.record
		if len(record.Folded) > 0 {
			continue
		}
		if before != nil && record.FirstSequence < before.FirstSequence {
			verified.blame(FaultReordered, record, fmt.Sprintf("kept after record %d", before.FirstSequence))
		}
		before = record
	}
}

// sort puts records in sequence, the one that covers most first.
func (c *chain) sort() {
	slices.SortStableFunc(c.items, func(a, b chained) int {
		return cmp.Or(
			cmp.Compare(a.record.FirstSequence, b.record.FirstSequence),
			cmp.Compare(b.record.LastSequence, a.record.LastSequence),
		)
	})
}

// dropCovered leaves out records that an earlier one covers, which is so while
// minutes are being folded, and after a write that was repeated.
func (c *chain) dropCovered(verified *Verified) {
	kept := c.items[:0]
	for _, item := range c.items {
		if len(kept) == 0 || item.record.FirstSequence > kept[len(kept)-1].record.LastSequence {
			kept = append(kept, item)
			continue
		}
		if !covers(kept[len(kept)-1], item) {
			verified.blame(FaultDuplicate, item.record, "another record holds the same sequence numbers")
		}
	}
	c.items = kept
}

// covers says whether the first holds the second, unchanged.
func covers(first, second chained) bool {
	if bytes.Equal(first.sealed.Digest, second.sealed.Digest) {
		return true
	}
	for _, digest := range first.record.Folded {
		if bytes.Equal(digest, second.head()) {
			return true
		}
	}
	return false
}

func (c *chain) checkSigned(verified *Verified) {
	signed := slices.ContainsFunc(c.items, func(item chained) bool { return len(item.sealed.Signature) > 0 })
	if !signed {
		return
	}
	for _, item := range c.items {
		if len(item.sealed.Signature) == 0 {
			verified.blame(FaultUnsigned, item.record, "other records of this life are signed")
		}
	}
}

// checkStart finds records missing between the start of the time read, or of
// the life, and the first record.
func (c *chain) checkStart(verified *Verified, check Check) {
	first := c.items[0].record
	if first.FirstSequence == 1 || first.FromUnixMs <= check.From.UnixMilli() {
		return
	}
	declared, _ := c.declared(1, first.FirstSequence-1)
	if declared {
		return
	}
	verified.Faults = append(verified.Faults, Fault{
		Kind: FaultMissing, Instance: c.instance, StartedUnixMS: c.started,
		LastSequence: first.FirstSequence - 1, FromUnixMS: check.From.UnixMilli(),
		Detail: fmt.Sprintf("the first record found is %d, from %s", first.FirstSequence, wallText(first.FromUnixMs)),
	})
}

// declared says whether records of the life declare the sequence numbers as
// dropped, and returns the digest of the last of them.
func (c *chain) declared(from, to uint64) (ok bool, lastDigest []byte) {
	for from <= to {
		gap := c.gapAt(from)
		if gap == nil {
			return false, nil
		}
		from, lastDigest = gap.LastSequence+1, gap.LastDigest
	}
	return true, lastDigest
}

// gapAt returns the declared gap that holds a sequence number, or nil.
func (c *chain) gapAt(sequence uint64) *cairnbayv1.AuditGap {
	for _, item := range c.items {
		for _, gap := range item.record.Gaps {
			if gap.FirstSequence > 0 && gap.FirstSequence <= sequence && sequence <= gap.LastSequence {
				return gap
			}
		}
	}
	return nil
}

// checkLink checks that two neighbours follow each other.
func (c *chain) checkLink(verified *Verified, before, after chained) {
	want := before.head()
	if after.record.FirstSequence != before.record.LastSequence+1 {
		declared, digest := c.declared(before.record.LastSequence+1, after.record.FirstSequence-1)
		if !declared {
			verified.Faults = append(verified.Faults, c.missing(before.record, after.record))
			return
		}
		want = digest
	}
	if !bytes.Equal(want, after.record.Previous) {
		verified.blame(FaultBrokenLink, after.record, "it does not name the digest of the record before it")
		return
	}
	if after.record.FromUnixMs < before.record.UntilUnixMs {
		verified.blame(FaultReordered, after.record, "it begins before its predecessor ends")
	}
}

func (c *chain) missing(before, after *cairnbayv1.AuditRecord) Fault {
	return Fault{
		Kind: FaultMissing, Instance: c.instance, StartedUnixMS: c.started,
		FirstSequence: before.LastSequence + 1, LastSequence: after.FirstSequence - 1,
		FromUnixMS: before.UntilUnixMs,
		Detail: fmt.Sprintf("nothing from %s to %s, and no gap is declared",
			wallText(before.UntilUnixMs), wallText(after.FromUnixMs)),
	}
}

func (c *chain) collect(verified *Verified) {
	first, last := c.items[0], c.items[len(c.items)-1]
	verified.Lives = append(verified.Lives, Life{
		Instance: c.instance, DataCentre: first.record.DataCentre, StartedUnixMS: c.started,
		FromUnixMS: first.record.FromUnixMs, UntilUnixMS: last.record.UntilUnixMs, Records: len(c.items),
		Signed: len(first.sealed.Signature) > 0, PlannedStop: last.record.Final,
	})
	for _, item := range c.items {
		verified.Records = append(verified.Records, item.record)
		for _, gap := range item.record.Gaps {
			verified.Gaps = append(verified.Gaps, Gap{
				Instance: c.instance, FromUnixMS: gap.FromUnixMs, UntilUnixMS: gap.UntilUnixMs,
				Cause: gap.Cause, Lost: gap.Lost,
			})
		}
	}
}

// checkEnd shows a life that ended without a planned stop as a gap of up to the
// minute that it had not sealed.
func (c *chain) checkEnd(verified *Verified, check Check) {
	last := c.items[len(c.items)-1].record
	if last.Final || last.UntilUnixMs >= check.To.Add(-check.Grace).UnixMilli() {
		return
	}
	verified.Gaps = append(verified.Gaps, Gap{
		Instance: c.instance, FromUnixMS: last.UntilUnixMs, UntilUnixMS: check.To.UnixMilli(), Cause: GapNoFinalRecord,
	})
}

func wallText(unixMS int64) string {
	return time.UnixMilli(unixMS).UTC().Format("2006-01-02 15:04:05Z")
}
