package node

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/tenure"
)

const (
	// reachTimeout bounds one check of the store and of other instances. They
	// answer in milliseconds.
	reachTimeout = 300 * time.Millisecond
	// reachPeriod is how often the check is repeated while calls fail.
	reachPeriod = 200 * time.Millisecond
	// maxReachedInstances bounds the instances that one check calls.
	maxReachedInstances = 4
)

// isolation tells whether the instance is cut off from the store and from every
// other data centre. An outage of the store alone does not count: the instance
// can still show and cancel jobs then, and no other instance could do more.
type isolation struct {
	cutOff   atomic.Bool
	checking atomic.Bool
}

// checkIsolation starts a check if calls to owners or to the store have failed of
// late, or the instance was cut off at the last check.
func (n *Node) checkIsolation() {
	suspected := n.isolation.cutOff.Load() || n.gate.FailingFor() > 0 || n.gate.StoreStalled() || n.tenure.StoreFailing()
	if !suspected || !n.isolation.checking.CompareAndSwap(false, true) {
		return
	}
	n.background.Go(func() {
		defer n.isolation.checking.Store(false)
		cutOff := !n.reachesOthers()
		if n.isolation.cutOff.Swap(cutOff) != cutOff {
			n.config.Log.WithField("cut_off", cutOff).Warn("reach of the store and of other data centres changed")
		}
	})
}

// reachesOthers reports whether the store or an instance in another data centre
// answers. It is true if no such instance is known.
func (n *Node) reachesOthers() bool {
	addresses := remoteAddresses(n.tenure.Nodes(), n.config.DataCentre)
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

// remoteAddresses returns the addresses of some instances outside the data centre,
// one of each other data centre first.
func remoteAddresses(nodes []tenure.Node, dataCentre string) []string {
	var first, others []string
	seen := make(map[string]bool)
	for _, node := range nodes {
		switch {
		case node.DataCentre == dataCentre:
		case seen[node.DataCentre]:
			others = append(others, node.Address)
		default:
			seen[node.DataCentre] = true
			first = append(first, node.Address)
		}
	}
	first = append(first, others...)
	return first[:min(len(first), maxReachedInstances)]
}
