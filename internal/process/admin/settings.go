package admin

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/version/tree"
)

// Bundle is a complete tree of declarations to plan or apply.
type Bundle struct {
	// Files holds the declarations by path within the tree.
	Files map[string]string `json:"files"`
	// BaseVersion is the version that the tree is based on; 0 means the version
	// in force.
	BaseVersion uint64 `json:"base_version,omitempty"`
	// ChangeID distinguishes a repeated call from a new change.
	ChangeID string `json:"change_id,omitempty"`
	Why      string `json:"why,omitempty"`
	// Rollback is an old version whose content becomes a new version, used
	// instead of Files.
	Rollback uint64 `json:"rollback,omitempty"`
	// WaitMS is the maximum time in milliseconds that apply waits until the
	// version is in force on every member.
	WaitMS int `json:"wait_ms,omitempty"`
}

// Change is one entry of a plan.
type Change struct {
	Path   string `json:"path"`
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
	Effect string `json:"effect,omitempty"`
}

// Plan lists the changes that applying a bundle would make.
type Plan struct {
	BaseVersion uint64   `json:"base_version"`
	Changes     []Change `json:"changes"`
	Warnings    []string `json:"warnings,omitempty"`
}

// Applied is the result of applying a bundle or a drain.
type Applied struct {
	Version uint64 `json:"version"`
	// InForce names the members that have the version, Behind the others.
	InForce []string `json:"in_force"`
	Behind  []string `json:"behind,omitempty"`
	Plan    Plan     `json:"plan"`
}

// Version is an entry of the settings history.
type Version struct {
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"`
	ChangeID string `json:"change_id"`
	Operator string `json:"operator"`
	Why      string `json:"why,omitempty"`
	UnixMS   int64  `json:"unix_ms"`
}

// BranchView is a branch with its effective values at a version.
type BranchView struct {
	Version uint64                `json:"version"`
	Path    string                `json:"path"`
	Values  []tree.EffectiveValue `json:"values"`
}

// Changes plans, applies and lists versions of the settings.
type Changes interface {
	Plan(ctx context.Context, operator string, bundle Bundle) (Plan, error)
	Apply(ctx context.Context, operator string, bundle Bundle) (Applied, error)
	History(ctx context.Context) ([]Version, error)
	// At returns the settings at a version; 0 means the version in force.
	At(ctx context.Context, version uint64) (*cairnbay.Settings, error)
	Drain(ctx context.Context, operator string, spec DrainSpec) (Applied, error)
}

func (a *Admin) plan(c *call) (any, error) {
	var bundle Bundle
	if err := decode(c.request, &bundle); err != nil {
		return nil, err
	}
	return a.config.Changes.Plan(c.request.Context(), c.operator, bundle)
}

func (a *Admin) apply(c *call) (any, error) {
	var bundle Bundle
	if err := decode(c.request, &bundle); err != nil {
		return nil, err
	}
	if bundle.ChangeID == "" {
		return nil, errors.Annotate(cairnbay.ErrInvalid, "change_id is empty: without it a repeated call cannot be distinguished from a new change")
	}
	applied, err := a.config.Changes.Apply(c.request.Context(), c.operator, bundle)
	if err != nil {
		return nil, err
	}
	c.recordChange("settings_applied", strconv.FormatUint(applied.Version, 10), bundle.Why)
	return applied, nil
}

func (a *Admin) history(c *call) (any, error) {
	if err := c.allow(VerbRead, ""); err != nil {
		return nil, err
	}
	return a.config.Changes.History(c.request.Context())
}

func (a *Admin) settings(c *call) (any, error) {
	query := c.request.URL.Query()
	path := query.Get("path")
	if err := c.allow(VerbRead, path); err != nil {
		return nil, err
	}
	version, err := parseVersion(query.Get("version"))
	if err != nil {
		return nil, err
	}
	settings, err := a.config.Changes.At(c.request.Context(), version)
	if err != nil {
		return nil, err
	}
	values, err := tree.Explain(settings, path)
	if err != nil {
		return nil, err
	}
	return BranchView{Version: settings.Version, Path: path, Values: values}, nil
}

// parseVersion parses a version; an empty text returns 0. Errors: ErrInvalid.
func parseVersion(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Annotatef(cairnbay.ErrInvalid, "version %q is not a whole number", text)
	}
	return version, nil
}

// DrainSpec is a request to take an instance, worker or data centre out of
// service or, with Undo, to return it to service.
type DrainSpec struct {
	// Kind is "instance", "worker" or "data_centre".
	Kind string `json:"kind"`
	ID   string `json:"id"`
	Undo bool   `json:"undo,omitempty"`
	Why  string `json:"why,omitempty"`
	// ChangeID distinguishes a repeated call from a new change.
	ChangeID string `json:"change_id"`
}

func (a *Admin) drain(c *call) (any, error) {
	var spec DrainSpec
	if err := decode(c.request, &spec); err != nil {
		return nil, err
	}
	if err := c.allow(VerbDrain, ""); err != nil {
		return nil, err
	}
	applied, err := a.config.Changes.Drain(c.request.Context(), c.operator, spec)
	if err != nil {
		return nil, err
	}
	c.recordChange("drain", spec.Kind+"/"+spec.ID, spec.Why)
	return applied, nil
}

// Records reads audit records.
type Records interface {
	// Read returns the stored records between two times, unprocessed.
	Read(ctx context.Context, from, to time.Time) (any, error)
}

func (a *Admin) records(c *call) (any, error) {
	if err := c.allow(VerbRead, ""); err != nil {
		return nil, err
	}
	query := c.request.URL.Query()
	from, err := parseTime("from", query.Get("from"))
	if err != nil {
		return nil, err
	}
	to, err := parseTime("to", query.Get("to"))
	if err != nil {
		return nil, err
	}
	return a.config.Records.Read(c.request.Context(), from, to)
}

// parseTime parses the query parameter name, an RFC 3339 time; an empty text is
// an error. Errors: ErrInvalid.
func parseTime(name, text string) (time.Time, error) {
	parsed, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, errors.Annotatef(cairnbay.ErrInvalid, "%s %q is not a time such as 2026-12-03T08:00:00Z", name, text)
	}
	return parsed, nil
}
