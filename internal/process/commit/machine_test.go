package commit

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/oracle"
	"cairnbay/internal/fake/store"
)

const machineShard = cairnbay.ShardID("tallinn-a/survey")

// delayedStore holds back selected puts and delivers them later, like the puts of a
// paused writer.
type delayedStore struct {
	cairnbay.Store
	delayNext bool
	puts      []func()
}

func (s *delayedStore) Put(ctx context.Context, key string, value []byte, expect cairnbay.Revision, lease cairnbay.LeaseID) (cairnbay.Revision, error) {
	if !s.delayNext {
		return s.Store.Put(ctx, key, value, expect, lease)
	}
	s.delayNext = false
	s.puts = append(s.puts, func() { _, _ = s.Store.Put(ctx, key, value, expect, lease) })
	return 0, cairnbay.ErrUnknown
}

// outcome is the result that a writer reported for a record.
type outcome int

const (
	undecided outcome = iota
	confirmed
	notWritten
)

// machine is the state machine of the rapid tests. It drives several writers of one
// shard, most of which have not yet detected that they are fenced, and compares the
// stored journal with the outcomes that they reported.
type machine struct {
	fakeClock      *clock.Clock
	fakeStore      *store.Store
	delayed        *delayedStore
	writers        []*Journal
	reported       map[cairnbay.JobID]outcome
	tickets        map[cairnbay.JobID]*Ticket
	writerOf       map[cairnbay.JobID]*Journal
	confirmedOrder []cairnbay.JobID
	replica        *Replica
	down           bool
	ackEarly       bool
}

func newMachine(ackEarly bool) *machine {
	fakeClock := clock.New()
	fakeStore := store.New(store.Config{Clock: fakeClock})
	return &machine{
		fakeClock: fakeClock, fakeStore: fakeStore, delayed: &delayedStore{Store: fakeStore}, ackEarly: ackEarly,
		reported: map[cairnbay.JobID]outcome{}, tickets: map[cairnbay.JobID]*Ticket{},
		writerOf: map[cairnbay.JobID]*Journal{}, replica: NewReplica(),
	}
}

func (m *machine) open(*rapid.T) {
	journal, err := open(context.Background(), Config{
		Shard: machineShard, Store: m.delayed, Clock: m.fakeClock, OwnerID: "member",
	})
	if err != nil {
		return
	}
	journal.ackBeforeWrite = m.ackEarly
	m.writers = append(m.writers, journal)
	m.writers = m.writers[max(0, len(m.writers)-3):]
}

func (m *machine) writer(t *rapid.T) *Journal {
	if len(m.writers) == 0 {
		t.Skip("no writer")
	}
	return m.writers[rapid.IntRange(0, len(m.writers)-1).Draw(t, "writer")]
}

func (m *machine) append(t *rapid.T) {
	writer := m.writer(t)
	id := cairnbay.JobID(fmt.Sprintf("job-%d", len(m.reported)))
	m.reported[id] = undecided
	m.writerOf[id] = writer
	m.tickets[id] = writer.Append(Urgent, []Record{{Accept: &cairnbay.Job{ID: id, Tasks: 1}}}, func(err error) {
		switch {
		case err == nil:
			m.reported[id] = confirmed
			m.confirmedOrder = append(m.confirmedOrder, id)
		case errors.Is(err, cairnbay.ErrFenced):
			m.reported[id] = notWritten
		}
	})
}

func (m *machine) flush(t *rapid.T) {
	writer := m.writer(t)
	if len(writer.pending) > 0 {
		writer.flush(context.Background())
	}
}

func (m *machine) withdraw(t *rapid.T) {
	if len(m.reported) == 0 {
		t.Skip("no record")
	}
	id := cairnbay.JobID(fmt.Sprintf("job-%d", rapid.IntRange(0, len(m.reported)-1).Draw(t, "record")))
	if m.reported[id] == undecided && m.writerOf[id].Withdraw(m.tickets[id]) {
		m.reported[id] = notWritten
	}
}

func (m *machine) injectFault(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "fault") {
	case 0:
		m.fakeStore.LoseAnswers(1)
	case 1:
		m.fakeStore.LoseWrites(1)
	case 2:
		m.down = !m.down
		m.fakeStore.SetDown(m.down)
	case 3:
		m.delayed.delayNext = true
	case 4:
		m.deliverDelayed()
	}
}

func (m *machine) deliverDelayed() {
	for _, put := range m.delayed.puts {
		put()
	}
	m.delayed.puts = nil
}

// pull updates the replica from the newest writer, as a peer does. SegmentsAfter
// returns confirmed content only.
func (m *machine) pull(t *rapid.T) {
	if len(m.writers) == 0 {
		t.Skip("no writer")
	}
	newest := m.writers[len(m.writers)-1]
	segments, sequence, err := newest.SegmentsAfter(m.replica.Sequence())
	if err != nil {
		t.Fatalf("segments: %v", err)
	}
	if err := m.replica.Apply(segments); err != nil {
		t.Fatalf("replica: %v", err)
	}
	if m.replica.Sequence() < sequence {
		t.Fatalf("replica has sequence %d, want %d", m.replica.Sequence(), sequence)
	}
}

// check compares the stored journal with the reported outcomes.
func (m *machine) check(t *rapid.T) {
	if m.down {
		return
	}
	state, err := Read(context.Background(), m.fakeStore, machineShard)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	for id, result := range m.reported {
		_, present := state.Jobs[id]
		if result == confirmed && !present {
			t.Fatalf("%s was confirmed and is not in the journal", id)
		}
		if result == notWritten && present {
			t.Fatalf("%s was reported as not written but is in the journal", id)
		}
	}
	var last uint64
	for _, id := range m.confirmedOrder {
		if order := state.Jobs[id].Order; order < last {
			t.Fatalf("%s has order %d after %d", id, order, last)
		} else {
			last = order
		}
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"open": m.open, "append": m.append, "append again": m.append, "flush": m.flush,
		"flush again": m.flush, "flush more": m.flush, "withdraw": m.withdraw,
		"faults": m.injectFault, "pull": m.pull, "check": m.check,
	}
}

// run executes random actions, ends all faults and checks the journal again.
func (m *machine) run(t *rapid.T) {
	t.Repeat(m.actions())
	m.down = false
	m.fakeStore.SetDown(false)
	m.deliverDelayed()
	m.check(t)
}

func TestJournalAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newMachine(false).run(t) })
}

func TestOracleFindsAcknowledgedBeforeConfirmed(t *testing.T) {
	found := oracle.Finds(func(t *rapid.T) { newMachine(true).run(t) })
	if !strings.Contains(found, "is not in the journal") {
		t.Fatalf("the seeded defect was not found: %q", found)
	}
}
