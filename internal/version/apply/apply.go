// Package apply creates versions of the operators' settings and brings them into
// force. Applier commits a version by one compare-and-swap on the store; Follower
// adopts versions on a member, from the store or from other members.
package apply

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/platform/budget"
	"cairnbay/internal/version/tree"
)

// Config configures an Applier.
type Config struct {
	// Store is the store client for cairnbay.PurposeSettings.
	Store cairnbay.Store
	Clock cairnbay.Clock
	// RetainedVersions is the number of newest versions whose content is retained;
	// 0 means 1,000.
	RetainedVersions uint64
	// ChunkBytes is the maximum size of a content chunk, in bytes; 0 means 900 KiB.
	ChunkBytes int
}

// Applier reads and writes versions. It is stateless between calls.
type Applier struct {
	config Config
}

// New returns an Applier with defaults for the zero fields of config.
func New(config Config) *Applier {
	if config.RetainedVersions == 0 {
		config.RetainedVersions = defaultRetainedVersions
	}
	if config.ChunkBytes == 0 {
		config.ChunkBytes = defaultChunkBytes
	}
	return &Applier{config: config}
}

// Request is a change requested by an operator.
type Request struct {
	// Tree holds the operator's declarations. Its drains are ignored: those of the
	// newest version are preserved.
	Tree *tree.Tree
	// Edit, if not nil, derives the new tree from the newest one; Tree is then
	// ignored.
	Edit func(newest *tree.Tree) (*tree.Tree, error)
	// Base is the version from which Tree was edited; changes made by others since
	// then are preserved. 0 means the empty tree.
	Base uint64
	// Overwrite uses the newest version as Base, so that Tree replaces all its
	// declarations. A version committed by others while the request is being applied
	// counts as a change since Base.
	Overwrite bool
	// ChangeID identifies the change; Apply requires it. A repeated ID is recognised
	// while its record is among the last 64 versions and is applied again after that.
	ChangeID string
	// Who is the operator and Why the stated reason, for the record.
	Who string
	Why string
	// Authorize returns an error for a path that the operator must not change; nil
	// allows all paths.
	Authorize func(path string) error
}

// Plan describes the effect that a request would have.
type Plan struct {
	// Version is the newest version, on which the plan is based.
	Version uint64 `json:"version"`
	// Changes lists the changed declarations against that version.
	Changes []tree.Change `json:"changes"`
	// Effect is the difference between the resolved settings.
	Effect tree.Effect `json:"effect"`
	// Warnings is set by Applier.Plan only, not in a Result.
	Warnings []tree.Fault `json:"warnings,omitempty"`
	// Merged is the tree of the new version.
	Merged *tree.Tree `json:"-"`
}

// Result is the outcome of an applied request.
type Result struct {
	// Record is the record of the version that contains the change.
	Record Record `json:"record"`
	// Repeated means that the change ID had been applied before.
	Repeated bool `json:"repeated,omitempty"`
	// Unchanged means that the newest version already contained the change, so
	// that no version was created.
	Unchanged bool `json:"unchanged,omitempty"`
	// Plan is the applied plan, without warnings; zero if Repeated.
	Plan Plan `json:"plan"`
}

// Plan returns the effect that a request would have, without applying it. total is
// the capacity of all workers, for the warnings. Errors: ErrConflict with
// tree.Conflicts, ErrInvalid with tree.Faults, the errors of request.Edit and
// request.Authorize, ErrNotFound if the content of Base was pruned, and errors of the
// store.
func (a *Applier) Plan(ctx context.Context, request Request, total cairnbay.Resources) (Plan, error) {
	head, _, err := readHead(ctx, a.config.Store)
	if err != nil {
		return Plan{}, err
	}
	plan, err := a.plan(ctx, head, resolveBase(request, head))
	if err != nil {
		return Plan{}, err
	}
	plan.Warnings = plan.Merged.Warnings(total)
	return plan, nil
}

func (a *Applier) plan(ctx context.Context, head Head, request Request) (Plan, error) {
	newest, err := readTree(ctx, a.config.Store, head.Record)
	if err != nil {
		return Plan{}, err
	}
	merged, err := a.merge(ctx, head, newest, request)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{Version: head.Version, Changes: tree.Diff(newest, merged), Merged: merged}
	if err := authorize(request, plan.Changes); err != nil {
		return Plan{}, err
	}
	plan.Effect, err = computeEffect(newest, merged)
	return plan, err
}

// merge applies the operator's changes since the base to the newest tree.
func (a *Applier) merge(ctx context.Context, head Head, newest *tree.Tree, request Request) (*tree.Tree, error) {
	if request.Edit != nil {
		return request.Edit(newest)
	}
	if request.Base == head.Version {
		return request.Tree.WithDrains(newest.Drains)
	}
	record, err := baseRecord(ctx, a.config.Store, head, request.Base)
	if err != nil {
		return nil, err
	}
	base, err := readTree(ctx, a.config.Store, record)
	if err != nil {
		return nil, err
	}
	desired, err := request.Tree.WithDrains(base.Drains)
	if err != nil {
		return nil, err
	}
	return tree.Merge(base, desired, newest)
}

// baseRecord returns the record of a version; for version 0 it is the zero record,
// which stands for the empty tree.
func baseRecord(ctx context.Context, store cairnbay.Store, head Head, version uint64) (Record, error) {
	if version == 0 {
		return Record{}, nil
	}
	return readRecord(ctx, store, head, version)
}

// authorize checks every changed path with request.Authorize.
func authorize(request Request, changes []tree.Change) error {
	if request.Authorize == nil {
		return nil
	}
	for _, change := range changes {
		if err := request.Authorize(change.Path); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// computeEffect compares the resolved settings of two trees.
func computeEffect(old, new *tree.Tree) (tree.Effect, error) {
	before, err := old.ResolveVersion(tree.VersionInfo{})
	if err != nil {
		return tree.Effect{}, errors.Trace(err)
	}
	after, err := new.ResolveVersion(tree.VersionInfo{})
	if err != nil {
		return tree.Effect{}, errors.Trace(err)
	}
	return tree.EffectOf(before, after), nil
}

// Apply creates a new version from the request. Changes to different settings since
// Base are merged; a setting that others changed differently since Base fails with
// ErrConflict. Edit is applied to the newest tree at each attempt.
//
// Errors: those of Plan, ErrInvalid without a change ID, and errors of the store, after
// which no version was created; ErrUnknown if the outcome could not be determined
// before the context ended. A repeated request with the same change ID then returns the
// version if it was committed, and is applied otherwise.
func (a *Applier) Apply(ctx context.Context, request Request) (Result, error) {
	if request.ChangeID == "" {
		return Result{}, errors.Annotate(cairnbay.ErrInvalid, "change has no ID")
	}
	for {
		head, revision, err := readHead(ctx, a.config.Store)
		if err != nil {
			return Result{}, err
		}
		request = resolveBase(request, head)
		result, err := a.tryApply(ctx, head, revision, request)
		if !errors.Is(err, errRaced) {
			return result, err
		}
	}
}

// resolveBase sets the base of an Overwrite request to the newest version. Later
// attempts use the same base, so that changes by others in between are detected.
func resolveBase(request Request, head Head) Request {
	if request.Overwrite {
		request.Base, request.Overwrite = head.Version, false
	}
	return request
}

// errRaced means that another version was committed first; the request had no effect
// and can be retried.
const errRaced = errors.ConstError("another version was committed first")

// tryApply applies a request to the given head. Errors: those of Apply, errRaced.
func (a *Applier) tryApply(
	ctx context.Context, head Head, revision cairnbay.Revision, request Request,
) (Result, error) {
	if record, ok := head.findChange(request.ChangeID); ok {
		return Result{Record: record, Repeated: true}, nil
	}
	plan, err := a.plan(ctx, head, request)
	if err != nil {
		return Result{}, err
	}
	if len(plan.Changes) == 0 && head.Version > 0 {
		return Result{Record: head.Record, Unchanged: true, Plan: plan}, nil
	}
	record, err := a.writeContent(ctx, head.Version+1, plan.Merged)
	if err != nil {
		return Result{}, err
	}
	record.ChangeID, record.Who, record.Why = request.ChangeID, request.Who, request.Why
	if err := a.swapHead(ctx, head.next(record), revision); err != nil {
		return Result{}, err
	}
	a.updateHistory(ctx, head, record)
	return Result{Record: record, Plan: plan}, nil
}

// writeContent writes the content in chunks under unique keys, which are
// unreferenced until the head lists them. A failure therefore creates no version.
func (a *Applier) writeContent(ctx context.Context, version uint64, merged *tree.Tree) (Record, error) {
	content, err := merged.Encode()
	if err != nil {
		return Record{}, err
	}
	record := Record{Version: version, Digest: tree.Digest(content), UnixMS: a.config.Clock.Wall().UnixMilli()}
	prefix := contentPrefix + uuid.NewString() + "/"
	for index := 0; len(content) > 0; index++ {
		chunk := content[:min(len(content), a.config.ChunkBytes)]
		content = content[len(chunk):]
		key := prefix + strconv.Itoa(index)
		write := budget.Write{Key: key, Value: chunk}
		if _, err := budget.PutConfirmed(ctx, a.config.Store, a.config.Clock, write); err != nil {
			return Record{}, unknownAsUnavailable(err)
		}
		record.Content = append(record.Content, key)
	}
	return record, nil
}

// unknownAsUnavailable converts ErrUnknown from the write of a chunk into ErrUnavailable:
// whether or not the chunk was written, no version was created, because no head lists
// the chunk. Other errors are returned unchanged.
func unknownAsUnavailable(err error) error {
	if errors.Is(err, cairnbay.ErrUnknown) {
		return errors.Annotatef(cairnbay.ErrUnavailable, "no version was created: %v", err)
	}
	return err
}

// swapHead replaces the head if its revision is unchanged. On a conflict it deletes
// the content written for the new version. Errors: errRaced, ErrUnknown, and errors of
// the store, after which the content remains.
func (a *Applier) swapHead(ctx context.Context, head Head, revision cairnbay.Revision) error {
	value, err := json.Marshal(head)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = budget.PutConfirmed(ctx, a.config.Store, a.config.Clock, budget.Write{
		Key: HeadKey, Value: value, Expect: revision,
		Applied: func(entry cairnbay.Entry) bool { return containsChange(entry, head.Record) },
	})
	if !errors.Is(err, cairnbay.ErrConflict) {
		return err
	}
	a.deleteContent(context.WithoutCancel(ctx), head.Content)
	return errors.Annotatef(errRaced, "version %d", head.Version)
}

// containsChange reports whether entry is a head whose recent records include record.
// It compares the content keys too, which are unique to an attempt: another attempt may
// have committed the same change ID.
func containsChange(entry cairnbay.Entry, record Record) bool {
	head, err := decodeHead(entry.Value)
	if err != nil {
		return false
	}
	recorded, ok := head.findChange(record.ChangeID)
	return ok && recorded.Version == record.Version && slices.Equal(recorded.Content, record.Content)
}

// Rollback applies the request with the declarations of an old version as Tree;
// request.Edit must be nil. Changes made by others since request.Base are preserved.
// Errors: those of Apply, ErrNotFound if the version is unknown or its content was
// pruned.
func (a *Applier) Rollback(ctx context.Context, version uint64, request Request) (Result, error) {
	old, err := a.Get(ctx, version)
	if err != nil {
		return Result{}, err
	}
	request.Tree = old
	return a.Apply(ctx, request)
}

// Get returns the tree of a version; version 0 means the newest. Errors: ErrNotFound if
// the version is unknown or its content was pruned, ErrInvalid if the stored data is
// damaged, and errors of the store.
func (a *Applier) Get(ctx context.Context, version uint64) (*tree.Tree, error) {
	head, _, err := readHead(ctx, a.config.Store)
	if err != nil {
		return nil, err
	}
	if version == 0 {
		return readTree(ctx, a.config.Store, head.Record)
	}
	record, err := readRecord(ctx, a.config.Store, head, version)
	if err != nil {
		return nil, err
	}
	return readTree(ctx, a.config.Store, record)
}

// History returns the records of the newest versions, at most limit, the newest first.
// The list ends before the first record that is missing in the store. Errors:
// ErrInvalid and errors of the store.
func (a *Applier) History(ctx context.Context, limit int) ([]Record, error) {
	head, _, err := readHead(ctx, a.config.Store)
	if err != nil {
		return nil, err
	}
	records := append([]Record(nil), head.Recent...)
	for len(records) > 0 && len(records) < limit {
		oldest := records[len(records)-1].Version
		if oldest <= 1 {
			break
		}
		record, err := readRecord(ctx, a.config.Store, head, oldest-1)
		if errors.Is(err, cairnbay.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records[:min(len(records), limit)], nil
}
