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
	defaultMinInterval  = 200 * time.Millisecond
	defaultMaxLazyDelay = time.Second
	defaultTimeout      = 2 * time.Second
	defaultBackoff      = 500 * time.Millisecond
)

// Urgency determines how long records may wait to be written together with others.
type Urgency uint8

// Urgencies of records.
const (
	// Lazy records wait for an urgent record, and for Config.MaxLazyDelay at most
	// unless the store fails.
	Lazy Urgency = iota
	// Urgent records are written as soon as Config.MinInterval allows.
	Urgent
)

// Config configures a Journal.
type Config struct {
	Shard cairnbay.ShardID
	Store cairnbay.Store
	Clock cairnbay.Clock
	// OwnerID identifies the owner; it is part of the writer recorded in each segment.
	OwnerID string
	// MinInterval is the minimum time between two writes. Default 200 ms.
	MinInterval time.Duration
	// MaxLazyDelay is the longest time that a lazy record is queued. Default 1 s.
	MaxLazyDelay time.Duration
	// Timeout bounds one store call. Default 2 s.
	Timeout time.Duration
	// Backoff is the time between a failed write and the next attempt. Default
	// 500 ms.
	Backoff time.Duration
	Log     *logrus.Entry
}

func (c Config) withDefaults() Config {
	setDefault(&c.MinInterval, defaultMinInterval)
	setDefault(&c.MaxLazyDelay, defaultMaxLazyDelay)
	setDefault(&c.Timeout, defaultTimeout)
	setDefault(&c.Backoff, defaultBackoff)
	if c.Log == nil {
		c.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	return c
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Ticket identifies the records of one Append call; Withdraw takes it.
type Ticket struct {
	records  []Record
	urgent   bool
	queuedAt time.Duration
	// uncertain is set once a write with the records may have reached the store, or
	// may still reach it.
	uncertain bool
	done      func(error)
}

// weight is the ticket's share of maxWeightPerWrite.
func (t *Ticket) weight() int {
	weight := len(t.records)
	for _, record := range t.records {
		if record.Accept != nil {
			weight += acceptWeight - 1
		}
	}
	return weight
}

// Journal writes one shard's journal for its owner.
type Journal struct {
	config  Config
	writer  string
	metrics *journalMetrics
	wake    chan struct{}
	cancel  context.CancelFunc
	stopped chan struct{}

	// mu guards the fields below and is never held during a store call.
	mu     sync.Mutex
	stored *storedJournal
	// pending holds the queued tickets, oldest first.
	pending []*Ticket
	// lastWrite is the clock time at which the last write was confirmed.
	lastWrite time.Duration
	// retryAt is the clock time before which no write starts after a failure.
	retryAt time.Duration
	// terminalErr is the reason why the journal stopped, nil while it is open.
	terminalErr error
	// storeDown is set while the last flush has failed.
	storeDown bool
	// ackBeforeWrite makes Append acknowledge records before they are written. Only
	// tests set it, to check that they detect the defect.
	ackBeforeWrite bool
}

// Open reads the shard's journal and takes it over under the next generation, which
// fences the writes of the previous owner. Errors: the store's, ErrInvalid when the
// journal cannot be decoded or lacks a write, ErrFenced when another writer took it
// over at the same time, ErrUnknown when the takeover may have been written.
func Open(ctx context.Context, config Config) (*Journal, error) {
	journal, err := open(ctx, config)
	if err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	journal.cancel = cancel
	go func() {
		defer close(journal.stopped)
		journal.run(runCtx)
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
	stored, err := read(ctx, config.Store, config.Shard)
	if err != nil {
		return nil, err
	}
	journal.stored = stored
	takeover := &segment{Generation: stored.state.Generation + 1, Sequence: stored.state.Sequence + 1, Writer: journal.writer}
	if err := journal.takeOver(ctx, takeover); err != nil {
		return nil, errors.Annotatef(err, "take over journal of shard %q", config.Shard)
	}
	return journal, nil
}

// takeOver writes the first segment of a new generation.
func (j *Journal) takeOver(ctx context.Context, takeover *segment) error {
	if err := j.snapshotIfNeeded(ctx); err != nil {
		return err
	}
	return j.put(ctx, takeover)
}

// Close stops the journal. Queued records fail with ErrClosed if they were
// certainly not written, otherwise with ErrUnknown.
func (j *Journal) Close() {
	j.cancel()
	<-j.stopped
	j.terminate(cairnbay.ErrClosed)
}

// Generation returns the generation under which the journal was taken over.
func (j *Journal) Generation() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stored.state.Generation
}

// State returns a copy of the confirmed content.
func (j *Journal) State() *State {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stored.state.Clone()
}

// Sequence returns the sequence number of the last confirmed write.
func (j *Journal) Sequence() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stored.state.Sequence
}

// StoreDown reports whether the most recent attempt to write queued records
// failed.
func (j *Journal) StoreDown() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.storeDown
}

// Append queues records. They are written together, after all records queued
// earlier. done is called once unless the ticket is withdrawn: with nil when the
// records are in the store, ErrFenced when another writer has taken the journal over
// and they were not written, and on Close with ErrClosed (not written) or ErrUnknown
// (may have been written). The call comes from the journal's goroutine, from Close,
// or from Append itself when the journal has already stopped.
func (j *Journal) Append(urgency Urgency, records []Record, done func(error)) *Ticket {
	ticket := &Ticket{records: records, urgent: urgency == Urgent, queuedAt: j.config.Clock.Now(), done: done}
	j.mu.Lock()
	terminalErr := j.terminalErr
	if terminalErr == nil {
		j.pending = append(j.pending, ticket)
	}
	skip := j.ackBeforeWrite
	j.mu.Unlock()
	if terminalErr != nil {
		done(terminalErr)
		return ticket
	}
	if skip {
		done(nil)
		ticket.done = func(error) {}
	}
	j.notify()
	return ticket
}

// Withdraw removes queued records; their done is then not called. It returns false
// when they were written, may have been or are being written, and after the journal
// has stopped.
func (j *Journal) Withdraw(ticket *Ticket) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if ticket.uncertain {
		return false
	}
	for i, queued := range j.pending {
		if queued == ticket {
			j.pending = append(j.pending[:i], j.pending[i+1:]...)
			return true
		}
	}
	return false
}

// notify wakes the journal's goroutine.
func (j *Journal) notify() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// terminate stops the journal with a reason and reports it for all queued records.
func (j *Journal) terminate(reason error) {
	j.mu.Lock()
	if j.terminalErr == nil {
		j.terminalErr = reason
	}
	pending := j.pending
	j.pending = nil
	j.mu.Unlock()
	for _, ticket := range pending {
		if ticket.uncertain && !errors.Is(reason, cairnbay.ErrFenced) {
			ticket.done(cairnbay.ErrUnknown)
		} else {
			ticket.done(reason)
		}
	}
}
