package cairnbay

import (
	"time"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// Member is the state of an entry instance as known to another one.
type Member struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Address is the IP:port for calls from other members.
	Address string `json:"address"`
	// CallerAddress is the address for callers and forwarded requests.
	CallerAddress string `json:"caller_address"`
	// StartedUnixMS is the start time of the process, in milliseconds. It
	// distinguishes a restarted member from its predecessor with the same ID.
	StartedUnixMS int64 `json:"started_unix_ms"`
	// SettingsVersion is the settings version in force on the member.
	SettingsVersion uint64 `json:"settings_version"`
	// Leaving means that the member is handing over its shards and takes no new
	// work.
	Leaving bool `json:"leaving,omitempty"`
	// Suspect means that heartbeats are missing, but not for long enough to
	// consider the member gone.
	Suspect bool `json:"suspect,omitempty"`
	// Heard is the time of the last heartbeat received, on the receiver's clock.
	Heard time.Duration `json:"heard"`
}

// Members reports which entry instances are live.
type Members interface {
	// Self returns this instance.
	Self() Member
	// Live returns the live members, including this instance, ordered by ID.
	Live() []Member
	// Trusted reports whether the state in this instance's memory is current. It
	// is false after a pause of the process until heartbeats have arrived from
	// enough members or a timeout has passed.
	Trusted() bool
	// OnChange registers a callback for possible changes of Live.
	OnChange(changed func())
}

// HeartbeatDelegate is a component that exchanges state with other members by
// heartbeats.
type HeartbeatDelegate interface {
	// FillHeartbeat adds the component's state to an outgoing heartbeat for a peer.
	FillHeartbeat(peer Member, beat *cairnbayv1.Heartbeat)
	// HandleHeartbeat processes the state that a peer sent.
	HandleHeartbeat(peer Member, beat *cairnbayv1.Heartbeat)
}
