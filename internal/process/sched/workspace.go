package sched

import (
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
}

// SetWorkspaces replaces the terms of the workspaces. A workspace that is no longer
// in the configuration keeps its last terms, since its accepted jobs run on.
func (c *Core) SetWorkspaces(terms []WorkspaceTerms) {
	for _, term := range terms {
		c.workspace(term.Name).terms = term
	}
	c.setWeights(terms)
	c.changeCount++
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
