// Package apply makes versions of the operators' settings and brings them into
// force. Applier writes a version by one compare-and-swap; Follower adopts
// versions on a member, from the store or from other members.
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

// Config sets up an Applier.
type Config struct {
	// Store is the store as used for cairnbay.PurposeSettings.
	Store cairnbay.Store
	Clock cairnbay.Clock
	// RetainedVersions is how many versions keep their content; 0 takes 1,000.
	RetainedVersions uint64
	// ChunkBytes is the size of a content chunk; 0 takes 900 KiB.
	ChunkBytes int
}

// Applier reads and writes versions; it holds nothing between calls.
type Applier struct {
	config Config
}

// New returns an applier.
func New(config Config) *Applier {
	if config.RetainedVersions == 0 {
		config.RetainedVersions = defaultContentKept
	}
	if config.ChunkBytes == 0 {
		config.ChunkBytes = defaultChunkBytes
	}
	return &Applier{config: config}
}

// Request is a change that an operator asks for.
type Request struct {
	// Tree is the declarations as the operator has them; the drains in force
	// are kept.
	Tree *tree.Tree
	// Edit makes the change on the newest version, in place of Tree.
	Edit func(newest *tree.Tree) (*tree.Tree, error)
	// Base is the version that the declarations started from; what others
	// changed since is kept. 0 started from nothing.
	Base uint64
	// Overwrite takes the newest version that the request meets first as its base,
	// so that the declarations replace everything.
	Overwrite bool
	// ChangeID makes a repeated request find the first one; required.
	ChangeID string
	Who      string
	Why      string
	// Authorize refuses a changed path; nil allows all.
	Authorize func(path string) error
}

// Plan is what a request would do.
type Plan struct {
	// Version is the newest version, which the plan was made on.
	Version  uint64        `json:"version"`
	Changes  []tree.Change `json:"changes"`
	Effect   tree.Effect   `json:"effect"`
	Warnings []tree.Fault  `json:"warnings,omitempty"`
	Merged   *tree.Tree    `json:"-"`
}

// Result is what became of a request.
type Result struct {
	// Record is the version that holds the change.
	Record Record `json:"record"`
	// Repeated says that the change ID was applied before.
	Repeated bool `json:"repeated,omitempty"`
	// Unchanged says that the newest version held all of it already; no
	// version was made.
	Unchanged bool `json:"unchanged,omitempty"`
	Plan      Plan `json:"plan"`
}

// Plan says what a request would do, without effect; total is what all workers
// have, for warnings. Errors: ErrConflict with tree.Conflicts, ErrInvalid with
// tree.Faults, ErrForbidden, ErrNotFound for a base whose content was pruned.
func (a *Applier) Plan(ctx context.Context, request Request, total cairnbay.Resources) (Plan, error) {
	head, _, err := readHead(ctx, a.config.Store)
	if err != nil {
		return Plan{}, err
	}
	plan, err := a.plan(ctx, head, pinned(request, head))
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
	if err := allow(request, plan.Changes); err != nil {
		return Plan{}, err
	}
	plan.Effect, err = effect(newest, merged)
	return plan, err
}

// merge puts the operator's changes since the base on top of the newest tree.
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
	mine, err := request.Tree.WithDrains(base.Drains)
	if err != nil {
		return nil, err
	}
	return tree.Merge(base, mine, newest)
}

// baseRecord returns the record of a version, that of the empty tree for 0.
func baseRecord(ctx context.Context, store cairnbay.Store, head Head, version uint64) (Record, error) {
	if version == 0 {
		return Record{}, nil
	}
	return readRecord(ctx, store, head, version)
}

func allow(request Request, changes []tree.Change) error {
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

func effect(old, new *tree.Tree) (tree.Effect, error) {
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

// Apply makes a new version of the request. Changes to different settings by
// several operators all land; the same setting has one winner.
//
// Errors: those of Plan, which have no effect, and ErrUnknown where the outcome
// could not be settled before the context ended; asking again with the same
// change ID settles it.
func (a *Applier) Apply(ctx context.Context, request Request) (Result, error) {
	if request.ChangeID == "" {
		return Result{}, errors.Annotate(cairnbay.ErrInvalid, "change has no ID")
	}
	for {
		head, revision, err := readHead(ctx, a.config.Store)
		if err != nil {
			return Result{}, err
		}
		request = pinned(request, head)
		result, err := a.attempt(ctx, head, revision, request)
		if !errors.Is(err, errRaced) {
			return result, err
		}
	}
}

// pinned gives a request for the newest version its base.
func pinned(request Request, head Head) Request {
	if request.Overwrite {
		request.Base, request.Overwrite = head.Version, false
	}
	return request
}

// errRaced says that another version was made first; nothing took effect.
const errRaced = errors.ConstError("another version was made first")

func (a *Applier) attempt(
	ctx context.Context, head Head, revision cairnbay.Revision, request Request,
) (Result, error) {
	if record, ok := head.find(request.ChangeID); ok {
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
	if err := a.swap(ctx, head.next(record), revision); err != nil {
		return Result{}, err
	}
	a.tidy(ctx, head, record)
	return Result{Record: record, Plan: plan}, nil
}

// writeContent writes the chunks under keys of their own; nothing refers to
// them until the head does. A failure has no effect that shows.
func (a *Applier) writeContent(ctx context.Context, version uint64, merged *tree.Tree) (Record, error) {
	content, err := merged.Encode()
	if err != nil {
		return Record{}, err
	}
	record := Record{Version: version, Digest: tree.Digest(content), UnixMS: a.config.Clock.Wall().UnixMilli()}
	prefix := contentPrefix + uuid.NewString() + "/"
	for number := 0; len(content) > 0; number++ {
		chunk := content[:min(len(content), a.config.ChunkBytes)]
		content = content[len(chunk):]
		key := prefix + strconv.Itoa(number)
		write := budget.Write{Key: key, Value: chunk}
		if _, err := budget.PutConfirmed(ctx, a.config.Store, a.config.Clock, write); err != nil {
			return Record{}, withoutEffect(err)
		}
		record.Content = append(record.Content, key)
	}
	return record, nil
}

// withoutEffect turns an unknown outcome into a failure: content that no head
// names is no version.
func withoutEffect(err error) error {
	if errors.Is(err, cairnbay.ErrUnknown) {
		return errors.Annotatef(cairnbay.ErrUnavailable, "no version was made: %v", err)
	}
	return err
}

// swap makes the head the newest version. Errors: errRaced, ErrUnknown.
func (a *Applier) swap(ctx context.Context, head Head, expect cairnbay.Revision) error {
	value, err := json.Marshal(head)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = budget.PutConfirmed(ctx, a.config.Store, a.config.Clock, budget.Write{
		Key: HeadKey, Value: value, Expect: expect,
		Applied: func(entry cairnbay.Entry) bool { return holds(entry, head.Record) },
	})
	if !errors.Is(err, cairnbay.ErrConflict) {
		return err
	}
	a.drop(context.WithoutCancel(ctx), head.Content)
	return errors.Annotatef(errRaced, "version %d", head.Version)
}

// holds says whether a head, or one after it, came from this very write.
func holds(entry cairnbay.Entry, record Record) bool {
	found, err := decodeHead(entry.Value)
	if err != nil {
		return false
	}
	same, ok := found.find(record.ChangeID)
	return ok && same.Version == record.Version && slices.Equal(same.Content, record.Content)
}

// Rollback makes a new version with the content of an old one; what others changed
// since request.Base is kept. Errors: those of
// Apply; ErrNotFound where the old content was pruned.
func (a *Applier) Rollback(ctx context.Context, version uint64, request Request) (Result, error) {
	old, err := a.Get(ctx, version)
	if err != nil {
		return Result{}, err
	}
	request.Tree = old
	return a.Apply(ctx, request)
}

// Get returns the tree of a version; 0 is the newest. Errors: ErrNotFound.
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

// History lists the last versions, the newest first.
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
