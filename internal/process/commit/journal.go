package commit

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"cairnbay"
)

// Defaults of Config.
const (
	defaultMinGap  = 200 * time.Millisecond
	defaultLazyGap = time.Second
	defaultTimeout = 2 * time.Second
	defaultBackoff = 500 * time.Millisecond
)

// Urgency says how long a record may wait for others to share its write.
type Urgency uint8

// Urgencies of records.
const (
	// Lazy records wait for Config.MaxLazyDelay, or for an urgent one.
	Lazy Urgency = iota
	// Urgent records are written as soon as Config.MinInterval allows.
	Urgent
)

// Config says whose journal is kept where.
type Config struct {
	Shard cairnbay.ShardID
	Store cairnbay.Store
	Clock cairnbay.Clock
	// OwnerID is the instance that owns the shard.
	OwnerID string
	// MinInterval is the least time between two writes, MaxLazyDelay the longest that a
	// lazy record waits. 0 takes 200 ms and 1 s.
	MinInterval  time.Duration
	MaxLazyDelay time.Duration
	// Timeout bounds one store call, Backoff is the time between tries while
	// the store refuses. 0 takes 2 s and 500 ms.
	Timeout time.Duration
	Backoff time.Duration
	Log     *logrus.Entry
}

func (c Config) withDefaults() Config {
	setDefault(&c.MinInterval, defaultMinGap)
	setDefault(&c.MaxLazyDelay, defaultLazyGap)
	setDefault(&c.Timeout, defaultTimeout)
	setDefault(&c.Backoff, defaultBackoff)
	if c.Log == nil {
		c.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	return c
}

func setDefault(value *time.Duration, otherwise time.Duration) {
	if *value == 0 {
		*value = otherwise
	}
}

// Ticket is records that wait to be written together.
type Ticket struct {
	records []Record
	urgent  bool
	since   time.Duration
	// maybe says that a write with the records may have reached the store, or
	// may still do so.
	maybe bool
	done  func(error)
}

// weight is the ticket's part of a write's size.
func (t *Ticket) weight() int {
	weight := len(t.records)
	for _, record := range t.records {
		if record.Accept != nil {
			weight += acceptWeight - 1
		}
	}
	return weight
}

// Journal writes one shard's journal for its owner. Everything is under one
// lock, which no store call holds.
type Journal struct {
	config  Config
	writer  string
	metrics *journalMetrics
	wake    chan struct{}
	cancel  context.CancelFunc
	stopped chan struct{}

	mu       sync.Mutex
	at       *position
	pending  []*Ticket
	last     time.Duration
	notUntil time.Duration
	fault    error
	down     bool
	// skipConfirm is a seeded defect of the tests: records are acknowledged
	// before their write is confirmed.
	skipConfirm bool
}

// Open reads the shard's journal and takes it over under the next generation,
// which fences the former owner's writes. Errors: the store's; ErrFenced when
// another member took it over meanwhile.
func Open(ctx context.Context, config Config) (*Journal, error) {
	journal, err := open(ctx, config)
	if err != nil {
		return nil, err
	}
	run, cancel := context.WithCancel(context.Background())
	journal.cancel = cancel
	go func() {
		defer close(journal.stopped)
		journal.run(run)
	}()
	return journal, nil
}

// open takes the journal over without starting its goroutine.
func open(ctx context.Context, config Config) (*Journal, error) {
	config = config.withDefaults()
	journal := &Journal{
		config: config, writer: config.OwnerID + "/" + uuid.NewString(),
		metrics: newMetrics(config.Shard),
		wake:    make(chan struct{}, 1), stopped: make(chan struct{}), cancel: func() {},
	}
	at, err := read(ctx, config.Store, config.Shard)
	if err != nil {
		return nil, err
	}
	journal.at = at
	takeover := &segment{Generation: at.state.Generation + 1, Sequence: at.state.Sequence + 1, Writer: journal.writer}
	if err := journal.takeOver(ctx, takeover); err != nil {
		return nil, errors.Annotatef(err, "take over journal of shard %q", config.Shard)
	}
	return journal, nil
}

func (j *Journal) takeOver(ctx context.Context, takeover *segment) error {
	if err := j.snapshotIfNeeded(ctx); err != nil {
		return err
	}
	return j.put(ctx, takeover)
}

// Close ends the journal. What waits is reported as it stands: ErrClosed if it
// certainly was not written, else ErrUnknown.
func (j *Journal) Close() {
	j.cancel()
	<-j.stopped
	j.fail(cairnbay.ErrClosed)
}

// Generation is the generation that the journal was taken over under.
func (j *Journal) Generation() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.at.state.Generation
}

// State returns a copy of the confirmed content.
func (j *Journal) State() *State {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.at.state.Clone()
}

// Sequence is the sequence number of the last confirmed write.
func (j *Journal) Sequence() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.at.state.Sequence
}

// StoreDown says that the store does not take writes at the moment.
func (j *Journal) StoreDown() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.down
}

// Append queues records, which are written together, after all queued before.
// done is called once, from the journal's goroutine: with nil when they are
// confirmed, ErrFenced when another member has taken the journal over and they
// were not written, ErrClosed or ErrUnknown on Close.
func (j *Journal) Append(urgency Urgency, records []Record, done func(error)) *Ticket {
	ticket := &Ticket{records: records, urgent: urgency == Urgent, since: j.config.Clock.Now(), done: done}
	j.mu.Lock()
	fault := j.fault
	if fault == nil {
		j.pending = append(j.pending, ticket)
	}
	skip := j.skipConfirm
	j.mu.Unlock()
	if fault != nil {
		done(fault)
		return ticket
	}
	if skip {
		done(nil)
		ticket.done = func(error) {}
	}
	j.nudge()
	return ticket
}

// Withdraw takes records back that still wait. It returns false when they may
// have been written.
func (j *Journal) Withdraw(ticket *Ticket) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if ticket.maybe {
		return false
	}
	for i, waiting := range j.pending {
		if waiting == ticket {
			j.pending = append(j.pending[:i], j.pending[i+1:]...)
			return true
		}
	}
	return false
}

func (j *Journal) nudge() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// fail ends the journal with a reason and reports every waiting record.
func (j *Journal) fail(reason error) {
	j.mu.Lock()
	if j.fault == nil {
		j.fault = reason
	}
	waiting := j.pending
	j.pending = nil
	j.mu.Unlock()
	for _, ticket := range waiting {
		if ticket.maybe && !errors.Is(reason, cairnbay.ErrFenced) {
			ticket.done(cairnbay.ErrUnknown)
		} else {
			ticket.done(reason)
		}
	}
}
