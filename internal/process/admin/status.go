package admin

import (
	"cairnbay"
)

// Status is one instance's view of members, shards and the platform.
type Status struct {
	Instance        string            `json:"instance"`
	DataCentre      string            `json:"data_centre"`
	Ready           bool              `json:"ready"`
	NotReady        string            `json:"not_ready,omitempty"`
	SettingsVersion uint64            `json:"settings_version"`
	Members         []cairnbay.Member `json:"members"`
	Shards          []ShardStatus     `json:"shards"`
	Store           PlatformStatus    `json:"store"`
	List            PlatformStatus    `json:"list"`
	// Troubles are sentences that say what cannot be served now, and why.
	Troubles []string `json:"troubles"`
}

// PlatformStatus is the health of the store or of the list of instances.
type PlatformStatus struct {
	OK     bool   `json:"ok"`
	Detail string `json:"detail,omitempty"`
}

// ShardStatus is a shard's state as its owner reports it.
type ShardStatus struct {
	Shard       cairnbay.ShardID   `json:"shard"`
	Owner       string             `json:"owner"`
	Epoch       string             `json:"epoch,omitempty"`
	Workers     int                `json:"workers"`
	Unreachable int                `json:"unreachable,omitempty"`
	Quarantined int                `json:"quarantined,omitempty"`
	Waiting     int                `json:"waiting"`
	Running     int                `json:"running"`
	Unaccounted int                `json:"unaccounted,omitempty"`
	Free        cairnbay.Resources `json:"free"`
	Total       cairnbay.Resources `json:"total"`
	// JournalBehind is true while changes wait to be written to the store.
	JournalBehind bool `json:"journal_behind,omitempty"`
}

func (a *Admin) status(c *call) (any, error) {
	if err := c.allow(VerbRead, ""); err != nil {
		return nil, err
	}
	return a.config.Status(c.request.Context()), nil
}
