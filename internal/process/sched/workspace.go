package sched

import (
	"time"

	"cairnbay"
	"cairnbay/internal/process/quota"
)

// WorkspaceTerms are the settings of a workspace in the configuration in force.
type WorkspaceTerms struct {
	Name string
	// Weight is the relative share, and the jobs a second that are not surplus.
	Weight float64
	// Quota limits the workspace over all shards, Part in this one; a dimension that
	// is 0 in Quota has no limit.
	Quota, Part cairnbay.Resources
}

// workspace is the state of a workspace in this shard.
type workspace struct {
	terms WorkspaceTerms
	// account holds what the attached attempts of its jobs reserve.
	account *quota.Account
	// configured is set once a configuration had the workspace, seenAt is when its first
	// job was accepted.
	configured bool
	seenAt     time.Duration
	// unknown bounds what may run of its inherited jobs on workers that have not answered.
	unknown cairnbay.Resources
	// withheld is the room in the part for replacements of long-running tasks, heldFor the
	// gang for which the others are held back, both in the current plan.
	withheld cairnbay.Resources
	heldFor  *stage
	// heldSince is since when its part has held back work that fits, 0 while it does not.
	heldSince time.Duration
}

// SetWorkspaces replaces the terms of the workspaces. A workspace that is no longer
// in the configuration keeps its last terms, since its accepted jobs run on.
func (c *Core) SetWorkspaces(terms []WorkspaceTerms) {
	for _, term := range terms {
		known := c.workspace(term.Name)
		if known.configured && known.terms == term {
			continue
		}
		known.terms, known.configured = term, true
		c.setWeight(term)
		c.changeCount++
	}
	c.termsKnown = true
}

// workspace returns the workspace with a name, without terms if it is not known; nil
// for the empty name.
func (c *Core) workspace(name string) *workspace {
	if name == "" {
		return nil
	}
	known := c.workspaces[name]
	if known == nil {
		known = &workspace{terms: WorkspaceTerms{Name: name}, account: c.ledger.Account(name)}
		c.workspaces[name] = known
	}
	return known
}

// charge changes what the workspace of a job has in use; a negative size releases it.
func (j *job) charge(size cairnbay.Resources) {
	if j.workspace != nil {
		j.workspace.account.Charge(size)
	}
	j.group.charge(size)
}
