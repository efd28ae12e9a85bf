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

// maxDeltas is the number of past adoptions for which a peer can receive edits instead
// of the whole content.
const maxDeltas = 32

// delta holds the edits from one adopted version to the next.
type delta struct {
	fromVersion uint64
	edits       []tree.Edit
}

// recordDelta stores the delta between two adopted versions. It stores the received one
// if it starts from the previous version, and computes the delta otherwise. The caller
// holds adoptMu.
func (f *Follower) recordDelta(previous, next *adoptedVersion, received delta) {
	if previous == nil {
		return
	}
	if received.edits == nil || received.fromVersion != previous.settings.Version {
		received = delta{fromVersion: previous.settings.Version, edits: tree.Edits(previous.tree, next.tree)}
	}
	f.deltas = append(f.deltas, received)
	if len(f.deltas) > maxDeltas {
		f.deltas = append([]delta(nil), f.deltas[1:]...)
	}
}

// editsSince returns the edits from a version to the current one, and the current
// version; ok is false if no stored delta starts from that version.
func (f *Follower) editsSince(from uint64) (edits []tree.Edit, current *adoptedVersion, ok bool) {
	f.adoptMu.Lock()
	defer f.adoptMu.Unlock()
	current = f.current.Load()
	for i := range f.deltas {
		if f.deltas[i].fromVersion != from {
			continue
		}
		for _, next := range f.deltas[i:] {
			edits = append(edits, next.edits...)
		}
		return edits, current, true
	}
	return nil, current, false
}

// HandlePullSettings returns the version in force to another member: as edits if the
// stored deltas reach back to the member's version and their encoding is shorter than
// the content, otherwise as whole content. The response has version 0 if the version in
// force is not newer.
func (f *Follower) HandlePullSettings(
	_ context.Context, request *cairnbayv1.PullSettingsRequest,
) (*cairnbayv1.PullSettingsResponse, error) {
	edits, current, ok := f.editsSince(request.GetAboveVersion())
	if current == nil || current.settings.Version <= request.GetAboveVersion() {
		return &cairnbayv1.PullSettingsResponse{}, nil
	}
	response := &cairnbayv1.PullSettingsResponse{
		Version: current.settings.Version, Digest: current.settings.Digest, ChangeId: current.settings.ChangeID,
	}
	if !ok {
		response.Content = current.content
		return response, nil
	}
	encoded, err := tree.EncodeEdits(edits)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(encoded) >= len(current.content) {
		response.Content = current.content
		return response, nil
	}
	response.Edits = encoded
	return response, nil
}

// pullFromPeers tries the peers with a higher version in the order of peersAhead, until
// one sends a version or has none newer.
func (f *Follower) pullFromPeers(ctx context.Context) {
	for _, id := range f.peersAhead() {
		if ctx.Err() != nil {
			return
		}
		if err := f.pull(ctx, id); err != nil {
			f.failures.Inc()
			f.config.Log.WithError(err).WithField("peer", id).Debug("cannot pull settings")
			continue
		}
		return
	}
}

// peersAhead returns the IDs of up to maxPullPeers members with a higher version:
// hintedPeer, then the highest versions, with members of the same data centre first.
func (f *Follower) peersAhead() []string {
	inForce, _ := f.Version()
	self := f.config.Members.Self()
	var candidates []cairnbay.Member
	for _, member := range f.config.Members.Live() {
		if member.ID != self.ID && member.SettingsVersion > inForce {
			candidates = append(candidates, member)
		}
	}
	f.mu.Lock()
	hintedPeer := f.hintedPeer
	f.hintedPeer = ""
	f.mu.Unlock()
	sameDataCentre := func(member cairnbay.Member) bool { return member.DataCentre == self.DataCentre }
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if (a.ID == hintedPeer) != (b.ID == hintedPeer) {
			return a.ID == hintedPeer
		}
		if a.SettingsVersion != b.SettingsVersion {
			return a.SettingsVersion > b.SettingsVersion
		}
		return sameDataCentre(a) && !sameDataCentre(b)
	})
	var ids []string
	for _, member := range candidates[:min(len(candidates), maxPullPeers)] {
		ids = append(ids, member.ID)
	}
	return ids
}

// pull requests the settings from one peer and adopts them. If the edits cannot be
// applied, it requests the whole content. It returns nil too if the peer has no newer
// version.
func (f *Follower) pull(ctx context.Context, id string) error {
	client, ok := f.config.Peer(id)
	if !ok {
		return errors.Annotatef(cairnbay.ErrNotFound, "member %q", id)
	}
	ctx, cancel := withCallTimeout(ctx, f.config.Clock)
	defer cancel()
	inForce, _ := f.Version()
	response, err := client.PullSettings(ctx, connect.NewRequest(&cairnbayv1.PullSettingsRequest{AboveVersion: inForce}))
	if err != nil {
		return errors.Annotatef(err, "pull settings from member %q", id)
	}
	if response.Msg.GetVersion() <= inForce {
		return nil
	}
	err = f.adoptResponse(response.Msg)
	if errors.Is(err, cairnbay.ErrInvalid) && len(response.Msg.GetEdits()) > 0 {
		return f.pullContent(ctx, id)
	}
	return errors.Annotatef(err, "adopt settings from member %q", id)
}

// pullContent requests the whole content, after the peer's edits could not be applied.
func (f *Follower) pullContent(ctx context.Context, id string) error {
	client, ok := f.config.Peer(id)
	if !ok {
		return errors.Annotatef(cairnbay.ErrNotFound, "member %q", id)
	}
	response, err := client.PullSettings(ctx, connect.NewRequest(&cairnbayv1.PullSettingsRequest{}))
	if err != nil {
		return errors.Annotatef(err, "pull settings from member %q", id)
	}
	return f.adopt(versionInfo(response.Msg), response.Msg.GetContent(), fromPeer)
}

// versionInfo returns the version described by a response.
func versionInfo(response *cairnbayv1.PullSettingsResponse) tree.VersionInfo {
	return tree.VersionInfo{Version: response.GetVersion(), Digest: response.GetDigest(), ChangeID: response.GetChangeId()}
}

// adoptResponse brings the version of a response into force. If the response has edits,
// it applies them to the version in force. Errors: ErrInvalid.
func (f *Follower) adoptResponse(response *cairnbayv1.PullSettingsResponse) error {
	if len(response.GetEdits()) == 0 {
		return f.adopt(versionInfo(response), response.GetContent(), fromPeer)
	}
	current := f.current.Load()
	if current == nil {
		return errors.Annotate(cairnbay.ErrInvalid, "edits received but no settings version is in force")
	}
	edits, err := tree.DecodeEdits(response.GetEdits())
	if err != nil {
		return err
	}
	edited, err := current.tree.WithEdits(edits)
	if err != nil {
		return errors.Annotate(err, "apply edits")
	}
	content, err := edited.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	if tree.Digest(content) != response.GetDigest() {
		return errors.Annotate(cairnbay.ErrInvalid, "settings after the edits do not match the digest of the peer")
	}
	next := &adoptedVersion{tree: edited, content: content}
	return f.activate(versionInfo(response), next, delta{fromVersion: current.settings.Version, edits: edits}, fromPeer)
}
