// Package layout divides a worker class into shards. Each shard has its own owner,
// journal and workers, and a job belongs to one shard for its whole life, so that
// the cost of an owner grows with its workers and not with the class. A class that
// one instance can run has one shard, with the name of the class.
package layout

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// Layout is the division of a class. All instances use the same one: it is stored
// once, before the class gets its first owner, and does not change afterwards.
type Layout struct {
	Class string
	// Shards is the number of shards, at least 1.
	Shards int
	// Racks maps the racks that were known at the division to the index of their
	// shard. Other racks are spread by hash.
	Racks map[string]int
}

const (
	// workersPerCore is how many workers an owner can run with one core. Each costs
	// two or three starts, as many ends and two renewals a second.
	workersPerCore = 450
	// maxShards bounds the shards of a class, and with them the calls that ask for
	// something about the whole class.
	maxShards = 64
	// separator stands between the class and the index in the name of a shard.
	separator = "~"
)

// Divide divides a class with these workers. cores is the processor capacity of an
// instance that may own a shard. The racks of each data centre are dealt out to all
// shards, so that every shard survives the loss of a data centre.
func Divide(class string, workers []cairnbay.WorkerEntry, cores float64) Layout {
	perShard := max(workersPerCore*cores, 1)
	divided := Layout{Class: class, Shards: int(min(max(math.Ceil(float64(len(workers))/perShard), 1), maxShards))}
	if divided.Shards == 1 {
		return divided
	}
	type rack struct {
		name, dataCentre string
		workers          int
	}
	racks := make(map[string]*rack)
	for i := range workers {
		name := workers[i].Rack
		if name == "" {
			continue
		}
		if racks[name] == nil {
			racks[name] = &rack{name: name, dataCentre: workers[i].DataCentre}
		}
		racks[name].workers++
	}
	sorted := make([]*rack, 0, len(racks))
	for _, known := range racks {
		sorted = append(sorted, known)
	}
	slices.SortFunc(sorted, func(a, b *rack) int {
		return cmp.Or(cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(b.workers, a.workers), cmp.Compare(a.name, b.name))
	})
	divided.Racks = make(map[string]int, len(sorted))
	for i, known := range sorted {
		divided.Racks[known.name] = i % divided.Shards
	}
	return divided
}

// Names returns the names of the shards.
func (l Layout) Names() []string {
	names := make([]string, 0, l.Shards)
	for index := range l.Shards {
		names = append(names, l.name(index))
	}
	return names
}

// ShardOfJob returns the shard of the job with an ID.
func (l Layout) ShardOfJob(id string) string {
	return l.name(int(xxhash.Sum64String(id) % uint64(l.Shards)))
}

// ShardOfWorker returns the shard of a worker of the class. A worker without a rack
// has none where other workers have racks: an entry that has lost its rack would give
// the worker to a second owner.
func (l Layout) ShardOfWorker(worker *cairnbay.WorkerEntry) string {
	if worker.Rack == "" && len(l.Racks) > 0 {
		return ""
	}
	if index, ok := l.Racks[worker.Rack]; ok {
		return l.name(index)
	}
	return l.name(int(xxhash.Sum64String(cmp.Or(worker.Rack, cairnbay.WorkerName(worker.ID))) % uint64(l.Shards)))
}

// IsShardOf reports whether a name may be that of a shard of a class.
func IsShardOf(shard, class string) bool {
	index, ok := strings.CutPrefix(shard, class)
	return ok && (index == "" || strings.HasPrefix(index, separator))
}

func (l Layout) name(index int) string {
	if l.Shards == 1 {
		return l.Class
	}
	return l.Class + separator + strconv.Itoa(index)
}

// Encode returns the stored form of a layout.
func (l Layout) Encode() ([]byte, error) {
	message := &cairnbayv1.ClassLayout{Class: l.Class, Shards: uint32(l.Shards), Racks: make(map[string]uint32, len(l.Racks))}
	for rack, index := range l.Racks {
		message.Racks[rack] = uint32(index)
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

// Decode reads the stored form of a layout. Errors: cairnbay.ErrInvalid for one
// without shards or with a rack outside them.
func Decode(value []byte) (Layout, error) {
	var message cairnbayv1.ClassLayout
	if err := proto.Unmarshal(value, &message); err != nil {
		return Layout{}, err
	}
	decoded := Layout{Class: message.GetClass(), Shards: int(message.GetShards()), Racks: make(map[string]int, len(message.GetRacks()))}
	if decoded.Shards < 1 || decoded.Shards > maxShards {
		return Layout{}, cairnbay.ErrInvalid
	}
	for rack, index := range message.GetRacks() {
		if int(index) >= decoded.Shards {
			return Layout{}, cairnbay.ErrInvalid
		}
		decoded.Racks[rack] = int(index)
	}
	return decoded, nil
}
