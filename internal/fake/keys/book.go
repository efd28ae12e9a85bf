// Package keys is the operators' record of API keys in tests of whole instances: it
// changes the keys of workspaces, and judges answers by the versions that may have been
// in force.
package keys

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Marker is part of every key, also of those that no configuration holds, so that one
// search of an output finds any of them.
const Marker = "kEy-In-ClEaR"

const (
	// oldShare is one in so many picks that takes a withdrawn key, missingShare one
	// without a key.
	oldShare, missingShare = 10, 30
	// maxKeys is how many keys a workspace has at most; the oldest is withdrawn.
	maxKeys = 3
)

// Workspace is a workspace with its keys in clear.
type Workspace struct {
	Name string
	Keys []string
}

// version is one configuration. writtenAt precedes the write, ackedAt follows the
// store's acknowledgement; it is 0 before.
type version struct {
	writtenAt, ackedAt time.Duration
	holders            map[string]string
}

// Book is the record of all versions.
type Book struct {
	// publishing is held during a write, so that versions are written in order.
	publishing sync.Mutex

	mu         sync.Mutex
	random     *rand.Rand
	workspaces []Workspace
	versions   []version
	// ever is the workspace of each key that a configuration held; old are the withdrawn
	// keys by workspace.
	ever   map[string]string
	old    map[int][]string
	serial int
}

// New returns a book of a number of workspaces with a key each.
func New(workspaces int, random *rand.Rand) *Book {
	b := &Book{random: random, ever: make(map[string]string), old: make(map[int][]string)}
	for n := range workspaces {
		b.workspaces = append(b.workspaces, Workspace{Name: fmt.Sprintf("space-%d", n)})
		b.add(n)
	}
	return b
}

// Size is the number of workspaces.
func (b *Book) Size() int { return len(b.workspaces) }

// newKey returns a key that is in no configuration; the caller holds the lock.
func (b *Book) newKey() string {
	b.serial++
	return fmt.Sprintf("%s-%d-%08x", Marker, b.serial, b.random.Uint32())
}

// add gives a workspace one more key; the caller holds the lock, or the book is new.
func (b *Book) add(index int) {
	space := &b.workspaces[index]
	key := b.newKey()
	b.ever[key] = space.Name
	space.Keys = append(slices.Clone(space.Keys), key)
	if extra := len(space.Keys) - maxKeys; extra > 0 {
		b.old[index] = append(b.old[index], space.Keys[:extra]...)
		space.Keys = slices.Clone(space.Keys[extra:])
	}
}

// Add gives a workspace one more key.
func (b *Book) Add(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(index)
}

// Withdraw takes all keys of a workspace.
func (b *Book) Withdraw(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.old[index] = append(b.old[index], b.workspaces[index].Keys...)
	b.workspaces[index].Keys = nil
}

// Rotate replaces the keys of a workspace by a new one.
func (b *Book) Rotate(index int) {
	b.Withdraw(index)
	b.Add(index)
}

// Publish writes the next version and returns its number, from 1.
func (b *Book) Publish(now func() time.Duration, write func(number int, workspaces []Workspace)) int {
	b.publishing.Lock()
	defer b.publishing.Unlock()
	b.mu.Lock()
	made := version{writtenAt: now(), holders: make(map[string]string)}
	for _, space := range b.workspaces {
		for _, key := range space.Keys {
			made.holders[key] = space.Name
		}
	}
	b.versions = append(b.versions, made)
	number, workspaces := len(b.versions), slices.Clone(b.workspaces)
	b.mu.Unlock()
	write(number, workspaces)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions[number-1].ackedAt = now()
	return number
}

// Key returns the newest key of a workspace, empty if it has none.
func (b *Book) Key(index int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	space := b.workspaces[index]
	if len(space.Keys) == 0 {
		return ""
	}
	return space.Keys[len(space.Keys)-1]
}

// Pick returns a key for a call in the name of a workspace: mostly its newest one,
// sometimes a withdrawn one, or none.
func (b *Book) Pick(index int, random *rand.Rand) string {
	missing, old := random.IntN(missingShare) == 0, random.IntN(oldShare) == 0
	b.mu.Lock()
	withdrawn := b.old[index]
	b.mu.Unlock()
	switch {
	case missing:
		return ""
	case old && len(withdrawn) > 0:
		return withdrawn[random.IntN(len(withdrawn))]
	default:
		return b.Key(index)
	}
}

// Invent returns a key that no configuration ever holds.
func (b *Book) Invent() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newKey()
}

// Call is a call with a key, and what its answer says of the key.
type Call struct {
	Key                string
	SentAt, AnsweredAt time.Duration
	// Accepted says that the call was let through, Rejected that it got 401; neither is
	// set if the answer does not tell.
	Accepted, Rejected bool
}

// Judge returns what is wrong with an answer, empty if nothing is. A version that was
// acknowledged more than bound before the call rules out all older ones; without a
// bound (0) every version up to the answer may be in force.
func (b *Book) Judge(call Call, bound time.Duration) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ever := b.ever[call.Key]; !ever && call.Accepted {
		return fmt.Sprintf("a call with key %s, which no configuration held, was accepted", name(call.Key))
	}
	oldest := 0
	held, lacked := false, false
	for i, version := range b.versions {
		if bound > 0 && version.ackedAt > 0 && version.ackedAt <= call.SentAt-bound {
			oldest, held, lacked = i, false, false
		}
		if version.writtenAt > call.AnsweredAt {
			break
		}
		if _, holds := version.holders[call.Key]; holds {
			held = true
		} else {
			lacked = true
		}
	}
	switch {
	case call.Accepted && !held:
		return fmt.Sprintf("key %s was accepted at %v, though no version from %d on held it", name(call.Key), call.SentAt, oldest+1)
	case call.Rejected && !lacked:
		return fmt.Sprintf("key %s was rejected at %v, though every version from %d on held it", name(call.Key), call.SentAt, oldest+1)
	default:
		return ""
	}
}

// name is what reports show of a key: its serial number, which is not secret in a test.
func name(key string) string {
	return "#" + strings.TrimPrefix(strings.TrimPrefix(key, Marker), "-")
}
