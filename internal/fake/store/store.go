// Package store is an in-memory stand-in for the platform's key-value service,
// with its rate limits and its faults.
package store

import (
	"bytes"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// maxEvents is how many events are kept for watches that resume.
const maxEvents = 4096

// Config sets up a Store.
type Config struct {
	Clock cairnbay.Clock
	// WritesPerSecond and ReadsPerSecond bound the calls; 0 means no bound.
	// Leases count as writes, and each wait of a watch as a read.
	WritesPerSecond int
	ReadsPerSecond  int
}

// Store holds all keys. Its own methods of cairnbay.Store act for the caller
// with the empty name; For gives others.
type Store struct {
	*Caller

	config Config

	mu       sync.Mutex
	entries  map[string]cairnbay.Entry
	revision cairnbay.Revision
	events   []cairnbay.Event
	// compacted is the revision of the newest event dropped.
	compacted cairnbay.Revision
	leases    map[cairnbay.LeaseID]*lease
	lastLease cairnbay.LeaseID
	// changed is closed and replaced when watches must look again.
	changed chan struct{}
	watches int
	faults  faults
	writes  bucket
	reads   bucket
	counts  Counts
}

type lease struct {
	ttl     time.Duration
	expires time.Duration
}

// New returns an empty store.
func New(config Config) *Store {
	store := &Store{
		config:  config,
		entries: make(map[string]cairnbay.Entry),
		leases:  make(map[cairnbay.LeaseID]*lease),
		changed: make(chan struct{}),
		writes:  newBucket(config.WritesPerSecond),
		reads:   newBucket(config.ReadsPerSecond),
	}
	store.faults.cut = make(map[string]bool)
	store.Caller = store.For("")
	return store
}

// For returns the store as used by a named caller, which can be cut off.
func (s *Store) For(name string) *Caller {
	return &Caller{store: s, name: name}
}

func (s *Store) get(key string) (cairnbay.Entry, error) {
	entry, ok := s.entries[key]
	if !ok {
		return cairnbay.Entry{}, errors.Annotatef(cairnbay.ErrNotFound, "key %q", key)
	}
	return copied(entry), nil
}

func (s *Store) list(prefix string) cairnbay.Listing {
	listing := cairnbay.Listing{Revision: s.revision}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, copied(entry))
		}
	}
	sort.Slice(listing.Entries, func(i, j int) bool {
		return listing.Entries[i].Key < listing.Entries[j].Key
	})
	return listing
}

// write is one put.
type write struct {
	key    string
	value  []byte
	expect cairnbay.Revision
	lease  cairnbay.LeaseID
}

func (s *Store) put(put write) (cairnbay.Revision, error) {
	if len(put.value) > cairnbay.MaxValueBytes {
		return 0, errors.Annotatef(cairnbay.ErrTooLarge, "key %q has %d bytes, at most %d are taken",
			put.key, len(put.value), cairnbay.MaxValueBytes)
	}
	if found := s.entries[put.key].Revision; found != put.expect {
		return 0, errors.Annotatef(cairnbay.ErrConflict, "key %q is at revision %d, not %d", put.key, found, put.expect)
	}
	if put.lease != 0 && s.leases[put.lease] == nil {
		return 0, errors.Annotatef(cairnbay.ErrLeaseLapsed, "lease %d of key %q", put.lease, put.key)
	}
	s.revision++
	entry := cairnbay.Entry{
		Key: put.key, Value: bytes.Clone(put.value), Revision: s.revision, Lease: put.lease,
	}
	s.entries[put.key] = entry
	s.record(cairnbay.Event{Kind: cairnbay.EventPut, Entry: entry})
	return s.revision, nil
}

func (s *Store) remove(key string, expect cairnbay.Revision) error {
	entry, ok := s.entries[key]
	if !ok {
		return errors.Annotatef(cairnbay.ErrNotFound, "key %q", key)
	}
	if entry.Revision != expect {
		return errors.Annotatef(cairnbay.ErrConflict, "key %q is at revision %d, not %d", key, entry.Revision, expect)
	}
	s.drop(key)
	return nil
}

func (s *Store) drop(key string) {
	delete(s.entries, key)
	s.revision++
	s.record(cairnbay.Event{
		Kind: cairnbay.EventDelete, Entry: cairnbay.Entry{Key: key, Revision: s.revision},
	})
}

func (s *Store) record(event cairnbay.Event) {
	s.events = append(s.events, event)
	if len(s.events) > maxEvents {
		s.compact(len(s.events) - maxEvents/2)
	}
	s.wakeWatches()
}

func (s *Store) compact(drop int) {
	if drop == 0 {
		return
	}
	s.compacted = s.events[drop-1].Entry.Revision
	s.events = append([]cairnbay.Event(nil), s.events[drop:]...)
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) grant(ttl time.Duration) cairnbay.LeaseID {
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, expires: s.config.Clock.Now() + ttl}
	s.config.Clock.At(s.leases[id].expires, func(time.Duration) { s.expire() })
	return id
}

func (s *Store) renew(id cairnbay.LeaseID) error {
	held, ok := s.leases[id]
	if !ok {
		return errors.Annotatef(cairnbay.ErrLeaseLapsed, "lease %d", id)
	}
	held.expires = s.config.Clock.Now() + held.ttl
	s.config.Clock.At(held.expires, func(time.Duration) { s.expire() })
	return nil
}

// expire takes the lock and ends the leases that have lapsed.
func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLapsed()
}

func (s *Store) endLapsed() {
	now := s.config.Clock.Now()
	for id, held := range s.leases {
		if held.expires > now {
			continue
		}
		delete(s.leases, id)
		s.dropLeased(id)
	}
}

func (s *Store) dropLeased(id cairnbay.LeaseID) {
	var keys []string
	for key, entry := range s.entries {
		if entry.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.drop(key)
	}
}

// since returns the kept events below the prefix after a revision.
func (s *Store) since(prefix string, from cairnbay.Revision) ([]cairnbay.Event, error) {
	if from < s.compacted {
		return nil, errors.Annotatef(cairnbay.ErrCompacted, "watch of %q from revision %d, kept from %d",
			prefix, from, s.compacted)
	}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Entry.Revision > from })
	var events []cairnbay.Event
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Entry.Key, prefix) {
			event.Entry = copied(event.Entry)
			events = append(events, event)
		}
	}
	return events, nil
}

func copied(entry cairnbay.Entry) cairnbay.Entry {
	entry.Value = bytes.Clone(entry.Value)
	return entry
}
