package report

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/audit"
)

// State is what the records show of a promise.
type State string

// States of a promise.
const (
	// StateHeld says that checks were recorded and none failed, in the time
	// that the records cover.
	StateHeld State = "held"
	// StateBroken says that a check failed.
	StateBroken State = "broken"
	// StateNotShown says that nothing was checked, or that the chain is not
	// intact.
	StateNotShown State = "cannot_be_shown"
)

// PromiseLine is the verdict on one promise.
type PromiseLine struct {
	Promise cairnbay.Promise `json:"promise"`
	State   State            `json:"state"`
	Held    uint64           `json:"held"`
	Broken  uint64           `json:"broken"`
	// Why says why the promise cannot be shown.
	Why      string     `json:"why,omitempty"`
	Evidence []Evidence `json:"evidence,omitempty"`
}

// Evidence is one failed check.
type Evidence struct {
	UnixMS   int64             `json:"unix_ms"`
	Instance string            `json:"instance"`
	Name     string            `json:"name"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// maxEvidence bounds the evidence shown a promise.
const maxEvidence = 50

func judgePromises(verified audit.Verified) []PromiseLine {
	lines := make([]PromiseLine, 0, len(cairnbay.AllPromises()))
	for _, promise := range cairnbay.AllPromises() {
		line := PromiseLine{Promise: promise}
		for _, record := range verified.Records {
			line.addRecord(record)
		}
		if promise == cairnbay.PromiseSettings {
			line.addVersions(verified.Records)
		}
		line.settle(verified)
		lines = append(lines, line)
	}
	return lines
}

func (p *PromiseLine) addRecord(record *cairnbayv1.AuditRecord) {
	for _, counted := range record.Promises {
		if counted.Promise == string(p.Promise) {
			p.Held += counted.Held
			p.Broken += counted.Broken
		}
	}
	for _, exception := range record.Exceptions {
		if exception.Broken && exception.Promise == string(p.Promise) {
			p.addEvidence(Evidence{
				UnixMS: exception.UnixMs, Instance: record.Instance, Name: exception.Name, Fields: exception.Fields,
			})
		}
	}
}

func (p *PromiseLine) addEvidence(evidence Evidence) {
	if len(p.Evidence) < maxEvidence {
		p.Evidence = append(p.Evidence, evidence)
	}
}

func (p *PromiseLine) settle(verified audit.Verified) {
	switch {
	case p.Broken > 0:
		p.State = StateBroken
	case len(verified.Faults) > 0:
		p.State = StateNotShown
		p.Why = fmt.Sprintf("the chain of records has %d faults", len(verified.Faults))
	case p.Held == 0:
		p.State = StateNotShown
		p.Why = "no check was recorded"
	default:
		p.State = StateHeld
	}
}

// sight is a settings version on one life of an instance.
type sight struct {
	version uint64
	unixMS  int64
}

// sighted is what one life saw of settings.
type sighted struct {
	instance string
	started  int64
	from     int64
	until    int64
	sights   []sight
	cuts     []cut
}

// cut is when a life was cut off.
type cut struct{ from, until int64 }

// settingsWithinMS is how soon a version has to be in force everywhere.
const settingsWithinMS = int64(12 * time.Second / time.Millisecond)

// addVersions checks over all instances that no version went back and that
// each was in force everywhere in time, counted from the first sight of it.
func (p *PromiseLine) addVersions(records []*cairnbayv1.AuditRecord) {
	lives := sightedLives(records)
	for _, life := range lives {
		p.checkRising(life)
	}
	for version, first := range firstSights(lives) {
		for _, life := range lives {
			p.checkInForce(version, first, life)
		}
	}
}

func sightedLives(records []*cairnbayv1.AuditRecord) []*sighted {
	var lives []*sighted
	for _, record := range records {
		index := slices.IndexFunc(lives, func(known *sighted) bool {
			return known.instance == record.Instance && known.started == record.StartedUnixMs
		})
		if index < 0 {
			index = len(lives)
			lives = append(lives, &sighted{instance: record.Instance, started: record.StartedUnixMs, from: record.FromUnixMs})
		}
		lives[index].add(record)
	}
	return lives
}

func (s *sighted) add(record *cairnbayv1.AuditRecord) {
	s.until = record.UntilUnixMs
	for _, version := range record.Versions {
		s.sights = append(s.sights, sight{version: version.Version, unixMS: version.UnixMs})
	}
	for _, exception := range record.Exceptions {
		if exception.Name != audit.CutOffName {
			continue
		}
		from, fromErr := strconv.ParseInt(exception.Fields[audit.CutOffFrom], 10, 64)
		until, untilErr := strconv.ParseInt(exception.Fields[audit.CutOffUntil], 10, 64)
		if fromErr == nil && untilErr == nil {
			s.cuts = append(s.cuts, cut{from: from, until: until})
		}
	}
}

func firstSights(lives []*sighted) map[uint64]int64 {
	first := make(map[uint64]int64)
	for _, life := range lives {
		for _, sight := range life.sights {
			if known, ok := first[sight.version]; !ok || sight.unixMS < known {
				first[sight.version] = sight.unixMS
			}
		}
	}
	return first
}

func (p *PromiseLine) checkRising(life *sighted) {
	for i := 1; i < len(life.sights); i++ {
		before, after := life.sights[i-1], life.sights[i]
		if after.version >= before.version {
			p.Held++
			continue
		}
		p.breakSettings(life, after.unixMS, "settings_reverted", before.version, after.version)
	}
}

func (p *PromiseLine) breakSettings(life *sighted, unixMS int64, name string, want, got uint64) {
	p.Broken++
	p.addEvidence(Evidence{
		UnixMS: unixMS, Instance: life.instance, Name: name,
		Fields: map[string]string{"expected_version": strconv.FormatUint(want, 10), "version": strconv.FormatUint(got, 10)},
	})
}

// checkInForce counts from the latest of the version's first sight anywhere,
// the life's start and the end of a cut.
func (p *PromiseLine) checkInForce(version uint64, first int64, life *sighted) {
	due := max(first, life.started)
	for _, cut := range life.cuts {
		if cut.from <= due+settingsWithinMS && cut.until > due {
			due = cut.until
		}
	}
	due += settingsWithinMS
	if due > life.until || due < life.from {
		return
	}
	best := uint64(0)
	for _, sight := range life.sights {
		if sight.unixMS <= due {
			best = max(best, sight.version)
		}
	}
	if best >= version {
		p.Held++
		return
	}
	p.breakSettings(life, due, "settings_late", version, best)
}

// text writes evidence on one line.
func (e Evidence) text() string {
	var parts []string
	for name, value := range e.Fields {
		parts = append(parts, name+"="+value)
	}
	slices.Sort(parts)
	return fmt.Sprintf("%s %s on %s: %s", timeText(e.UnixMS), e.Name, e.Instance, strings.Join(parts, ", "))
}

func timeText(unixMS int64) string {
	return time.UnixMilli(unixMS).UTC().Format("2006-01-02 15:04:05.000Z")
}
