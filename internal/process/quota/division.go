package quota

import (
	"maps"
	"slices"

	"github.com/juju/errors"

	"cairnbay"
)

// Division is the division of a workspace's quota into the parts of shards.
type Division map[string]Share

// EqualDivision gives each shard the same part.
func EqualDivision(shards []string) Division {
	division := make(Division, len(shards))
	for i, shard := range shards {
		var share Share
		for dimension := range share {
			share[dimension] = int64(Whole / len(shards))
			if i < Whole%len(shards) {
				share[dimension]++
			}
		}
		division[shard] = share
	}
	return division
}

// Check returns ErrInvalid if the parts together exceed the quota, or one is negative.
func (d Division) Check() error {
	var total Share
	for shard, share := range d {
		for _, amount := range share {
			if amount < 0 || amount > Whole {
				return errors.Annotatef(cairnbay.ErrInvalid, "part of shard %q: %d", shard, amount)
			}
		}
		total = total.Add(share)
	}
	if slices.Max(total[:]) > Whole {
		return errors.Annotatef(cairnbay.ErrInvalid, "the parts sum to %v of %d", total, Whole)
	}
	return nil
}

// Move returns the division after a part of one shard went to another one.
func (d Division) Move(from, to string, amount Share) Division {
	moved := maps.Clone(d)
	amount = amount.Min(d[from])
	moved[from] = d[from].Sub(amount)
	moved[to] = moved[to].Add(amount)
	return moved
}

// Outcome is the result of a write as far as its writer knows.
type Outcome uint8

// Outcomes.
const (
	// Stored is a write that was confirmed.
	Stored Outcome = iota
	// NoEffect is a write that has certainly not taken effect and never will.
	NoEffect
	// Unsettled is a write that may have taken effect, or may yet, until its key is known
	// at a later revision than the write expects.
	Unsettled
)

// Write is a conditional write of a division.
type Write struct {
	Expect   cairnbay.Revision
	Division Division
	// settles is set for a write that is to settle an earlier one.
	settles bool
}

// Holder is what the owner of a shard knows of the division of one quota. The owner must
// have read it after its claim. Only its own writes, which carry the fence of the claim,
// lower its part, so that the part at any later revision that it knows may be used, less
// what a write of its own may have given away.
type Holder struct {
	shard    string
	revision cairnbay.Revision
	division Division
	// pending is the write whose outcome is not known, nil for none.
	pending *Write
}

// NewHolder returns a holder that does not know the division.
func NewHolder(shard string) *Holder {
	return &Holder{shard: shard}
}

// Observe adopts the division that was read at a revision, unless a later one is known,
// and returns whether it did. It settles a write that expects an earlier revision.
func (h *Holder) Observe(revision cairnbay.Revision, division Division) bool {
	if revision <= h.revision {
		return false
	}
	h.revision, h.division = revision, division
	if h.pending != nil && h.pending.Expect < revision {
		h.pending = nil
	}
	return true
}

// Known reports whether the division has been read.
func (h *Holder) Known() bool {
	return h.revision > 0
}

// Part returns the part that the owner may use, nothing while the division is not known.
func (h *Holder) Part() Share {
	part := h.division[h.shard]
	if h.pending != nil && h.Known() {
		part = part.Min(h.pending.Division[h.shard])
	}
	return part
}

// Division returns the division as last read. It must not be changed.
func (h *Holder) Division() Division {
	return h.division
}

// Revision returns the revision of the division, 0 while it is not known.
func (h *Holder) Revision() cairnbay.Revision {
	return h.revision
}

// Pending reports whether the outcome of a write is not known.
func (h *Holder) Pending() bool {
	return h.pending != nil
}

// Create begins the first write of a division that the store does not have; false if the
// division is known or a write is pending.
func (h *Holder) Create(division Division) (Write, bool) {
	if h.Known() || h.pending != nil {
		return Write{}, false
	}
	h.pending = &Write{Division: division}
	return *h.pending, true
}

// Give begins to move an amount of the part to another shard: the part is lowered at
// once. It returns false if the division is not known or a write is pending.
func (h *Holder) Give(to string, amount Share) (Write, bool) {
	if !h.Known() || h.pending != nil || amount.IsZero() || to == h.shard {
		return Write{}, false
	}
	h.pending = &Write{Expect: h.revision, Division: h.division.Move(h.shard, to, amount)}
	return *h.pending, true
}

// Settle returns a write that settles a pending one: it changes nothing, and one of the
// two at most takes effect. Without it a part would stay lowered until another owner
// writes the key.
func (h *Holder) Settle() (Write, bool) {
	switch {
	case h.pending == nil:
		return Write{}, false
	case !h.Known():
		return Write{Division: h.pending.Division, settles: true}, true
	default:
		return Write{Expect: h.pending.Expect, Division: h.division, settles: true}, true
	}
}

// End handles the outcome of a write; revision is that of a stored one. A conflict is
// Unsettled: a repetition within the store's client may have met the write itself.
func (h *Holder) End(write Write, outcome Outcome, revision cairnbay.Revision) {
	switch outcome {
	case Stored:
		h.Observe(revision, write.Division)
	case NoEffect:
		if !write.settles {
			h.pending = nil
		}
	case Unsettled:
	}
}
