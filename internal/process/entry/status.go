package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/admin"
	"cairnbay/internal/process/owner"
)

// status returns the state of this instance and its view of the members, the
// shards, the store and the platform's list.
func (e *Entry) status(ctx context.Context) admin.Status {
	version, _ := e.follower.Version()
	status := admin.Status{
		Instance:        e.config.Settings.Instance,
		DataCentre:      e.config.Settings.DataCentre,
		Ready:           true,
		SettingsVersion: version,
		Members:         e.member.Live(),
		Store:           e.storeStatus(),
		List:            e.listStatus(),
	}
	if err := e.ready(); err != nil {
		status.Ready = false
		status.NotReady = err.Error()
	}
	status.Shards = e.allShards(ctx, status.Members)
	status.Troubles = troubles(status)
	return status
}

// queryShards is the QueryRequest.What that queries the shards that a member
// owns.
const queryShards = "shards"

// shardQueryTimeout bounds the queries for the shards of all members.
const shardQueryTimeout = 500 * time.Millisecond

// allShards lists the shards of all members, sorted by name, without those of
// members whose query fails.
func (e *Entry) allShards(ctx context.Context, members []cairnbay.Member) []admin.ShardStatus {
	ctx, cancel := context.WithTimeout(ctx, shardQueryTimeout)
	defer cancel()
	answers := make([][]owner.ShardStatus, len(members))
	var group errgroup.Group
	for i, member := range members {
		group.Go(func() error {
			answers[i] = e.memberShards(ctx, member.ID)
			return nil
		})
	}
	_ = group.Wait()
	var all []admin.ShardStatus
	for _, shards := range answers {
		for _, shard := range shards {
			all = append(all, toAdminShard(shard))
		}
	}
	slices.SortFunc(all, func(a, b admin.ShardStatus) int { return cmp.Compare(a.Shard, b.Shard) })
	return all
}

// memberShards returns the shards that a member owns, or nil if the query fails.
func (e *Entry) memberShards(ctx context.Context, id string) []owner.ShardStatus {
	if id == e.config.Settings.Instance {
		return e.owner.Shards()
	}
	peer, ok := e.member.Peer(id)
	if !ok {
		return nil
	}
	answer, err := peer.Query(ctx, connect.NewRequest(&cairnbayv1.QueryRequest{What: queryShards}))
	if err != nil {
		return nil
	}
	var shards []owner.ShardStatus
	if json.Unmarshal(answer.Msg.GetAnswer(), &shards) != nil {
		return nil
	}
	return shards
}

func (e *Entry) storeStatus() admin.PlatformStatus {
	health := e.budget.Health()
	if health.Reachable {
		return admin.PlatformStatus{OK: true}
	}
	return admin.PlatformStatus{Detail: fmt.Sprintf("failing for %s: %s", health.FailingFor.Round(time.Second), health.LastError)}
}

// listStatus describes the health of the platform's list. Before the first
// successful read the age counts from the zero of the clock.
func (e *Entry) listStatus() admin.PlatformStatus {
	ok, lastRead := e.roster.Health()
	if ok {
		return admin.PlatformStatus{OK: true}
	}
	return admin.PlatformStatus{Detail: fmt.Sprintf("last read %s ago", (e.config.Clock.Now() - lastRead).Round(time.Second))}
}

func toAdminShard(shard owner.ShardStatus) admin.ShardStatus {
	return admin.ShardStatus{
		Shard: shard.Shard, Owner: shard.Member, Epoch: shard.Epoch,
		Workers: shard.Workers, Unreachable: shard.Unreachable,
		Waiting: shard.Waiting, Quarantined: shard.Quarantined,
		Running: shard.Running, Unaccounted: shard.Unaccounted,
		Free: shard.Free, Total: shard.Total, JournalBehind: shard.StoreDown,
	}
}

// troubles returns one message for each current fault.
func troubles(status admin.Status) []string {
	found := []string{}
	if !status.Ready {
		found = append(found, "this instance is not ready: "+status.NotReady)
	}
	if !status.Store.OK {
		found = append(found, "the store cannot be reached ("+status.Store.Detail+"): no job is accepted and no setting can change; accepted jobs continue to run")
	}
	if !status.List.OK {
		found = append(found, "the platform's list cannot be read ("+status.List.Detail+"): new and leaving instances are not detected")
	}
	for _, member := range status.Members {
		found = append(found, memberTroubles(status, member)...)
	}
	for _, shard := range status.Shards {
		if shard.Quarantined > 0 {
			found = append(found, fmt.Sprintf("shard %s: %d of %d workers are in quarantine or on probation",
				shard.Shard, shard.Quarantined, shard.Workers))
		}
		if shard.Unreachable > 0 {
			found = append(found, fmt.Sprintf("shard %s: %d of %d workers cannot be reached, %d tasks unaccounted for",
				shard.Shard, shard.Unreachable, shard.Workers, shard.Unaccounted))
		}
	}
	return found
}

// memberTroubles returns messages about a member whose heartbeats are missing or
// whose settings version is older than this instance's.
func memberTroubles(status admin.Status, member cairnbay.Member) []string {
	var found []string
	if member.Suspect {
		found = append(found, fmt.Sprintf("no recent heartbeat from member %s in %s", member.ID, member.DataCentre))
	}
	if member.SettingsVersion < status.SettingsVersion {
		found = append(found, fmt.Sprintf("member %s has settings version %d, this instance has %d", member.ID, member.SettingsVersion, status.SettingsVersion))
	}
	return found
}
