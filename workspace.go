package cairnbay

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest is the SHA-256 digest of an API key. Keys are kept and compared as
// digests only.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// keyPrefixBytes is the part of a digest that logs may show. It tells the keys of
// a configuration apart and does not help to guess one.
const keyPrefixBytes = 4

// String returns the first bytes of the digest in hexadecimal.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:keyPrefixBytes])
}

// MarshalText is String, so that no encoding of a configuration shows a whole digest.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// Workspace is a tenant of the operators' configuration: the callers that share a
// quota.
type Workspace struct {
	Name string
	// Weight is the workspace's relative share of a class that is full, and the number
	// of jobs a second that it is entitled to.
	Weight float64
	// Quota limits what the workspace may have running on all workers; a dimension
	// that is 0 has no limit.
	Quota Resources
	// Keys are the digests of the API keys that authenticate its callers.
	Keys []KeyDigest
}
