package member

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
)

// Config sets up a Member.
type Config struct {
	ID         string
	DataCentre string
	// Address is where members call this one, and CallerAddress where callers
	// do; host:port by IP.
	Address       string
	CallerAddress string
	// StartedUnixMS tells two lives of one ID apart; the later one counts.
	StartedUnixMS int64
	Clock         cairnbay.Clock
	// Instances is the platform's list as last read; rows that are not entry
	// instances are left alone. It must not call the Member.
	Instances func() []cairnbay.Instance
	Beaters   []cairnbay.HeartbeatDelegate
	// SettingsVersion is the version in force here, with its digest.
	SettingsVersion func() (uint64, string)
	// Dial returns a client for an address. It is called again after failures
	// and must then not use a connection that has gone silent. Nil takes a
	// Dialer without TLS.
	Dial func(address string) cairnbayv1connect.MemberServiceClient
	// Timing holds the periods; zero values take the defaults.
	Timing  Timing
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Timing holds the periods of heartbeats.
type Timing struct {
	// Period is the time between two heartbeats of a pair; it is stretched in
	// data centres of more than MaxPeersAtPeriod members, so that the traffic of
	// one member stays bounded.
	Period           time.Duration
	MaxPeersAtPeriod int
	// SuspectAfter and GoneAfter are in periods without a heartbeat.
	SuspectAfter int
	GoneAfter    int
	// RemoteRefresh is how often the digest of another data centre is spread
	// without a change. Members of other data centres are suspect and gone
	// after RemoteSuspectAfter and RemoteGoneAfter.
	RemoteRefresh      time.Duration
	RemoteSuspectAfter time.Duration
	RemoteGoneAfter    time.Duration
}

// DefaultTiming returns the periods that are used where none are set.
func DefaultTiming() Timing {
	return Timing{
		Period: time.Second, MaxPeersAtPeriod: 8, SuspectAfter: 3, GoneAfter: 8,
		RemoteRefresh: 10 * time.Second, RemoteSuspectAfter: 25 * time.Second, RemoteGoneAfter: 45 * time.Second,
	}
}

func withDefaults(config Config) Config {
	if config.Timing == (Timing{}) {
		config.Timing = DefaultTiming()
	}
	if config.Instances == nil {
		config.Instances = func() []cairnbay.Instance { return nil }
	}
	if config.SettingsVersion == nil {
		config.SettingsVersion = func() (uint64, string) { return 0, "" }
	}
	if config.Dial == nil {
		config.Dial = NewDialer(DialerConfig{}).Dial
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		config.Log = silent
	}
	return config
}
