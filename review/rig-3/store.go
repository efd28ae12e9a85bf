package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Rev        uint64 `json:"rev"`
	CreatedRev uint64 `json:"created-rev"`
	Lease      uint64 `json:"lease"`
}

// change is one event of the store's history.
type change struct {
	item
	removed bool
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's metadata store. It is linearizable and loses nothing.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []change
	leases  map[uint64]*lease
	nextID  uint64
	changed chan struct{}
	// fault, if set, is asked for each call with the caller's address; it may delay it or
	// answer it itself, and returns true if it did.
	fault func(w http.ResponseWriter, r *http.Request) bool
	// onCommit, if set, hears of each transaction that was applied.
	onCommit func(writes []string)
}

func newStore() *store {
	s := &store{rev: 1, items: map[string]item{}, leases: map[uint64]*lease{}, nextID: 70000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// wake tells the watches of a change; the caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys; the caller holds the lock.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	sort.Strings(keys)
	for _, key := range keys {
		s.remove(key)
	}
	s.wake()
}

// remove removes a key at the present revision; the caller holds the lock.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, change{item{Key: key, Rev: s.rev}, true})
}

// put writes a key at the present revision; the caller holds the lock.
func (s *store) put(key string, value []byte, leaseID uint64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	written := item{key, value, s.rev, created, leaseID}
	s.items[key] = written
	s.history = append(s.history, change{written, false})
}

// write is a write of the operator or of a server.
func (s *store) write(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
	s.wake()
	return s.rev
}

// drop removes a key of a server that is gone.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.rev++
		s.remove(key)
		s.wake()
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

const (
	storeDelay = 4 * time.Millisecond
	pageItems  = 500
	pageBytes  = 1 << 20
)

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.fault != nil && s.fault(w, r) {
		return
	}
	time.Sleep(storeDelay)
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.mu.Lock()
		found, ok := s.items[query.Get("key")]
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, found)
	case path == "/kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		s.watch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-txn":
		s.commit(w, r)
	case path == "/kv-lease":
		var call struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			w.WriteHeader(400)
			return
		}
		ttl := max(call.TTL, 1000)
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id] = &lease{time.Duration(ttl) * time.Millisecond, time.Now().Add(time.Duration(ttl) * time.Millisecond)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttl-ms": ttl})
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseUint(path[len("/kv-keep/"):], 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[len("/kv-lease-end/"):], 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, 200, map[string]any{})
	default:
		w.WriteHeader(404)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	at := s.rev
	s.mu.Unlock()
	reply(w, 200, map[string]any{"items": items, "has-more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.Rev <= after || !strings.HasPrefix(c.Key, prefix) {
				continue
			}
			if c.removed {
				events = append(events, map[string]any{"key": c.Key, "rev": c.Rev, "removed": true})
			} else {
				events = append(events, map[string]any{"key": c.Key, "value": c.Value, "rev": c.Rev, "created-rev": c.CreatedRev, "lease": c.Lease})
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil || len(txn.Expected)+len(txn.Writes)+len(txn.Remove) > 32 {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	failed, items := false, []item{}
	for _, e := range txn.Expected {
		now := s.items[e.Key]
		if now.Rev != e.Rev {
			failed = true
		}
		if now.Rev > 0 {
			items = append(items, now)
		}
	}
	if failed {
		s.mu.Unlock()
		reply(w, 412, map[string]any{"items": items})
		return
	}
	for _, put := range txn.Writes {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			s.mu.Unlock()
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.rev++
	var written []string
	for _, put := range txn.Writes {
		s.put(put.Key, put.Value, put.Lease)
		written = append(written, put.Key)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	rev := s.rev
	s.wake()
	heard := s.onCommit
	s.mu.Unlock()
	if heard != nil {
		heard(written)
	}
	reply(w, 200, map[string]any{"rev": rev})
}

// value returns the value of a key, empty without one.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// keys lists the keys below a prefix.
func (s *store) keys(prefix string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

var _ = fmt.Sprint
