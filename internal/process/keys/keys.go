// Package keys stores idempotency keys and their outcomes at the home member of each
// key, which is the home of the key's bucket. A claim is granted only after a
// compare-and-swap in the platform's store, so that two members cannot both grant it
// when their member lists differ and each is the home by its own list.
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

// BucketCount is the number of store values that the keys are spread over. With another
// count, claims made before are no longer found.
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
	// defaultTTL and defaultBatchWindow apply where Config gives no value.
	defaultTTL         = time.Hour
	defaultBatchWindow = 5 * time.Millisecond
	// outcomeDelay is the longest time that an outcome waits to share the write of a
	// claim; it is then written alone.
	outcomeDelay = time.Second
	// maxBucketBytes limits an encoded bucket, below the store's limit for a value.
	maxBucketBytes = cairnbay.MaxValueBytes * 9 / 10
	// maxAnswerBytes is the largest answer body that is cached.
	maxAnswerBytes = 64 << 10
	// maxCachedBytes limits the total of the cached answers of a bucket, bodies and
	// headers.
	maxCachedBytes = 256 << 10
)

var (
	storeWritesTotal = metrics.GetOrCreateCounter("cairnbay_keys_store_writes_total")
	storeReadsTotal  = metrics.GetOrCreateCounter("cairnbay_keys_store_reads_total")
	claimsTotal      = metrics.GetOrCreateCounter("cairnbay_keys_claims_total")
	// joinsTotal counts the claims that waited for a running request with the same key and
	// digest.
	joinsTotal = metrics.GetOrCreateCounter("cairnbay_keys_joins_total")
)

// Config holds the dependencies and limits of Keys.
type Config struct {
	// Life identifies this process of the member. It must be random, so that no earlier
	// or later process of the member has the same value.
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

// HandleKey claims a key, or applies the outcome of a request if Finish is set. An
// outcome is ignored if its request does not hold the claim; the verdict is VerdictDone
// in both cases. A claim waits while another request with the same key and digest runs;
// if ctx ends first, the verdict is VerdictNotRun. The error is always nil.
func (k *Keys) HandleKey(ctx context.Context, request *cairnbayv1.KeyRequest) (*cairnbayv1.KeyResponse, error) {
	bucket := k.buckets[BucketOf(request.GetService(), request.GetKey())]
	if request.GetFinish() {
		bucket.finish(request)
		return &cairnbayv1.KeyResponse{Verdict: VerdictDone}, nil
	}
	claimsTotal.Inc()
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
