package cairnbay

import "context"

// InstanceKind is the role of an instance on the platform's list.
type InstanceKind string

// Kinds of instances.
const (
	// InstanceEntry is an entry instance: an instance of cairnbay, through which
	// callers enter the system.
	InstanceEntry InstanceKind = "entry"
	// InstanceWorker runs tasks.
	InstanceWorker InstanceKind = "worker"
	// InstanceUpstream answers requests for one service.
	InstanceUpstream InstanceKind = "upstream"
)

// Instance is one row of the platform's list.
type Instance struct {
	ID         string       `json:"id"`
	Kind       InstanceKind `json:"kind"`
	DataCentre string       `json:"data_centre"`
	Rack       string       `json:"rack,omitempty"`
	// Class is the worker class, a named pool of workers ("survey"). For an
	// upstream it is the service.
	Class string `json:"class,omitempty"`
	// Address is IP:port: the control address of a worker, the HTTP address of an
	// upstream, or the member address of an entry instance.
	Address string `json:"address"`
	// Leaving means that the instance takes no new work.
	Leaving  bool      `json:"leaving,omitempty"`
	Capacity Resources `json:"capacity,omitzero"`
	// Slots and Connections limit the concurrent requests and open connections of
	// an upstream.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
}

// Snapshot is the platform's list at one point in time. It may be several
// seconds old.
type Snapshot struct {
	Instances []Instance `json:"instances"`
}

// Lister reads the platform's list of instances.
type Lister interface {
	// List returns the current list, which may be outdated or temporarily lack an
	// instance. Errors: ErrUnavailable.
	List(ctx context.Context) (Snapshot, error)
}
