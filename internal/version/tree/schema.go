package tree

import (
	"strings"
	"time"

	"cairnbay"
)

// Names of settings that the code refers to by constant.
const (
	settingKind    = "kind"
	settingService = "service"
	settingTeam    = "team"
	settingBand    = "placing.band"
)

// Largest accepted values.
const (
	maxCount    = 1_000_000
	maxBytes    = 1 << 40
	maxWeight   = 1_000_000
	maxAttempts = 1000
	maxMilliCPU = 1_000_000_000
	maxMemoryMB = 1_000_000_000
)

// Defaults returns the root's values before its declaration is applied.
func Defaults() cairnbay.Branch {
	return cairnbay.Branch{
		Request: cairnbay.Request{
			Weight:       1,
			QueueLength:  256,
			QueueBytes:   64 << 20,
			Timeout:      30 * time.Second,
			IdleTimeout:  10 * time.Second,
			RetryBudget:  0.1,
			PatientFloor: 0.1,
			MaxBodyBytes: 8 << 20,
			KeyTTL:       24 * time.Hour,
			SlotGrants:   "grants",
		},
		Placing: cairnbay.Placing{
			Band:        cairnbay.BandBatch,
			Weight:      1,
			Borrow:      true,
			MaxAttempts: 3,
			TaskLease:   30 * time.Second,
			MarkWindow:  16,
			AgeBoost:    time.Hour,
			SpreadRacks: true,
			Surge:       1,
		},
	}
}

// schema lists every setting, ordered by name.
var schema = []Field{
	choiceField(settingKind, "Kind of work that the branch describes.", kindNames(),
		func(b *cairnbay.Branch) *string { return (*string)(&b.Kind) }),
	durationField("placing.age_boost", "Waiting time after which a job moves up one band; 0 never moves it.",
		bounds[time.Duration]{0, 365 * 24 * time.Hour},
		func(b *cairnbay.Branch) *time.Duration { return &b.Placing.AgeBoost }),
	bandField(),
	boolField("placing.borrow", "Lets the branch exceed its quota while nobody else wants it.",
		func(b *cairnbay.Branch) *bool { return &b.Placing.Borrow }),
	intField("placing.mark_window", "How many at-most-once tasks one journal write covers.", "tasks",
		bounds[int]{1, 4096}, func(b *cairnbay.Branch) *int { return &b.Placing.MarkWindow }),
	intField("placing.max_attempts", "Bound on the starts of a task.", "starts",
		bounds[int]{1, maxAttempts}, func(b *cairnbay.Branch) *int { return &b.Placing.MaxAttempts }),
	boolField("placing.preempt", "Lets the branch's urgent work hold back patient work.",
		func(b *cairnbay.Branch) *bool { return &b.Placing.Preempt }),
	boundedByParent(intField("placing.quota.accelerators", "Accelerators that the branch may hold; 0 has no bound.", "devices",
		bounds[int64]{0, maxCount}, func(b *cairnbay.Branch) *int64 { return &b.Placing.Quota.Accelerators })),
	boundedByParent(intField("placing.quota.memory_mb", "Memory that the branch may hold; 0 has no bound.", "MB",
		bounds[int64]{0, maxMemoryMB}, func(b *cairnbay.Branch) *int64 { return &b.Placing.Quota.MemoryMB })),
	boundedByParent(intField("placing.quota.milli_cpu", "Processors that the branch may hold; 0 has no bound.",
		"thousandths of a core", bounds[int64]{0, maxMilliCPU},
		func(b *cairnbay.Branch) *int64 { return &b.Placing.Quota.MilliCPU })),
	boolField("placing.spread_racks", "Spreads a service's tasks over racks.",
		func(b *cairnbay.Branch) *bool { return &b.Placing.SpreadRacks }),
	intField("placing.surge", "How many tasks above its count a service may run on a change. Not used yet.", "tasks",
		bounds[int]{0, 1000}, func(b *cairnbay.Branch) *int { return &b.Placing.Surge }),
	durationField("placing.task_lease", "How long a task runs on without a renewal. Not used yet: every task has 15 s.",
		bounds[time.Duration]{time.Second, time.Hour},
		func(b *cairnbay.Branch) *time.Duration { return &b.Placing.TaskLease }),
	floatField("placing.weight", "The branch's share within a band.", bounds[float64]{0.001, maxWeight},
		func(b *cairnbay.Branch) *float64 { return &b.Placing.Weight }),
	intField("request.forward_queue",
		"Waiting requests above which others go to another data centre; 0 forwards only when no local upstream is live.",
		"requests", bounds[int]{0, maxCount}, func(b *cairnbay.Branch) *int { return &b.Request.ForwardQueue }),
	durationField("request.idle_timeout", "Ends an answer that makes no progress.",
		bounds[time.Duration]{100 * time.Millisecond, 24 * time.Hour},
		func(b *cairnbay.Branch) *time.Duration { return &b.Request.IdleTimeout }),
	durationField("request.key_ttl", "How long outcomes of idempotency keys are remembered.",
		bounds[time.Duration]{time.Minute, 30 * 24 * time.Hour},
		func(b *cairnbay.Branch) *time.Duration { return &b.Request.KeyTTL }),
	intField("request.max_body_bytes", "Bound on a request's body.", "bytes",
		bounds[int64]{1, maxBytes}, func(b *cairnbay.Branch) *int64 { return &b.Request.MaxBodyBytes }),
	floatField("request.patient_floor", "Share of slots that patient work keeps.", bounds[float64]{0, 1},
		func(b *cairnbay.Branch) *float64 { return &b.Request.PatientFloor }),
	intField("request.queue_bytes", "Bound on the bytes of waiting requests on one entry instance.", "bytes",
		bounds[int64]{1, maxBytes}, func(b *cairnbay.Branch) *int64 { return &b.Request.QueueBytes }),
	intField("request.queue_length", "Bound on the waiting requests on one entry instance.", "requests",
		bounds[int]{1, maxCount}, func(b *cairnbay.Branch) *int { return &b.Request.QueueLength }),
	floatField("request.retry_budget", "Share of requests that may be retried (0.1 is 10 %).", bounds[float64]{0, 1},
		func(b *cairnbay.Branch) *float64 { return &b.Request.RetryBudget }),
	choiceField("request.slot_grants", "How slots of upstreams are shared.",
		[]string{"grants", "equal", "least_loaded"},
		func(b *cairnbay.Branch) *string { return &b.Request.SlotGrants }),
	boolField("request.streams_outside_slots", "Counts long answers apart from slots.",
		func(b *cairnbay.Branch) *bool { return &b.Request.StreamsOutsideSlots }),
	durationField("request.timeout", "Deadline where the caller names none.",
		bounds[time.Duration]{10 * time.Millisecond, 24 * time.Hour},
		func(b *cairnbay.Branch) *time.Duration { return &b.Request.Timeout }),
	floatField("request.weight", "The team's share within a band.", bounds[float64]{0.001, maxWeight},
		func(b *cairnbay.Branch) *float64 { return &b.Request.Weight }),
	nameField(settingService, "Service whose requests the branch governs; set on one branch only.",
		func(b *cairnbay.Branch) *string { return &b.Service }),
	nameField(settingTeam, "Team whose weight and quota the branch sets; set on one branch only.",
		func(b *cairnbay.Branch) *string { return &b.Team }),
}

// fields maps names to the settings of the schema.
var fields = func() map[string]Field {
	byName := make(map[string]Field, len(schema))
	for _, field := range schema {
		byName[field.Name] = field
	}
	return byName
}()

// Schema returns every setting, ordered by name.
func Schema() []Field {
	return append([]Field(nil), schema...)
}

func kindNames() []string {
	return []string{string(cairnbay.KindService), string(cairnbay.KindBatch), string(cairnbay.KindGang)}
}

func bandField() Field {
	var names []string
	for band := range cairnbay.Bands {
		names = append(names, band.String())
	}
	return Field{
		Name: settingBand, Doc: "Band of the branch's tasks, the most urgent first.",
		Accepts: "one of " + strings.Join(names, ", "),
		set: func(branch *cairnbay.Branch, text string) error {
			return branch.Placing.Band.UnmarshalText([]byte(text))
		},
		format: func(branch *cairnbay.Branch) string { return branch.Placing.Band.String() },
	}
}
