// Package keys stores idempotency keys and their outcomes at the home member of each
// key. A claim is granted only after a compare-and-swap in the platform's store, so
// that two members that both consider themselves the home cannot both grant it.
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

// BucketCount is the number of store values that the keys are spread over.
const BucketCount = 8

// Verdicts of a KeyResponse; VerdictDone, VerdictUnknown and VerdictNotRun are also
// the outcomes of a KeyRequest.
const (
	// VerdictRun grants the claim: the request may run.
	VerdictRun = "run"
	// VerdictDone means that the request has run.
	VerdictDone = "done"
	// VerdictUnknown means that the request may have run, or that its answer is no
	// longer available.
	VerdictUnknown = "unknown"
	// VerdictReused means that the key was used with a different request.
	VerdictReused = "reused"
	// VerdictNotRun means that the request was not run and the key is not claimed.
	VerdictNotRun = "not_run"
)

const (
	defaultTTL         = time.Hour
	defaultBatchWindow = 5 * time.Millisecond
	// outcomeDelay is the time an outcome may wait to share the write of a claim.
	outcomeDelay = time.Second
	// maxBucketBytes limits an encoded bucket, below the store's limit for a value.
	maxBucketBytes = cairnbay.MaxValueBytes * 9 / 10
	// maxAnswerBytes is the largest answer body that is cached, and maxCachedBytes
	// limits the cached answers of a bucket, bodies and headers.
	maxAnswerBytes = 64 << 10
	maxCachedBytes = 256 << 10
)

var (
	storeWrites = metrics.GetOrCreateCounter("cairnbay_keys_store_writes_total")
	storeReads  = metrics.GetOrCreateCounter("cairnbay_keys_store_reads_total")
	claims      = metrics.GetOrCreateCounter("cairnbay_keys_claims_total")
	joins       = metrics.GetOrCreateCounter("cairnbay_keys_joins_total")
)

// Config holds the dependencies and limits of Keys.
type Config struct {
	// Life identifies this life of the member, from start to exit of its process; it
	// must be random.
	Life  uint64
	Clock cairnbay.Clock
	Store cairnbay.Store
	// BatchWindow is the time a claim waits for others to share its write. Zero means
	// the default of 5 ms, a negative value writes at once.
	BatchWindow time.Duration
	// TTL returns how long the keys of a service are stored; zero, or a nil
	// function, means an hour.
	TTL func(service string) time.Duration
	Log *logrus.Entry
}

// Keys processes claims and outcomes of idempotency keys on their home member.
type Keys struct {
	config  Config
	buckets [BucketCount]*bucket
	ctx     context.Context
	cancel  context.CancelFunc
	writers sync.WaitGroup
}

// New returns Keys that load each bucket from the store on its first write. Close
// stops the writers.
func New(config Config) *Keys {
	if config.BatchWindow == 0 {
		config.BatchWindow = defaultBatchWindow
	}
	ctx, cancel := context.WithCancel(context.Background())
	keys := &Keys{config: config, ctx: ctx, cancel: cancel}
	for i := range keys.buckets {
		keys.buckets[i] = newBucket(keys, i)
	}
	return keys
}

// Close stops the writers and waits for them. Outcomes that are not yet written are
// lost, and repeats of their requests get VerdictUnknown.
func (k *Keys) Close() {
	k.cancel()
	k.writers.Wait()
}

// keyHash is the truncated SHA-256 of a service and a key.
type keyHash [16]byte

func hashKey(service, key string) keyHash {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return keyHash(sum[:16])
}

// BucketOf returns the index of the bucket that stores the key.
func BucketOf(service, key string) int {
	hash := hashKey(service, key)
	return int(binary.BigEndian.Uint64(hash[:8]) % BucketCount)
}

// HandleKey claims a key, or applies the outcome of a request if Finish is set. A
// claim waits while another request with the key is running. The error is always nil.
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
