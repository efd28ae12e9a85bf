package member

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
)

// Config configures a Member.
type Config struct {
	ID         string
	DataCentre string
	// Address is where members reach this one, and CallerAddress where callers
	// do; host:port by IP.
	Address       string
	CallerAddress string
	// StartedUnixMS is when this process started. It distinguishes two lives of an
	// ID, that is, runs of a process under it; the later life is valid.
	StartedUnixMS int64
	Clock         cairnbay.Clock
	// Instances returns the platform's list as last read; rows other than entry
	// instances are ignored. It must not call the Member. Nil means an empty list.
	Instances func() []cairnbay.Instance
	// Delegates are the components whose state is carried on heartbeats.
	Delegates []cairnbay.HeartbeatDelegate
	// SettingsVersion returns the version of the settings in force here and the
	// digest of their content. Nil means version 0.
	SettingsVersion func() (uint64, string)
	// Dial returns a client for an address. It is called again after failures
	// and must then not reuse an unresponsive connection. Nil uses a Dialer
	// without TLS.
	Dial func(address string) cairnbayv1connect.MemberServiceClient
	// Timing holds the periods; the zero value means DefaultTiming.
	Timing Timing
	// Log is the logger; nil discards.
	Log logrus.FieldLogger
	// Metrics is the set to register in; nil uses a private one.
	Metrics *metrics.Set
}

// Timing holds the periods of heartbeats.
type Timing struct {
	// Period is the time between two heartbeats of a pair. It grows in proportion
	// in data centres with more than MaxPeersAtPeriod peers, so that the traffic
	// of one member stays bounded.
	Period           time.Duration
	MaxPeersAtPeriod int
	// SuspectAfter and GoneAfter count periods without a heartbeat, after which a
	// member is suspect or gone.
	SuspectAfter int
	GoneAfter    int
	// RemoteRefresh is the period at which unchanged digests are sent between and
	// about data centres. Members of other data centres are suspect after
	// RemoteSuspectAfter and gone after RemoteGoneAfter.
	RemoteRefresh      time.Duration
	RemoteSuspectAfter time.Duration
	RemoteGoneAfter    time.Duration
}

// DefaultTiming returns the default periods.
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
