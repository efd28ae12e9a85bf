package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
	"cairnbay/internal/bench/frame"
	"cairnbay/internal/process/member"
	"cairnbay/internal/process/meter"
	"cairnbay/internal/process/timer"
)

// membersWindow is how long heartbeats are counted, where the setup names no
// duration; membersSettle is left out before, for first contacts.
const (
	membersWindow = 6 * time.Second
	membersSettle = 3 * time.Second
)

// peer is one member with its server.
type peer struct {
	cairnbayv1connect.UnimplementedMemberServiceHandler
	member   *member.Member
	listener net.Listener
	server   *http.Server
	metered  *meter.Meter
}

// Beat implements the member service.
func (p *peer) Beat(
	ctx context.Context, request *connect.Request[cairnbayv1.BeatRequest],
) (*connect.Response[cairnbayv1.BeatResponse], error) {
	answer, err := p.member.HandleBeat(ctx, request.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

// measureMembers runs members of six data centres in this process over
// loopback, with heartbeats that carry shards, demands and grants.
func measureMembers(ctx context.Context, setup frame.Setup, count int) ([]frame.Figure, error) {
	service := timer.New()
	defer service.Close()
	peers, err := openPeers(service, count)
	if err != nil {
		return nil, err
	}
	defer closePeers(peers)
	instances := make([]cairnbay.Instance, 0, count)
	for i, each := range peers {
		instances = append(instances, cairnbay.Instance{
			ID: memberID(i), Kind: cairnbay.InstanceEntry, DataCentre: dataCentre(i), Address: each.listener.Addr().String(),
		})
	}
	for i, each := range peers {
		each.start(service, instances[i], instances)
	}
	window := membersWindow
	if setup.Duration > 0 {
		window = setup.Duration
	}
	if !pause(ctx, min(membersSettle, window)) {
		return nil, ctx.Err()
	}
	for _, each := range peers {
		each.metered.Samples()
	}
	processor, started := processorSeconds(), time.Now()
	if !pause(ctx, window) {
		return nil, ctx.Err()
	}
	seconds := time.Since(started).Seconds()
	return memberFigures(peers, seconds, processorSeconds()-processor)
}

func memberFigures(peers []*peer, seconds, processor float64) ([]frame.Figure, error) {
	var total, most float64
	for _, each := range peers {
		wire, err := wireBytes(each.metered, meter.PurposeMembers, seconds)
		if err != nil {
			return nil, err
		}
		total += wire / seconds
		most = max(most, wire/seconds)
	}
	count := float64(len(peers))
	return []frame.Figure{
		{Name: "wire_mean", Unit: "bytes/s", Value: total / count},
		{Name: "wire_most", Unit: "bytes/s", Value: most},
		{Name: "processor", Unit: "ms/s", Value: processor * 1e3 / seconds / count},
		{Name: "known", Unit: "members", Value: float64(len(peers[0].member.Live()))},
	}, nil
}

func memberID(i int) string { return fmt.Sprintf("entry-%02d", i) }

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%letterDataCentres) }

func pause(ctx context.Context, span time.Duration) bool {
	wait := time.NewTimer(span)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
		return true
	}
}

func openPeers(service *timer.Service, count int) ([]*peer, error) {
	var peers []*peer
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			closePeers(peers)
			return nil, err
		}
		metered := meter.New(meter.Config{Clock: service})
		peers = append(peers, &peer{listener: metered.Listener(meter.PurposeMembers, listener), metered: metered})
	}
	return peers, nil
}

func closePeers(peers []*peer) {
	for _, each := range peers {
		if each.member != nil {
			each.member.Close()
		}
	}
	for _, each := range peers {
		if each.server != nil {
			_ = each.server.Close() // the run is over
			continue
		}
		_ = each.listener.Close()
	}
}

func (p *peer) start(service *timer.Service, self cairnbay.Instance, instances []cairnbay.Instance) {
	dialer := member.NewDialer(member.DialerConfig{DialContext: p.metered.Dial(meter.PurposeMembers, nil)})
	p.member = member.New(member.Config{
		ID: self.ID, DataCentre: self.DataCentre, Address: self.Address, CallerAddress: self.Address,
		StartedUnixMS: 1, Clock: service,
		Instances:       func() []cairnbay.Instance { return instances },
		Delegates:       []cairnbay.HeartbeatDelegate{loadedBeater{}},
		SettingsVersion: func() (uint64, string) { return 7, "0123456789abcdef0123456789abcdef" },
		Dial:            dialer.Dial,
	})
	mux := http.NewServeMux()
	mux.Handle(cairnbayv1connect.NewMemberServiceHandler(p))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	p.server = &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(p.listener) }() // ends with Close
}

// loadedBeater fills heartbeats as a member of letter 1's size does: two shards
// held, and slots of the upstreams of its data centre.
type loadedBeater struct{}

const (
	beatShards  = 2
	beatDemands = 16
	beatGrants  = 3
)

// FillHeartbeat implements cairnbay.HeartbeatDelegate.
func (loadedBeater) FillHeartbeat(_ cairnbay.Member, beat *cairnbayv1.Heartbeat) {
	for i := range beatShards {
		shard := fmt.Sprintf("tallinn-a/quoting/%d", i)
		beat.Shards = append(beat.Shards, &cairnbayv1.ShardHeld{
			Shard: shard, Generation: 9, JournalSequence: 123_456,
			FreeMilliCpu: 321_000, FreeMemoryMb: 1_234_000, FreeAccelerators: 12,
		})
		beat.Journals = append(beat.Journals, &cairnbayv1.JournalTip{Shard: shard, Sequence: 123_456})
	}
	for i := range beatDemands {
		beat.SlotDemands = append(beat.SlotDemands, &cairnbayv1.SlotDemand{
			Upstream: fmt.Sprintf("quoting-runner-%02d", i), Wanted: 5, Used: 3,
		})
	}
	for i := range beatGrants {
		beat.SlotGrants = append(beat.SlotGrants, &cairnbayv1.SlotGrant{
			Upstream: fmt.Sprintf("quoting-runner-%02d", i), Slots: 4, Connections: 8, LeaseMs: 3000, Sequence: 77,
		})
	}
}

// HandleHeartbeat implements cairnbay.HeartbeatDelegate.
func (loadedBeater) HandleHeartbeat(cairnbay.Member, *cairnbayv1.Heartbeat) {}
