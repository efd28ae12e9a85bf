package cairnbay

import (
	"time"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// Member is one entry instance as seen by another.
type Member struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Address is where members call it, host:port by IP.
	Address string `json:"address"`
	// CallerAddress is where callers and forwarded requests reach it.
	CallerAddress string `json:"caller_address"`
	// StartedUnixMS tells two lives of one ID apart.
	StartedUnixMS int64 `json:"started_unix_ms"`
	// SettingsVersion is the version in force there.
	SettingsVersion uint64 `json:"settings_version"`
	// Leaving says that it hands over and takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Suspect says that heartbeats are missing, not yet long enough to be gone.
	Suspect bool `json:"suspect,omitempty"`
	// Heard is when its last heartbeat came, on the observer's clock.
	Heard time.Duration `json:"heard"`
}

// Members shows which entry instances are live.
type Members interface {
	// Self is this instance.
	Self() Member
	// Live lists the members that are not gone, itself included, ordered by ID.
	Live() []Member
	// Trusted says whether what this instance holds may be used: false after a
	// pause of its own until it has checked again.
	Trusted() bool
	// OnChange calls changed whenever Live may differ.
	OnChange(changed func())
}

// HeartbeatDelegate is a part that sends and hears state on heartbeats.
type HeartbeatDelegate interface {
	// FillHeartbeat adds the part's state to an outgoing heartbeat for a peer.
	FillHeartbeat(peer Member, beat *cairnbayv1.Heartbeat)
	// HandleHeartbeat takes a peer's state.
	HandleHeartbeat(peer Member, beat *cairnbayv1.Heartbeat)
}
