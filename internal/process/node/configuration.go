package node

import (
	"context"

	"cairnbay"
	"cairnbay/internal/process/mirror"
	"cairnbay/internal/process/pull"
	"cairnbay/internal/process/timer"
)

// sharedRouting is the version in force as other instances get it.
type sharedRouting struct {
	version uint64
	// value is the configuration with the digests of the API keys in place of the keys.
	value []byte
}

// startConfiguration follows the operators' configuration in the store and at other
// instances. The store is called directly: a detour over another instance would carry
// API keys in clear between instances, and the pulls reach the same instances.
func (n *Node) startConfiguration() {
	n.puller = pull.New(pull.Config{
		Current: n.currentRouting, Adopt: n.adoptPulled, Peers: n.otherAddresses, Client: n.relay.Client,
		BootTime: timer.Boot, Log: n.config.Log, Metrics: n.config.Metrics,
	})
	n.mirror = mirror.New(mirror.Config{
		Store: n.puller.Observe(n.directStore, n.config.WatchHold), Prefix: n.config.Platform.RoutingPrefix,
		Log: n.config.Log, StallTimeout: n.config.WatchStallTimeout, OnChange: n.applyRouting,
	})
	n.puller.Start()
}

// currentRouting returns the version in force, 0 for none, and its value for other
// instances.
func (n *Node) currentRouting() (version uint64, value []byte) {
	if shared := n.shared.Load(); shared != nil {
		return shared.version, shared.value
	}
	return 0, nil
}

// adoptPulled adopts the value of another instance as if the store had reported it.
func (n *Node) adoptPulled(value []byte) {
	n.applyRouting([]cairnbay.Event{{
		Kind: cairnbay.EventPut, Entry: cairnbay.Entry{Key: n.config.Platform.RoutingKey, Value: value},
	}})
}

// awaitFresh waits a moment for a newer version if callers need keys and the version in
// force may be out of date.
func (n *Node) awaitFresh(ctx context.Context) {
	if routing := n.routing.Load(); routing != nil && routing.KeysRequired {
		n.puller.AwaitFresh(ctx)
	}
}

// outOfDate reports whether the keys of the version in force may be out of date while
// those of other instances are not.
func (n *Node) outOfDate() bool {
	routing := n.routing.Load()
	return routing != nil && routing.KeysRequired && n.puller.OutOfDate()
}

// keyCount is the number of keys of a configuration.
func keyCount(routing *cairnbay.Routing) (count int) {
	for i := range routing.Workspaces {
		count += len(routing.Workspaces[i].Keys)
	}
	return count
}
