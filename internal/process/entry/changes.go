package entry

import (
	"context"
	"fmt"
	"slices"
	"testing/fstest"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/admin"
	"cairnbay/internal/version/apply"
	"cairnbay/internal/version/tree"
)

// historyLimit bounds the number of versions that History returns.
const historyLimit = 200

// drainAdoptionTimeout bounds the wait until a drain is in force on every live
// member.
const drainAdoptionTimeout = 5 * time.Second

// changes implements admin.Changes on the settings in the store.
type changes struct {
	applier *apply.Applier
	entry   *Entry
	rights  *rights
}

func newChanges(entry *Entry) *changes {
	return &changes{
		applier: apply.New(apply.Config{Store: entry.budget.For(cairnbay.PurposeSettings), Clock: entry.config.Clock}),
		entry:   entry,
		rights:  &rights{settings: entry.follower},
	}
}

// Plan implements admin.Changes.
func (c *changes) Plan(ctx context.Context, operator string, bundle admin.Bundle) (admin.Plan, error) {
	request, err := c.loadRequest(operator, bundle)
	if err != nil {
		return admin.Plan{}, err
	}
	plan, err := c.applier.Plan(ctx, request, c.workerCapacity())
	if err != nil {
		return admin.Plan{}, err
	}
	return toAdminPlan(plan), nil
}

// Apply implements admin.Changes.
func (c *changes) Apply(ctx context.Context, operator string, bundle admin.Bundle) (admin.Applied, error) {
	result, err := c.apply(ctx, operator, bundle)
	if err != nil {
		return admin.Applied{}, err
	}
	return c.awaitAdoption(ctx, result, time.Duration(bundle.WaitMS)*time.Millisecond), nil
}

// apply stores a new version: the content of the version bundle.Rollback if set,
// otherwise the bundle's files.
func (c *changes) apply(ctx context.Context, operator string, bundle admin.Bundle) (apply.Result, error) {
	if bundle.Rollback != 0 {
		return c.applier.Rollback(ctx, bundle.Rollback, c.newRequest(operator, bundle))
	}
	request, err := c.loadRequest(operator, bundle)
	if err != nil {
		return apply.Result{}, err
	}
	return c.applier.Apply(ctx, request)
}

// loadRequest builds a request from the bundle's files. Errors: ErrInvalid, which
// lists every fault in the files.
func (c *changes) loadRequest(operator string, bundle admin.Bundle) (apply.Request, error) {
	files := make(fstest.MapFS, len(bundle.Files))
	for path, content := range bundle.Files {
		files[path] = &fstest.MapFile{Data: []byte(content)}
	}
	loaded, err := tree.Load(files)
	if err != nil {
		return apply.Request{}, err
	}
	request := c.newRequest(operator, bundle)
	request.Tree = loaded
	return request, nil
}

// newRequest returns a request without a settings tree. BaseVersion 0
// overwrites the newest version.
func (c *changes) newRequest(operator string, bundle admin.Bundle) apply.Request {
	return apply.Request{
		Base: bundle.BaseVersion, Overwrite: bundle.BaseVersion == 0, ChangeID: bundle.ChangeID, Who: operator, Why: bundle.Why,
		Authorize: func(path string) error { return c.rights.Allow(operator, admin.VerbChange, path) },
	}
}

// awaitAdoption waits until the version is in force on every live member, at
// most for the given time, and lists the members in force and behind.
func (c *changes) awaitAdoption(ctx context.Context, result apply.Result, wait time.Duration) admin.Applied {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	behind := apply.AwaitAdoption(ctx, c.entry.config.Clock, c.entry.member, result.Record.Version)
	applied := admin.Applied{Version: result.Record.Version, Plan: toAdminPlan(result.Plan)}
	isBehind := make(map[string]bool, len(behind))
	for _, member := range behind {
		isBehind[member.ID] = true
		applied.Behind = append(applied.Behind, member.ID)
	}
	for _, member := range c.entry.member.Live() {
		if !isBehind[member.ID] {
			applied.InForce = append(applied.InForce, member.ID)
		}
	}
	return applied
}

// workerCapacity sums the capacity of all listed workers, for the warnings of a
// plan.
func (c *changes) workerCapacity() cairnbay.Resources {
	var total cairnbay.Resources
	for _, instance := range c.entry.roster.Instances() {
		if instance.Kind == cairnbay.InstanceWorker {
			total = total.Add(instance.Capacity)
		}
	}
	return total
}

func toAdminPlan(plan apply.Plan) admin.Plan {
	view := admin.Plan{BaseVersion: plan.Version}
	for _, change := range plan.Changes {
		path := change.Path
		if change.Name != "" {
			path = fmt.Sprintf("%s: %s", path, change.Name)
		}
		view.Changes = append(view.Changes, admin.Change{Path: path, From: change.Old, To: change.New})
	}
	for _, warning := range plan.Warnings {
		view.Warnings = append(view.Warnings, warning.String())
	}
	return view
}

// History implements admin.Changes.
func (c *changes) History(ctx context.Context) ([]admin.Version, error) {
	records, err := c.applier.History(ctx, historyLimit)
	if err != nil {
		return nil, err
	}
	versions := make([]admin.Version, 0, len(records))
	for _, record := range records {
		versions = append(versions, admin.Version{
			Version: record.Version, Digest: record.Digest, ChangeID: record.ChangeID,
			Operator: record.Who, Why: record.Why, UnixMS: record.UnixMS,
		})
	}
	return versions, nil
}

// At implements admin.Changes.
func (c *changes) At(ctx context.Context, version uint64) (*cairnbay.Settings, error) {
	current := c.entry.follower.Current()
	if version == 0 || (current != nil && current.Version == version) {
		if current == nil {
			return nil, errors.Annotate(cairnbay.ErrUnavailable, "no settings are in force yet")
		}
		return current, nil
	}
	past, err := c.applier.Get(ctx, version)
	if err != nil {
		return nil, err
	}
	return past.Resolve(version)
}

// Drain implements admin.Changes. A new drain must cover a listed instance; an
// undo need not, so that the drain of a removed instance can be undone.
func (c *changes) Drain(ctx context.Context, operator string, spec admin.DrainSpec) (admin.Applied, error) {
	drain := cairnbay.Drain{Kind: cairnbay.DrainKind(spec.Kind), ID: spec.ID}
	if !spec.Undo && !c.matchesListedInstance(drain) {
		return admin.Applied{}, errors.Annotatef(cairnbay.ErrNotFound, "%s %q on the platform's list", spec.Kind, spec.ID)
	}
	result, err := c.applier.Apply(ctx, apply.Request{
		Edit:     func(newest *tree.Tree) (*tree.Tree, error) { return newest.WithDrain(drain, spec.Undo) },
		ChangeID: spec.ChangeID, Who: operator, Why: spec.Why,
		Authorize: func(path string) error { return c.rights.Allow(operator, admin.VerbDrain, path) },
	})
	if err != nil {
		return admin.Applied{}, err
	}
	return c.awaitAdoption(ctx, result, drainAdoptionTimeout), nil
}

// matchesListedInstance reports whether the drain covers an instance on the
// platform's list.
func (c *changes) matchesListedInstance(drain cairnbay.Drain) bool {
	return slices.ContainsFunc(c.entry.roster.Instances(), drain.Covers)
}
