package cairnbay

import "time"

// Settings is one version of the operators' settings tree with inheritance
// resolved. It is immutable once published.
type Settings struct {
	Version  uint64
	Digest   string
	ChangeID string
	// Branches maps paths ("vihmavesi/quoting") to branches; the root has the
	// empty path.
	Branches map[string]*Branch
	// Services maps the name of a service to its branch.
	Services map[string]*Branch
	// Teams maps the name of a team to the branch that sets its weight and quota.
	Teams map[string]*Branch
	// Operators lists the operators and their rights.
	Operators []Operator
	// Drains lists the instances, workers and data centres that get no new work.
	Drains []Drain
}

// Branch is a node of the settings tree with all inherited values resolved.
type Branch struct {
	Path    string  `json:"path"`
	Kind    Kind    `json:"kind,omitempty"`
	Team    string  `json:"team,omitempty"`
	Service string  `json:"service,omitempty"`
	Request Request `json:"request"`
	Placing Placing `json:"placing"`
	// Origins maps the dotted name of each value to the path of the branch that
	// sets it.
	Origins map[string]string `json:"-"`
}

// Request holds the settings for requests to a service.
type Request struct {
	// Weight is the relative share of the team within a band.
	Weight float64 `json:"weight"`
	// QueueLength and QueueBytes limit the queued requests of a service on one
	// entry instance.
	QueueLength int   `json:"queue_length"`
	QueueBytes  int64 `json:"queue_bytes"`
	// Timeout is the deadline of requests for which the caller sets none.
	Timeout time.Duration `json:"timeout"`
	// IdleTimeout ends an exchange that makes no progress; 0 uses the default of
	// the router.
	IdleTimeout time.Duration `json:"idle_timeout"`
	// RetryBudget is the share of requests that may be retried (0.1 is 10 %).
	RetryBudget float64 `json:"retry_budget"`
	// PatientFloor is the minimum share, from 0 to 1, of the slots and of the
	// queue length for patient requests.
	PatientFloor float64 `json:"patient_floor"`
	// ForwardQueue is the queue length above which requests are forwarded to
	// another data centre; 0 forwards only if no local upstream is live.
	ForwardQueue int `json:"forward_queue"`
	// MaxBodyBytes limits the body of a request.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// StreamsOutsideSlots frees the slot of an answer of unknown length as soon as
	// its body is streamed.
	StreamsOutsideSlots bool `json:"streams_outside_slots"`
	// KeyTTL is how long outcomes of idempotency keys are stored.
	KeyTTL time.Duration `json:"key_ttl"`
	// SlotGrants selects how entry instances share the slots of an upstream:
	// "grants", "equal" or "least_loaded".
	SlotGrants string `json:"slot_grants"`
}

// Placing holds the settings for tasks on workers.
type Placing struct {
	Band Band `json:"band"`
	// Weight is the relative share of the branch within a band.
	Weight float64 `json:"weight"`
	// Quota limits the resources of the branch's tasks; a zero dimension is
	// unlimited.
	Quota Resources `json:"quota"`
	// Borrow lets the branch exceed its quota while no other branch needs the
	// capacity.
	Borrow bool `json:"borrow"`
	// MaxAttempts limits the starts of a task.
	MaxAttempts int `json:"max_attempts"`
	// TaskLease is how long a task keeps running without a lease renewal.
	TaskLease time.Duration `json:"task_lease"`
	// MarkWindow is the number of at-most-once tasks that one mark permits to
	// start. A mark is a journal entry written before the starts; it tells a new
	// owner which tasks may have run.
	MarkWindow int `json:"mark_window"`
	// AgeBoost moves a waiting job up one band for each such period in which its
	// team has started no work of the job's band; 0 disables it.
	AgeBoost time.Duration `json:"age_boost"`
	// Preempt lets the branch's urgent work preempt patient work.
	Preempt bool `json:"preempt"`
	// SpreadRacks spreads a service's tasks over racks.
	SpreadRacks bool `json:"spread_racks"`
	// Surge is how many tasks above its declared count a service may run during a
	// change. Placement does not use it.
	Surge int `json:"surge"`
}

// DrainKind is the scope of a Drain.
type DrainKind string

// Kinds of drains.
const (
	// DrainInstance drains an entry instance or an upstream.
	DrainInstance DrainKind = "instance"
	// DrainWorker drains a worker.
	DrainWorker DrainKind = "worker"
	// DrainDataCentre drains all instances in a data centre.
	DrainDataCentre DrainKind = "data_centre"
)

// Drain stops new work for an instance, a worker or a data centre.
type Drain struct {
	Kind DrainKind `json:"kind"`
	ID   string    `json:"id"`
}

// Covers reports whether the drain applies to the instance.
func (d Drain) Covers(instance Instance) bool {
	switch d.Kind {
	case DrainDataCentre:
		return instance.DataCentre == d.ID
	case DrainWorker:
		return instance.Kind == InstanceWorker && instance.ID == d.ID
	case DrainInstance:
		return instance.Kind != InstanceWorker && instance.ID == d.ID
	default:
		return false
	}
}

// Operator is a person or program with rights on branches.
type Operator struct {
	Name string `json:"name"`
	// TokenHash is the hex SHA-256 of a bearer token; CertName is the common
	// name of a client certificate.
	TokenHash string `json:"token_hash,omitempty"`
	CertName  string `json:"cert_name,omitempty"`
	// Read, Change and Drain list the path prefixes on which each right applies.
	Read   []string `json:"read,omitempty"`
	Change []string `json:"change,omitempty"`
	Drain  []string `json:"drain,omitempty"`
}

// SettingsSource provides the settings version in force.
type SettingsSource interface {
	// Current returns the version in force, nil before the first.
	Current() *Settings
	// OnChange registers a callback for new versions, called in ascending order of
	// version.
	OnChange(adopted func(*Settings))
}
