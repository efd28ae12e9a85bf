package tree

import (
	"cmp"
	"slices"
	"strings"

	"github.com/juju/errors"

	"cairnbay"
)

// drainPrefix starts the name of a drain's item at the root.
const drainPrefix = "drains."

func drainName(drain cairnbay.Drain) string {
	return drainPrefix + string(drain.Kind) + "/" + drain.ID
}

// parseDrainName parses the name of a drain's item; ok is false for other names.
func parseDrainName(name string) (drain cairnbay.Drain, ok bool) {
	rest, ok := strings.CutPrefix(name, drainPrefix)
	if !ok {
		return cairnbay.Drain{}, false
	}
	kind, id, ok := strings.Cut(rest, "/")
	return cairnbay.Drain{Kind: cairnbay.DrainKind(kind), ID: id}, ok
}

// isRootList reports whether an item is an entry of one of the root's lists,
// operators or drains.
func isRootList(name string) bool {
	return strings.HasPrefix(name, operatorPrefix) || strings.HasPrefix(name, drainPrefix)
}

// WithDrains returns a copy of the tree with its drains replaced. Errors:
// ErrInvalid for an unknown kind or an empty ID.
func (t *Tree) WithDrains(drains []cairnbay.Drain) (*Tree, error) {
	for _, drain := range drains {
		if err := checkDrain(drain); err != nil {
			return nil, err
		}
	}
	updated := *t
	updated.Drains = slices.Clone(drains)
	slices.SortFunc(updated.Drains, func(a, b cairnbay.Drain) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
	})
	updated.Drains = slices.Compact(updated.Drains)
	return &updated, nil
}

// WithDrain returns a copy of the tree with a drain added, or removed if undo is
// true. Errors: ErrInvalid, as for WithDrains.
func (t *Tree) WithDrain(drain cairnbay.Drain, undo bool) (*Tree, error) {
	drains := slices.DeleteFunc(slices.Clone(t.Drains), func(existing cairnbay.Drain) bool { return existing == drain })
	if !undo {
		drains = append(drains, drain)
	}
	return t.WithDrains(drains)
}

func checkDrain(drain cairnbay.Drain) error {
	switch drain.Kind {
	case cairnbay.DrainInstance, cairnbay.DrainWorker, cairnbay.DrainDataCentre:
	default:
		return errors.Annotatef(cairnbay.ErrInvalid, "drain kind %q is not one of instance, worker, data_centre", drain.Kind)
	}
	if drain.ID == "" {
		return errors.Annotatef(cairnbay.ErrInvalid, "drain of kind %q has no ID", drain.Kind)
	}
	return nil
}
