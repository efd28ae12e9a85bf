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

// lateStore delivers some puts only when told to, as a paused writer would.
type lateStore struct {
	cairnbay.Store
	hold bool
	late []func()
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, expect cairnbay.Revision, lease cairnbay.LeaseID) (cairnbay.Revision, error) {
	if !s.hold {
		return s.Store.Put(ctx, key, value, expect, lease)
	}
	s.hold = false
	s.late = append(s.late, func() { _, _ = s.Store.Put(ctx, key, value, expect, lease) })
	return 0, cairnbay.ErrUnknown
}

// verdict is what a writer was told of a record.
type verdict int

const (
	undecided verdict = iota
	confirmed
	absent
)

// machine drives several writers of one shard, most of them fenced without
// knowing it, against a plain map of what each was told.
type machine struct {
	hand     *clock.Clock
	fake     *store.Store
	late     *lateStore
	writers  []*Journal
	told     map[cairnbay.JobID]verdict
	tickets  map[cairnbay.JobID]*Ticket
	owners   map[cairnbay.JobID]*Journal
	confirms []cairnbay.JobID
	replica  *Replica
	down     bool
	skip     bool
}

func newMachine(skip bool) *machine {
	hand := clock.New()
	fake := store.New(store.Config{Clock: hand})
	return &machine{
		hand: hand, fake: fake, late: &lateStore{Store: fake}, skip: skip,
		told: map[cairnbay.JobID]verdict{}, tickets: map[cairnbay.JobID]*Ticket{},
		owners: map[cairnbay.JobID]*Journal{}, replica: NewReplica(),
	}
}

func (m *machine) open(*rapid.T) {
	journal, err := open(context.Background(), Config{
		Shard: machineShard, Store: m.late, Clock: m.hand, OwnerID: "member",
	})
	if err != nil {
		return
	}
	journal.skipConfirm = m.skip
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
	id := cairnbay.JobID(fmt.Sprintf("job-%d", len(m.told)))
	m.told[id] = undecided
	m.owners[id] = writer
	m.tickets[id] = writer.Append(Urgent, []Record{{Accept: &cairnbay.Job{ID: id, Tasks: 1}}}, func(err error) {
		switch {
		case err == nil:
			m.told[id] = confirmed
			m.confirms = append(m.confirms, id)
		case errors.Is(err, cairnbay.ErrFenced):
			m.told[id] = absent
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
	if len(m.told) == 0 {
		t.Skip("no record")
	}
	id := cairnbay.JobID(fmt.Sprintf("job-%d", rapid.IntRange(0, len(m.told)-1).Draw(t, "record")))
	if m.told[id] == undecided && m.owners[id].Withdraw(m.tickets[id]) {
		m.told[id] = absent
	}
}

func (m *machine) faults(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "fault") {
	case 0:
		m.fake.LoseAnswers(1)
	case 1:
		m.fake.LoseWrites(1)
	case 2:
		m.down = !m.down
		m.fake.SetDown(m.down)
	case 3:
		m.late.hold = true
	case 4:
		m.deliver()
	}
}

func (m *machine) deliver() {
	for _, put := range m.late.late {
		put()
	}
	m.late.late = nil
}

// pull copies from the newest writer, as a peer does; only its confirmed
// content is ever handed out.
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
		t.Fatalf("replica reaches %d of %d", m.replica.Sequence(), sequence)
	}
}

// check compares the stored journal with what the writers were told.
func (m *machine) check(t *rapid.T) {
	if m.down {
		return
	}
	state, err := Read(context.Background(), m.fake, machineShard)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	for id, told := range m.told {
		_, there := state.Jobs[id]
		if told == confirmed && !there {
			t.Fatalf("%s was confirmed and is not in the journal", id)
		}
		if told == absent && there {
			t.Fatalf("%s was said not to be written and is in the journal", id)
		}
	}
	var last uint64
	for _, id := range m.confirms {
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
		"faults": m.faults, "pull": m.pull, "check": m.check,
	}
}

// drive takes random actions, ends all faults and compares once more.
func (m *machine) drive(t *rapid.T) {
	t.Repeat(m.actions())
	m.down = false
	m.fake.SetDown(false)
	m.deliver()
	m.check(t)
}

func TestJournalAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newMachine(false).drive(t) })
}

func TestOracleFindsAcknowledgedBeforeConfirmed(t *testing.T) {
	found := oracle.Finds(func(t *rapid.T) { newMachine(true).drive(t) })
	if !strings.Contains(found, "is not in the journal") {
		t.Fatalf("the seeded defect was not found: %q", found)
	}
}
