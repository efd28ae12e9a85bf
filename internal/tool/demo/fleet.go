package demo

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/fake/judge"
	"cairnbay/internal/fake/stand"
	"cairnbay/internal/process/config"
	"cairnbay/internal/process/entry"
)

// life is one entry instance with what the demo did to it.
type life struct {
	instance *entry.Entry
	dead     bool
	record   judge.MemberLife
}

// fleet starts, stops, kills and watches entry instances.
type fleet struct {
	clock    cairnbay.Clock
	platform *stand.Stand
	balancer *balancer
	operator *operator
	log      *logrus.Logger

	mu    sync.Mutex
	lives map[string]*life
	stops []judge.Stop
	seen  []judge.Seen
	last  map[string]uint64
}

func newFleet(clock cairnbay.Clock, platform *stand.Stand, balancer *balancer, logs io.Writer) *fleet {
	log := logrus.New()
	log.SetOutput(logs)
	return &fleet{
		clock: clock, platform: platform, balancer: balancer, operator: newOperator(), log: log,
		lives: make(map[string]*life), last: make(map[string]uint64),
	}
}

func (f *fleet) nowMS() int64 {
	return max(f.clock.Now().Milliseconds(), 1)
}

// start runs a new entry instance and puts it on the platform's list.
func (f *fleet) start(ctx context.Context, id, dataCentre string) error {
	settings := config.Defaults()
	settings.Instance = id
	settings.DataCentre = dataCentre
	settings.CallersAddress = "127.0.0.1:0"
	settings.MembersAddress = "127.0.0.1:0"
	settings.OperatorsAddress = "127.0.0.1:0"
	settings.StoreAddress = f.platform.StoreAddress
	settings.ListAddress = f.platform.ListAddress
	instance, err := entry.New(ctx, entry.Config{
		Settings: settings,
		Clock:    f.clock,
		Dial:     f.platform.Links.Dialer(dataCentre),
		Log:      f.log.WithFields(logrus.Fields{"instance": id, "data_centre": dataCentre}),
	})
	if err != nil {
		return err
	}
	for _, address := range []string{instance.CallersAddress(), instance.MembersAddress(), instance.OperatorsAddress()} {
		f.platform.Links.Register(address, dataCentre)
	}
	f.list(id, instance, false)
	f.balancer.add(id, instance.CallersAddress(), instance.OperatorsAddress())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lives[id] = &life{
		instance: instance,
		record:   judge.MemberLife{Member: id, Span: judge.Span{FromMS: f.nowMS()}},
	}
	return nil
}

// list puts an instance on the platform's list.
func (f *fleet) list(id string, instance *entry.Entry, leaving bool) {
	f.platform.List.Set(cairnbay.Instance{
		ID: id, Kind: cairnbay.InstanceEntry, DataCentre: instance.DataCentre(), Address: instance.MembersAddress(), Leaving: leaving,
	})
}

// end marks a life as over and returns its instance.
func (f *fleet) end(id string) *entry.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	ended := f.lives[id]
	ended.dead = true
	ended.record.UntilMS = f.nowMS()
	return ended.instance
}

// kill ends an instance at once, as a crash does.
func (f *fleet) kill(id string) {
	f.end(id).Kill()
	f.platform.List.Remove(id)
}

// stop makes a planned stop.
func (f *fleet) stop(ctx context.Context, id string) error {
	stop := judge.Stop{Instance: id, Span: judge.Span{FromMS: f.nowMS()}}
	instance := f.end(id)
	f.list(id, instance, true)
	err := instance.Stop(ctx)
	stop.UntilMS = f.nowMS()
	f.platform.List.Remove(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, stop)
	return err
}

// stopAll makes a planned stop of every instance that is left.
func (f *fleet) stopAll(ctx context.Context) error {
	var stops sync.WaitGroup
	failures := make(chan error, len(f.lives))
	for _, id := range f.liveIDs() {
		stops.Go(func() {
			if err := f.stop(ctx, id); err != nil {
				failures <- fmt.Errorf("stop of %s: %w", id, err)
			}
		})
	}
	stops.Wait()
	close(failures)
	return <-failures
}

func (f *fleet) liveIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, known := range f.lives {
		if !known.dead {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// operators returns the operators' address of a live instance outside a data
// centre.
func (f *fleet) operators(notIn string) string {
	for _, id := range f.liveIDs() {
		f.mu.Lock()
		instance := f.lives[id].instance
		f.mu.Unlock()
		if instance.DataCentre() != notIn {
			return instance.OperatorsAddress()
		}
	}
	return ""
}

// cutOff marks the members of a data centre as unreachable from now on, or as
// reachable again.
func (f *fleet) cutOff(dataCentre string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, known := range f.lives {
		if known.dead || known.instance.DataCentre() != dataCentre {
			continue
		}
		spans := &known.record.CutOff
		if cut {
			*spans = append(*spans, judge.Span{FromMS: f.nowMS()})
			continue
		}
		(*spans)[len(*spans)-1].UntilMS = f.nowMS()
	}
}

// watchPeriod is how often the version in force is read on each instance.
const watchPeriod = 250 * time.Millisecond

// watch reads the version in force on each live instance until ctx ends.
func (f *fleet) watch(ctx context.Context) {
	tick := time.NewTicker(watchPeriod)
	defer tick.Stop()
	for {
		for _, id := range f.liveIDs() {
			f.look(ctx, id)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (f *fleet) look(ctx context.Context, id string) {
	f.mu.Lock()
	address := f.lives[id].instance.OperatorsAddress()
	f.mu.Unlock()
	status, err := f.operator.status(ctx, address)
	if err != nil || status.SettingsVersion == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if status.SettingsVersion == f.last[id] {
		return
	}
	f.last[id] = status.SettingsVersion
	f.seen = append(f.seen, judge.Seen{Member: id, Version: status.SettingsVersion, AtMS: f.nowMS()})
}

// record adds what the fleet saw to the judge's input.
func (f *fleet) record(input *judge.Input) {
	f.mu.Lock()
	defer f.mu.Unlock()
	input.Stops = f.stops
	input.Seen = f.seen
	for _, known := range f.lives {
		input.Members = append(input.Members, known.record)
	}
}
