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

// AdvicePool spreads calls to the policy service, which serves one call of each
// instance at a time, over the instances.
type AdvicePool struct {
	relay *Relay
	// self is this instance's name; peers lists the live ones with their
	// addresses.
	self  string
	peers func() map[string]string

	mu   sync.Mutex
	free map[string]time.Time
}

const (
	// failedLane keeps calls off an instance whose call failed.
	failedLane = 3 * time.Second
	// shortShare is the part of the instances whose lanes are kept for short
	// calls. In a burst of interactive jobs these take as much of the policy
	// service's time as all long ones do.
	shortShare = 0.4
	// leastSplit is the number of instances below which all share all lanes.
	leastSplit = 3
)

// NewAdvicePool returns a pool over this relay.
func NewAdvicePool(relay *Relay, self string, peers func() map[string]string) *AdvicePool {
	return &AdvicePool{relay: relay, self: self, peers: peers, free: make(map[string]time.Time)}
}

// Advise asks on the instance whose calls end first; of several that are free,
// the first of the list, or with backwards the last. Owners that take them from
// both ends seldom meet. Errors: ErrUnavailable.
func (l *AdvicePool) Advise(ctx context.Context, action *sched.AdviseAction, backwards bool) ([]cairnbay.Ticket, error) {
	name, address := l.choose(action.ExpectedDuration, backwards)
	tickets, err := l.call(ctx, name, address, action)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.free[name] = time.Now().Add(failedLane)
		return nil, errors.Annotatef(cairnbay.ErrUnavailable, "over %s: %v", name, err)
	}
	return tickets, nil
}

// choose takes the lane that is free first and books the call on it.
func (l *AdvicePool) choose(takes time.Duration, backwards bool) (name, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	peers := l.peers()
	names := lanesFor(peers, takes <= sched.MaxShortAdvice)
	if backwards {
		slices.Reverse(names)
	}
	var best time.Time
	for _, peer := range names {
		free := l.free[peer]
		if free.Before(now) {
			free = now
		}
		if name == "" || free.Before(best) {
			name, best = peer, free
		}
	}
	if name == "" {
		name, best = l.self, now
	}
	l.free[name] = best.Add(takes)
	return name, peers[name]
}

// Limits is how many lanes there are for short calls and for long ones.
func (l *AdvicePool) Limits() (short, long int) {
	peers := l.peers()
	return len(lanesFor(peers, true)), len(lanesFor(peers, false))
}

// lanesFor lists the instances that take short calls, or the others, in an
// order that every instance agrees on.
func lanesFor(peers map[string]string, short bool) []string {
	names := slices.Collect(maps.Keys(peers))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
	})
	kept := int(math.Round(shortShare * float64(len(names))))
	switch {
	case len(names) < leastSplit:
		return names
	case short:
		return names[:kept]
	default:
		return names[kept:]
	}
}

func (l *AdvicePool) call(ctx context.Context, name, address string, action *sched.AdviseAction) ([]cairnbay.Ticket, error) {
	if name == l.self || address == "" {
		if l.relay.config.Advisor == nil {
			return nil, errors.New("no policy service")
		}
		return l.relay.config.Advisor.Advise(ctx, action.Step.Job, action.Step.Occurrence, action.Step.Step, action.Workers)
	}
	answer, err := l.relay.Client(address).Advise(ctx, connect.NewRequest(&cairnbayv1.AdviseRequest{
		Job: action.Step.Job, Occurrence: int32(action.Step.Occurrence), Step: int32(action.Step.Step),
		Workers: action.Workers,
	}))
	if err != nil {
		return nil, err
	}
	tickets := make([]cairnbay.Ticket, 0, len(answer.Msg.GetWorkers()))
	for i, worker := range answer.Msg.GetWorkers() {
		if i < len(answer.Msg.GetTickets()) {
			tickets = append(tickets, cairnbay.Ticket{Worker: worker, Ticket: answer.Msg.GetTickets()[i]})
		}
	}
	return tickets, nil
}
