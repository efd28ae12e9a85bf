package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvItem is one key of the store, as the platform's pages describe it.
type kvItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created-rev,omitempty"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

// kvStore is a stand-in for the platform's metadata store: one revision counter,
// transactions, leases and watches, all linearizable.
type kvStore struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]kvItem
	history []kvItem
	leases  map[uint64]*kvLease
	nextID  uint64
	changed chan struct{}
	// down answers every call with 503: nothing was done. Leases pause meanwhile.
	down bool
}

type kvLease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *kvStore {
	s := &kvStore{rev: 100, items: map[string]kvItem{}, leases: map[uint64]*kvLease{}, nextID: 1, changed: make(chan struct{})}
	go s.expireLoop()
	return s
}

// setDown takes the store down, or brings it back. Leases pause while it is down.
func (s *kvStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, lease := range s.leases {
			lease.end = time.Now().Add(lease.ttl)
		}
	}
	s.down = down
}

func (s *kvStore) expireLoop() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		if !s.down {
			for id, lease := range s.leases {
				if time.Now().After(lease.end) {
					s.endLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys; the caller holds the lock.
func (s *kvStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.rev++
			s.remove(key)
		}
	}
	s.wake()
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, kvItem{Key: key, Rev: s.rev, Removed: true})
}

func (s *kvStore) write(key string, value []byte, lease uint64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	item := kvItem{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = item
	s.history = append(s.history, item)
}

func (s *kvStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a runner does.
func (s *kvStore) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, text, 0)
	s.wake()
}

// drop removes a key as the platform does.
func (s *kvStore) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements the store's interface.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		item, ok := s.items[query.Get("key")]
		at := s.rev
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{"at": at})
			return
		}
		reply(w, http.StatusOK, struct {
			kvItem
			At uint64 `json:"at"`
		}{item, at})
	case r.URL.Path == "/kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case r.URL.Path == "/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/kv-lease":
		var call struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&call)
		s.mu.Lock()
		id := s.nextID
		s.nextID++
		ttl := time.Duration(max(call.TTL, 1000)) * time.Millisecond
		s.leases[id] = &kvLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
		s.mu.Lock()
		lease := s.leases[id]
		if lease != nil && r.Method == http.MethodDelete {
			s.endLease(id)
		} else if lease != nil {
			lease.end = time.Now().Add(lease.ttl)
		}
		s.mu.Unlock()
		if lease == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *kvStore) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []kvItem{}, 0, false
	for _, key := range keys {
		if len(items) >= 500 || size > 1<<20 {
			more = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	at := s.rev
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "at": at})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []kvItem{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Rev > after; i-- {
			if strings.HasPrefix(s.history[i].Key, query.Get("prefix")) {
				events = append(events, s.history[i])
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
			events[i], events[j] = events[j], events[i]
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []kvItem `json:"expected"`
		Writes   []kvItem `json:"writes"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Expected)+len(call.Writes)+len(call.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items, failed := []kvItem{}, false
	for _, expected := range call.Expected {
		item := s.items[expected.Key]
		failed = failed || item.Rev != expected.Rev
		items = append(items, kvItem{Key: expected.Key, Value: item.Value, Rev: item.Rev, Lease: item.Lease})
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, put := range call.Writes {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.rev++
	for _, put := range call.Writes {
		s.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range call.Remove {
		s.remove(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}
