package tree

import (
	"cmp"
	"slices"
	"strings"

	"github.com/juju/errors"

	"cairnbay"
)

// drainPrefix starts the name of a drain's slot at the root.
const drainPrefix = "drains."

func drainName(drain cairnbay.Drain) string {
	return drainPrefix + string(drain.Kind) + "/" + drain.ID
}

// drainOf reads the name of a drain's slot.
func drainOf(name string) (drain cairnbay.Drain, ok bool) {
	rest, ok := strings.CutPrefix(name, drainPrefix)
	if !ok {
		return cairnbay.Drain{}, false
	}
	kind, id, ok := strings.Cut(rest, "/")
	return cairnbay.Drain{Kind: cairnbay.DrainKind(kind), ID: id}, ok
}

// isRootList says whether a slot is an entry of one of the root's lists.
func isRootList(name string) bool {
	return strings.HasPrefix(name, operatorPrefix) || strings.HasPrefix(name, drainPrefix)
}

// WithDrains returns the tree with other drains. Errors: ErrInvalid for an
// unknown kind or an empty ID.
func (t *Tree) WithDrains(drains []cairnbay.Drain) (*Tree, error) {
	for _, drain := range drains {
		if err := checkDrain(drain); err != nil {
			return nil, err
		}
	}
	changed := *t
	changed.Drains = slices.Clone(drains)
	slices.SortFunc(changed.Drains, func(a, b cairnbay.Drain) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
	})
	changed.Drains = slices.Compact(changed.Drains)
	return &changed, nil
}

// WithDrain returns the tree with a drain added, or taken away again. Errors:
// those of WithDrains.
func (t *Tree) WithDrain(drain cairnbay.Drain, undo bool) (*Tree, error) {
	kept := slices.DeleteFunc(slices.Clone(t.Drains), func(known cairnbay.Drain) bool { return known == drain })
	if !undo {
		kept = append(kept, drain)
	}
	return t.WithDrains(kept)
}

func checkDrain(drain cairnbay.Drain) error {
	switch drain.Kind {
	case cairnbay.DrainInstance, cairnbay.DrainWorker, cairnbay.DrainDataCentre:
	default:
		return errors.Annotatef(cairnbay.ErrInvalid, "drain kind %q is none of instance, worker, data_centre", drain.Kind)
	}
	if drain.ID == "" {
		return errors.Annotatef(cairnbay.ErrInvalid, "drain of kind %q without an ID", drain.Kind)
	}
	return nil
}
