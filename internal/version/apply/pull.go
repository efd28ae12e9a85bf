package apply

import (
	"context"
	"sort"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/version/tree"
)

// stepsKept is how many versions back edits are sent instead of the content.
const stepsKept = 32

// step is what led from one adopted version to the next.
type step struct {
	from  uint64
	edits []tree.Edit
}

// remember keeps the step between two adopted versions; known is the step that
// a peer sent, where that is how the version came. It needs the lock of
// adoption.
func (f *Follower) remember(before, next *version, known step) {
	if before == nil {
		return
	}
	if known.edits == nil || known.from != before.settings.Version {
		known = step{from: before.settings.Version, edits: tree.Edits(before.tree, next.tree)}
	}
	f.steps = append(f.steps, known)
	if len(f.steps) > stepsKept {
		f.steps = append([]step(nil), f.steps[1:]...)
	}
}

// editsSince returns the edits from a version to the one in force, which it
// returns too; ok is false where they are not known.
func (f *Follower) editsSince(from uint64) (edits []tree.Edit, held *version, ok bool) {
	f.adopting.Lock()
	defer f.adopting.Unlock()
	held = f.current.Load()
	for i := range f.steps {
		if f.steps[i].from != from {
			continue
		}
		for _, step := range f.steps[i:] {
			edits = append(edits, step.edits...)
		}
		return edits, held, true
	}
	return nil, held, false
}

// HandlePullSettings answers a member that asks for the version in force: with
// edits where its own version is known, with the whole content else, and with
// version 0 where this one has nothing newer.
func (f *Follower) HandlePullSettings(
	_ context.Context, request *cairnbayv1.PullSettingsRequest,
) (*cairnbayv1.PullSettingsResponse, error) {
	edits, held, known := f.editsSince(request.GetAboveVersion())
	if held == nil || held.settings.Version <= request.GetAboveVersion() {
		return &cairnbayv1.PullSettingsResponse{}, nil
	}
	response := &cairnbayv1.PullSettingsResponse{
		Version: held.settings.Version, Digest: held.settings.Digest, ChangeId: held.settings.ChangeID,
	}
	if !known {
		response.Content = held.content
		return response, nil
	}
	encoded, err := tree.EncodeEdits(edits)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(encoded) >= len(held.content) {
		response.Content = held.content
		return response, nil
	}
	response.Edits = encoded
	return response, nil
}

// pullAhead pulls from peers that are ahead, the one that was heard last first.
func (f *Follower) pullAhead(ctx context.Context) {
	for _, id := range f.ahead() {
		if ctx.Err() != nil {
			return
		}
		if err := f.pull(ctx, id); err != nil {
			f.failed.Inc()
			f.config.Log.WithError(err).WithField("peer", id).Debug("settings not pulled")
			continue
		}
		return
	}
}

// ahead lists a few members with a higher version: the one heard last, then
// the highest versions, own data centre first.
func (f *Follower) ahead() []string {
	number, _ := f.Version()
	self := f.config.Members.Self()
	var found []cairnbay.Member
	for _, member := range f.config.Members.Live() {
		if member.ID != self.ID && member.SettingsVersion > number {
			found = append(found, member)
		}
	}
	f.mu.Lock()
	hinted := f.hinted
	f.hinted = ""
	f.mu.Unlock()
	near := func(member cairnbay.Member) bool { return member.DataCentre == self.DataCentre }
	sort.SliceStable(found, func(i, j int) bool {
		a, b := found[i], found[j]
		if (a.ID == hinted) != (b.ID == hinted) {
			return a.ID == hinted
		}
		if a.SettingsVersion != b.SettingsVersion {
			return a.SettingsVersion > b.SettingsVersion
		}
		return near(a) && !near(b)
	})
	var ids []string
	for _, member := range found[:min(len(found), pullSources)] {
		ids = append(ids, member.ID)
	}
	return ids
}

// pull asks one peer and adopts what it has.
func (f *Follower) pull(ctx context.Context, id string) error {
	client, ok := f.config.Peer(id)
	if !ok {
		return errors.Annotatef(cairnbay.ErrNotFound, "member %q", id)
	}
	ctx, cancel := bounded(ctx, f.config.Clock)
	defer cancel()
	number, _ := f.Version()
	answer, err := client.PullSettings(ctx, connect.NewRequest(&cairnbayv1.PullSettingsRequest{AboveVersion: number}))
	if err != nil {
		return errors.Annotatef(err, "pull settings from member %q", id)
	}
	if answer.Msg.GetVersion() <= number {
		return nil
	}
	err = f.takeAnswer(answer.Msg)
	if errors.Is(err, cairnbay.ErrInvalid) && len(answer.Msg.GetEdits()) > 0 {
		return f.pullWhole(ctx, id)
	}
	return errors.Annotatef(err, "settings from member %q", id)
}

// pullWhole asks for the content where edits did not fit.
func (f *Follower) pullWhole(ctx context.Context, id string) error {
	client, ok := f.config.Peer(id)
	if !ok {
		return errors.Annotatef(cairnbay.ErrNotFound, "member %q", id)
	}
	answer, err := client.PullSettings(ctx, connect.NewRequest(&cairnbayv1.PullSettingsRequest{}))
	if err != nil {
		return errors.Annotatef(err, "pull settings from member %q", id)
	}
	return f.adopt(labelOf(answer.Msg), answer.Msg.GetContent(), fromPeer)
}

func labelOf(answer *cairnbayv1.PullSettingsResponse) tree.VersionInfo {
	return tree.VersionInfo{Version: answer.GetVersion(), Digest: answer.GetDigest(), ChangeID: answer.GetChangeId()}
}

// takeAnswer brings the version of an answer into force, from the edits where it
// has some. Errors: ErrInvalid.
func (f *Follower) takeAnswer(answer *cairnbayv1.PullSettingsResponse) error {
	if len(answer.GetEdits()) == 0 {
		return f.adopt(labelOf(answer), answer.GetContent(), fromPeer)
	}
	held := f.current.Load()
	if held == nil {
		return errors.Annotate(cairnbay.ErrInvalid, "edits without a version to edit")
	}
	edits, err := tree.DecodeEdits(answer.GetEdits())
	if err != nil {
		return err
	}
	edited, err := held.tree.WithEdits(edits)
	if err != nil {
		return errors.Annotate(err, "edits")
	}
	content, err := edited.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	if tree.Digest(content) != answer.GetDigest() {
		return errors.Annotate(cairnbay.ErrInvalid, "edits do not give the version")
	}
	next := &version{tree: edited, content: content}
	return f.bring(labelOf(answer), next, step{from: held.settings.Version, edits: edits}, fromPeer)
}
