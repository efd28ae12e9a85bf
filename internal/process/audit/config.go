package audit

import (
	"crypto/ed25519"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"cairnbay"
)

// Sample is one reading of a gauge, such as the packing of a shard.
type Sample struct {
	Name  string
	Unit  string
	Value float64
}

// Config is what an Audit needs.
type Config struct {
	Instance   string
	DataCentre string
	Clock      cairnbay.Clock
	// Store is used for audit records only; see cairnbay.PurposeAudit.
	Store cairnbay.Store
	// Settings reports the versions in force; optional.
	Settings cairnbay.SettingsSource
	// SigningKey signs each record; optional.
	SigningKey ed25519.PrivateKey
	// Samples reads gauges once a WritePeriod; optional. It must not block.
	Samples func() []Sample
	Log     *logrus.Entry
	// Metrics takes the metrics; nil keeps none.
	Metrics *metrics.Set
	// WritePeriod is how often pending records are tried against the store.
	WritePeriod time.Duration
	// WriteTimeout bounds one store call.
	WriteTimeout time.Duration
	// MaxPendingBytes bounds sealed records that wait for the store; beyond it
	// the oldest are dropped and declared as a gap.
	MaxPendingBytes int
	// MaxLabelSets bounds the different labels of one minute; beyond it
	// observations are counted under OtherTeam.
	MaxLabelSets int
	// Keeper says whether this instance folds what instances that are gone have
	// left, folds days and deletes what is beyond Retention; one live instance
	// at a time should. Nil means never.
	Keeper func() bool
	// Retention is how long records are kept.
	Retention time.Duration
	// MaxExceptions bounds the exceptions of one minute.
	MaxExceptions int
}

// OtherTeam takes the observations beyond Config.MaxLabelSets.
const OtherTeam = "other"

// Defaults of a Config.
const (
	defaultWritePeriod     = 5 * time.Second
	defaultWriteTimeout    = 3 * time.Second
	defaultMaxPendingBytes = 8 << 20
	defaultMaxLabelSets    = 2048
	defaultMaxExceptions   = 1000
	defaultRetention       = 400 * 24 * time.Hour
)

// Validate names the first thing that is missing. Errors: ErrInvalid.
func (c Config) Validate() error {
	switch {
	case c.Instance == "":
		return errors.Annotate(cairnbay.ErrInvalid, "audit without an instance ID")
	case c.Clock == nil:
		return errors.Annotate(cairnbay.ErrInvalid, "audit without a clock")
	case c.Store == nil:
		return errors.Annotate(cairnbay.ErrInvalid, "audit without a store")
	case c.SigningKey != nil && len(c.SigningKey) != ed25519.PrivateKeySize:
		return errors.Annotatef(cairnbay.ErrInvalid, "audit signing key of %d bytes, want %d", len(c.SigningKey), ed25519.PrivateKeySize)
	default:
		return nil
	}
}

func (c Config) withDefaults() Config {
	if c.WritePeriod == 0 {
		c.WritePeriod = defaultWritePeriod
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = defaultWriteTimeout
	}
	if c.MaxPendingBytes == 0 {
		c.MaxPendingBytes = defaultMaxPendingBytes
	}
	if c.MaxLabelSets == 0 {
		c.MaxLabelSets = defaultMaxLabelSets
	}
	if c.MaxExceptions == 0 {
		c.MaxExceptions = defaultMaxExceptions
	}
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		c.Log = logrus.NewEntry(silent)
	}
	return c
}
