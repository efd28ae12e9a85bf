package store

import "cairnbay"

// CallerHeader carries the ID of the calling instance.
const CallerHeader = "Cairnbay-Caller"

// Paths of the service.
const (
	PathKeys   = "/v1/keys"
	PathList   = "/v1/list"
	PathLeases = "/v1/leases"
	PathRenew  = "/v1/leases/renew"
	PathWatch  = "/v1/watch"
)

// WireEntry is a key with its value; the value is base64 in JSON.
type WireEntry struct {
	Key      string            `json:"key"`
	Value    []byte            `json:"value,omitempty"`
	Revision cairnbay.Revision `json:"revision"`
	Lease    cairnbay.LeaseID  `json:"lease,omitempty"`
}

// WireListing is the answer to a list.
type WireListing struct {
	Entries  []WireEntry       `json:"entries"`
	Revision cairnbay.Revision `json:"revision"`
}

// WirePut is the request of a compare-and-swap.
type WirePut struct {
	Key    string            `json:"key"`
	Value  []byte            `json:"value"`
	Expect cairnbay.Revision `json:"expect"`
	Lease  cairnbay.LeaseID  `json:"lease,omitempty"`
}

// WireRevision is the answer to a put.
type WireRevision struct {
	Revision cairnbay.Revision `json:"revision"`
}

// WireLease is the request of a grant (TTLMS, in milliseconds), the answer to it
// (Lease), and the request of a renewal (Lease).
type WireLease struct {
	Lease cairnbay.LeaseID `json:"lease,omitempty"`
	TTLMS int64            `json:"ttl_ms,omitempty"`
}

// WireEvent is one event of a watch.
type WireEvent struct {
	Kind  cairnbay.EventKind `json:"kind"`
	Entry WireEntry          `json:"entry"`
}

// WireEvents is the answer to a long poll; it is empty if no event came before the
// wait ended.
type WireEvents struct {
	Events []WireEvent `json:"events"`
}

// WireError is the answer to a failed call; Code is the text of a sentinel error.
type WireError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// ToWire converts an entry to the wire format.
func ToWire(entry cairnbay.Entry) WireEntry {
	return WireEntry(entry)
}

// FromWire converts an entry from the wire format.
func FromWire(entry WireEntry) cairnbay.Entry {
	return cairnbay.Entry(entry)
}
