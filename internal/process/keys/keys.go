// Package keys remembers idempotency keys at their home member. A claim counts
// only once a compare-and-swap in the platform's store has confirmed it, so two
// members that both take themselves for the home cannot both grant one.
package keys

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// BucketCount is how many values the keys are spread over.
const BucketCount = 8

// Verdicts of a KeyResponse.
const (
	VerdictRun     = "run"
	VerdictDone    = "done"
	VerdictUnknown = "unknown"
	VerdictReused  = "reused"
	VerdictNotRun  = "not_run"
)

const (
	defaultTTL    = time.Hour
	defaultWindow = 5 * time.Millisecond
	// settleDelay is how long an outcome may wait for a claim's write to carry it.
	settleDelay = time.Second
	// maxBucketBytes keeps a bucket below the store's limit for a value.
	maxBucketBytes = cairnbay.MaxValueBytes * 9 / 10
	// maxAnswerBytes is the largest answer that is remembered, and
	// answersBytes bounds what a bucket remembers in all.
	maxAnswerBytes = 64 << 10
	answersBytes   = 256 << 10
)

var (
	storeWrites = metrics.GetOrCreateCounter("cairnbay_keys_store_writes_total")
	storeReads  = metrics.GetOrCreateCounter("cairnbay_keys_store_reads_total")
	claims      = metrics.GetOrCreateCounter("cairnbay_keys_claims_total")
	joins       = metrics.GetOrCreateCounter("cairnbay_keys_joins_total")
)

// Config is what Keys is made of.
type Config struct {
	// Life tells this life of the member from others; it must be random.
	Life  uint64
	Clock cairnbay.Clock
	Store cairnbay.Store
	// BatchWindow is how long a claim waits for others to share its write. Zero takes
	// the default, a negative one writes at once.
	BatchWindow time.Duration
	// TTL is how long an outcome of the service is remembered; zero, or a nil
	// function, takes an hour.
	TTL func(service string) time.Duration
	Log *logrus.Entry
}

// Keys is the home side of idempotency keys.
type Keys struct {
	config  Config
	buckets [BucketCount]*bucket
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

// New returns keys that nothing is loaded of yet. Close ends it.
func New(config Config) *Keys {
	if config.BatchWindow == 0 {
		config.BatchWindow = defaultWindow
	}
	ctx, cancel := context.WithCancel(context.Background())
	keys := &Keys{config: config, ctx: ctx, cancel: cancel}
	for i := range keys.buckets {
		keys.buckets[i] = newBucket(keys, i)
	}
	return keys
}

// Close ends the writers and waits for them; outcomes not yet written are lost,
// and repeats of their requests are told unknown.
func (k *Keys) Close() {
	k.cancel()
	k.group.Wait()
}

// hashOf identifies a key.
type hashOf [16]byte

func hashKey(service, key string) hashOf {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return hashOf(sum[:16])
}

// BucketOf is the bucket of a key.
func BucketOf(service, key string) int {
	hash := hashKey(service, key)
	return int(binary.BigEndian.Uint64(hash[:8]) % BucketCount)
}

// HandleKey claims a key, waiting for the outcome of a request that runs under
// it, or takes the outcome of a request that ran.
func (k *Keys) HandleKey(ctx context.Context, request *cairnbayv1.KeyRequest) (*cairnbayv1.KeyResponse, error) {
	bucket := k.buckets[BucketOf(request.GetService(), request.GetKey())]
	if request.GetFinish() {
		bucket.finish(request)
		return &cairnbayv1.KeyResponse{Verdict: VerdictDone}, nil
	}
	claims.Inc()
	return bucket.claim(ctx, request), nil
}

func (k *Keys) ttl(service string) time.Duration {
	if k.config.TTL == nil {
		return defaultTTL
	}
	if ttl := k.config.TTL(service); ttl > 0 {
		return ttl
	}
	return defaultTTL
}
