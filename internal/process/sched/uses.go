package sched

import (
	"strings"

	"github.com/juju/errors"
)

// LearnUses says which decisions use learned run times. The others depend on declared run
// times and on one ratio per queue.
type LearnUses struct {
	// Order is for the latest start and the slack of a stage, Place for the choice of
	// workers, Reserve for the ends that reservations and preemptions expect, Admit for the
	// expected wait, and Straggler for stragglers.
	Order, Place, Reserve, Admit, Straggler bool
}

// AllLearnUses has every use.
var AllLearnUses = LearnUses{Order: true, Place: true, Reserve: true, Admit: true, Straggler: true}

// Any reports whether any decision uses learned run times.
func (u LearnUses) Any() bool {
	return u != LearnUses{}
}

// SetHurried says whether the owner is short of processor time. Decisions then use no
// learned run times, since these only improve decisions and cost time; runs are observed
// all the same.
func (c *Core) SetHurried(hurried bool) {
	if hurried {
		c.uses = LearnUses{}
		return
	}
	c.uses = c.config.Learn
}

// learnUse is one use by name.
type learnUse struct {
	name string
	used *bool
}

func (u *LearnUses) byName() []learnUse {
	return []learnUse{
		{"order", &u.Order}, {"place", &u.Place}, {"reserve", &u.Reserve}, {"admit", &u.Admit}, {"straggler", &u.Straggler},
	}
}

// ParseLearnUses reads a comma-separated list of uses; an empty one is for none.
func ParseLearnUses(list string) (LearnUses, error) {
	var uses LearnUses
	known := uses.byName()
	if strings.TrimSpace(list) == "" {
		return uses, nil
	}
next:
	for name := range strings.SplitSeq(list, ",") {
		for _, use := range known {
			if use.name == strings.TrimSpace(name) {
				*use.used = true
				continue next
			}
		}
		return LearnUses{}, errors.Errorf("%q is not a use of learned run times: want some of order, place, reserve, admit, straggler", name)
	}
	return uses, nil
}

// String is the list that ParseLearnUses reads.
func (u LearnUses) String() string {
	var names []string
	for _, use := range u.byName() {
		if *use.used {
			names = append(names, use.name)
		}
	}
	return strings.Join(names, ",")
}
