package member_test

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/mesh"
	"cairnbay/internal/process/member"
)

// FuzzHandleBeat checks that no heartbeat from the network changes a member's entry
// for itself.
func FuzzHandleBeat(f *testing.F) {
	for _, beat := range []*cairnbayv1.Heartbeat{
		{Self: &cairnbayv1.MemberDigest{Id: "a-1", DataCentre: "a", Address: "a-1", StartedUnixMs: 1}},
		{Self: &cairnbayv1.MemberDigest{Id: "a-0", StartedUnixMs: 9}},
		{
			Self:   &cairnbayv1.MemberDigest{Id: "b-0", DataCentre: "b"},
			Digest: []*cairnbayv1.MemberDigest{{Id: "a-0", StartedUnixMs: 9}, {Id: "b-1", AgeMs: 1 << 31}, nil},
		},
	} {
		data, err := proto.Marshal(beat)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var beat cairnbayv1.Heartbeat
		if proto.Unmarshal(data, &beat) != nil {
			return
		}
		fakeClock := clock.New()
		receiver := member.New(member.Config{
			ID: "a-0", DataCentre: "a", Address: "a-0", StartedUnixMS: 5, Clock: fakeClock,
			Dial: mesh.New(fakeClock, 0).Dialer("a-0"),
		})
		defer receiver.Close()
		_, _ = receiver.HandleBeat(context.Background(), &cairnbayv1.BeatRequest{Heartbeat: &beat})
		fakeClock.Advance(2 * time.Second)
		for _, other := range receiver.Live() {
			if other.ID == "a-0" && other.Address != "a-0" {
				t.Fatalf("the member's entry for itself changed to %+v", other)
			}
		}
	})
}
