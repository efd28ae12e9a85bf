package node

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/tenure"
	"cairnbay/internal/process/timer"
)

const (
	// reachTimeout bounds one check of the store and of other instances. They
	// answer in milliseconds.
	reachTimeout = 300 * time.Millisecond
	// reachPeriod is how often the check is repeated while calls fail and nothing
	// answers, reachedPeriod how often after an answer. In an outage of the store
	// all instances check each other, and must not load them.
	reachPeriod   = 200 * time.Millisecond
	reachedPeriod = time.Second
	// maxReachedInstances bounds the instances that one check calls.
	maxReachedInstances = 3
)

// isolation tells whether the instance is cut off from the store and from every
// other data centre. An outage of the store alone does not count: the instance
// can still show and cancel jobs then, and no other instance could do more.
type isolation struct {
	cutOff   atomic.Bool
	checking atomic.Bool
	// reachedAt is the boot time of the last answer to a check, in nanoseconds.
	reachedAt atomic.Int64
}

// checkIsolation starts a check if calls to owners or to the store have failed of
// late, or the instance was cut off at the last check.
func (n *Node) checkIsolation() {
	suspected := n.isolation.cutOff.Load() || n.gate.FailingFor() > 0 || n.gate.StoreStalled() || n.tenure.StoreFailing()
	rested := timer.Boot()-time.Duration(n.isolation.reachedAt.Load()) >= reachedPeriod
	if !suspected || !rested || !n.isolation.checking.CompareAndSwap(false, true) {
		return
	}
	n.background.Go(func() {
		defer n.isolation.checking.Store(false)
		cutOff := !n.reachesOthers()
		if !cutOff {
			n.isolation.reachedAt.Store(int64(timer.Boot()))
		}
		if n.isolation.cutOff.Swap(cutOff) != cutOff {
			n.config.Log.WithField("cut_off", cutOff).Warn("reach of the store and of other data centres changed")
		}
	})
}

// reachesOthers reports whether the store or an instance in another data centre
// answers. It is true if no such instance is known.
func (n *Node) reachesOthers() bool {
	addresses := remoteAddresses(n.tenure.Nodes(), n.config.DataCentre, xxhash.Sum64String(n.config.Instance))
	if len(addresses) == 0 {
		return true
	}
	calls := []func(context.Context) error{func(ctx context.Context) error {
		_, err := n.directStore.Get(ctx, n.config.Platform.RoutingKey)
		return err
	}}
	for _, address := range addresses {
		calls = append(calls, func(ctx context.Context) error {
			// A call for no class has no effect.
			_, err := n.relay.Client(address).Length(ctx, connect.NewRequest(&cairnbayv1.LengthRequest{}))
			return err
		})
	}
	return anySucceeds(calls)
}

// anySucceeds makes calls at the same time and reports whether one of them succeeds
// within reachTimeout.
func anySucceeds(calls []func(context.Context) error) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	results := make(chan error, len(calls))
	for _, call := range calls {
		go func() { results <- call(ctx) }()
	}
	for range calls {
		if err := <-results; err == nil {
			return true
		}
	}
	return false
}

// remoteAddresses returns the address of one instance of each of up to
// maxReachedInstances other data centres. Instances with different seeds spread
// over the instances of a data centre.
func remoteAddresses(nodes []tenure.Node, dataCentre string, seed uint64) []string {
	byDataCentre := make(map[string][]string)
	for _, node := range nodes {
		if node.DataCentre != dataCentre {
			byDataCentre[node.DataCentre] = append(byDataCentre[node.DataCentre], node.Address)
		}
	}
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(byDataCentre)) {
		instances := byDataCentre[name]
		addresses = append(addresses, instances[seed%uint64(len(instances))])
	}
	return addresses[:min(len(addresses), maxReachedInstances)]
}
