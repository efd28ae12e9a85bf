package relay

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/sched"
)

// AdvicePool distributes calls to the policy service over the instances, since
// the service processes only one call per instance at a time.
type AdvicePool struct {
	relay *Relay
	// self is this instance's name; peers returns the addresses of the live
	// instances by name.
	self  string
	peers func() map[string]string

	mu sync.Mutex
	// freeAt is the time from which this pool expects an instance to be free, by
	// name: the estimated end of the pool's calls from the instance, or the end of
	// its failureBackoff.
	freeAt map[string]time.Time
}

const (
	// failureBackoff is how long calls avoid an instance whose call failed.
	failureBackoff = 3 * time.Second
	// shortShare is the fraction of the instances reserved for short calls, which
	// are expected to take sched.MaxShortAdvice at most. In a burst of interactive
	// jobs, short calls take as much of the policy service's time as all long calls.
	shortShare = 0.4
	// minSplitInstances is the number of instances below which every instance serves
	// both short and long calls.
	minSplitInstances = 3
)

// NewAdvicePool returns a pool that calls other instances through a relay. The
// peers, with their addresses by name, include this instance, self.
func NewAdvicePool(relay *Relay, self string, peers func() map[string]string) *AdvicePool {
	return &AdvicePool{relay: relay, self: self, peers: peers, freeAt: make(map[string]time.Time)}
}

// Position is the place of a shard among all shards. Owners cannot see each other's
// calls, so each starts its choice of instances at a place of its own.
type Position struct {
	Index, Shards int
}

// order arranges the names of the instances for a shard: those with an odd index go
// through them backwards, and each pair starts at another place.
func (p Position) order(names []string) []string {
	if len(names) == 0 {
		return names
	}
	pairs := max((p.Shards+1)/2, 1)
	start := p.Index / 2 * len(names) / pairs % len(names)
	if p.Index%2 == 1 {
		slices.Reverse(names)
	}
	return slices.Concat(names[start:], names[:start])
}

// Advise calls the policy service from the instance that is free first. Of several
// free instances it takes the first in the order of the shard's position. Errors:
// cairnbay.ErrUnavailable for every failure, the end of ctx included.
func (p *AdvicePool) Advise(ctx context.Context, action *sched.AdviseAction, position Position) ([]cairnbay.Ticket, error) {
	name, address := p.reserve(action.ExpectedDuration, position)
	tickets, err := p.call(ctx, name, address, action)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		// The service does not abort the calls of this pool that may still wait there.
		if until := time.Now().Add(failureBackoff); until.After(p.freeAt[name]) {
			p.freeAt[name] = until
		}
		return nil, errors.Annotatef(cairnbay.ErrUnavailable, "through %s: %v", name, err)
	}
	return tickets, nil
}

// reserve selects the instance that is free first and adds the duration of the
// call to its expected end.
func (p *AdvicePool) reserve(duration time.Duration, position Position) (name, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	peers := p.peers()
	names := position.order(instancesFor(peers, duration <= sched.MaxShortAdvice))
	var earliest time.Time
	for _, peer := range names {
		freeAt := p.freeAt[peer]
		if freeAt.Before(now) {
			freeAt = now
		}
		if name == "" || freeAt.Before(earliest) {
			name, earliest = peer, freeAt
		}
	}
	if name == "" {
		name, earliest = p.self, now
	}
	p.freeAt[name] = earliest.Add(duration)
	return name, peers[name]
}

// Limits returns the numbers of instances that serve short and long calls of a shard.
// Two owners each count on all of them, more owners share what two count on.
func (p *AdvicePool) Limits(position Position) (short, long int) {
	peers := p.peers()
	pairs := max((position.Shards+1)/2, 1)
	return max(len(instancesFor(peers, true))/pairs, 1), max(len(instancesFor(peers, false))/pairs, 1)
}

// instancesFor returns the names of the instances that serve short or long calls,
// in the same order on every instance.
func instancesFor(peers map[string]string, short bool) []string {
	names := slices.Collect(maps.Keys(peers))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
	})
	shortCount := int(math.Round(shortShare * float64(len(names))))
	switch {
	case len(names) < minSplitInstances:
		return names
	case short:
		return names[:shortCount]
	default:
		return names[shortCount:]
	}
}

// call makes a call to the policy service from the named instance: through the
// relay if that is another instance with an address, otherwise directly.
func (p *AdvicePool) call(ctx context.Context, name, address string, action *sched.AdviseAction) ([]cairnbay.Ticket, error) {
	if name == p.self || address == "" {
		if p.relay.config.Advisor == nil {
			return nil, errors.New("policy service not configured")
		}
		return p.relay.config.Advisor.Advise(ctx, action.Step.Job, action.Step.Occurrence, action.Step.Step, action.Workers)
	}
	response, err := p.relay.Client(address).Advise(ctx, connect.NewRequest(&cairnbayv1.AdviseRequest{
		Job: action.Step.Job, Occurrence: int32(action.Step.Occurrence), Step: int32(action.Step.Step),
		Workers: action.Workers,
	}))
	if err != nil {
		return nil, err
	}
	workers, texts := response.Msg.GetWorkers(), response.Msg.GetTickets()
	if len(workers) != len(texts) {
		return nil, errors.Errorf("%d workers with %d tickets", len(workers), len(texts))
	}
	tickets := make([]cairnbay.Ticket, 0, len(workers))
	for i, worker := range workers {
		tickets = append(tickets, cairnbay.Ticket{Worker: worker, Ticket: texts[i]})
	}
	return tickets, nil
}
