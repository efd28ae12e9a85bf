package node

import (
	"context"
	"slices"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/allot"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

// newQuotas returns what divides the quotas for a shard that this instance has claimed.
func (n *Node) newQuotas(claim tenure.Claim) *allot.Owner {
	return allot.New(allot.Config{
		Claim: claim, Store: n.config.Platform.Store, Workspaces: n.workspaces(), Shards: n.shards, Address: n.ownerAddress,
		Client: n.relay.Client, Clock: n.config.Clock, BootTime: timer.Boot, Log: n.config.Log, Metrics: n.config.Metrics,
		WatchStallTimeout: n.config.WatchStallTimeout,
	})
}

// workspaces returns the workspaces of the configuration in force.
func (n *Node) workspaces() []cairnbay.Workspace {
	if routing := n.routing.Load(); routing != nil {
		return routing.Workspaces
	}
	return nil
}

// adoptWorkspaces passes the workspaces of the configuration in force to the owned shards.
func (n *Node) adoptWorkspaces() {
	n.passing.Lock()
	defer n.passing.Unlock()
	workspaces := n.workspaces()
	if len(workspaces) == 0 {
		return
	}
	n.mu.Lock()
	shards := make([]*ownedShard, 0, len(n.ownedShards))
	for _, owned := range n.ownedShards {
		shards = append(shards, owned)
	}
	n.mu.Unlock()
	for _, owned := range shards {
		owned.quotas.SetWorkspaces(workspaces)
	}
}

// shards returns the names of the shards of all layouts, sorted.
func (n *Node) shards() (names []string) {
	if published := n.publishedTenure.Load(); published != nil {
		for _, divided := range published.Layouts() {
			names = append(names, divided.Names()...)
		}
	}
	slices.Sort(names)
	return names
}

// ownerAddress returns the address of the instance that owns a shard, empty if none does.
func (n *Node) ownerAddress(shard string) string {
	if published := n.publishedTenure.Load(); published != nil {
		if owner, ok := published.Owner(shard); ok {
			return owner.Address
		}
	}
	return ""
}

// giveQuota serves requests for parts of quotas from a shard that this instance owns.
func (n *Node) giveQuota(ctx context.Context, request *cairnbayv1.RequestQuotaRequest) *cairnbayv1.RequestQuotaResponse {
	n.mu.Lock()
	owned := n.ownedShards[request.GetShard()]
	n.mu.Unlock()
	if owned == nil {
		return &cairnbayv1.RequestQuotaResponse{}
	}
	return owned.quotas.Give(ctx, request)
}
