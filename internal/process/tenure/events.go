package tenure

import (
	"strings"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// onChange applies changes of the instance and owner keys.
func (t *Tenure) onChange(changes []cairnbay.Event) {
	t.mu.Lock()
	for _, change := range changes {
		key := change.Entry.Key
		if class, ok := strings.CutPrefix(key, ownerPrefix); ok {
			t.applyOwner(class, change)
		} else if instance, ok := strings.CutPrefix(key, nodePrefix); ok {
			t.applyNode(instance, change)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
	t.wakeRun()
}

// applyOwner applies a change of an owner key. It calls OnLost on a new goroutine
// if the key has a later generation than this instance's claim. The caller holds
// the lock.
func (t *Tenure) applyOwner(class string, change cairnbay.Event) {
	if change.Entry.Revision < t.ownerRevisions[class] {
		return
	}
	if change.Kind == cairnbay.EventDelete {
		t.ownerRevisions[class] = change.Entry.Revision
		delete(t.owners, class)
		t.claimDelayStart[class] = t.config.BootTime()
		t.config.Log.WithField("class", class).Info("class has no owner")
		return
	}
	var holding cairnbayv1.Holding
	if err := proto.Unmarshal(change.Entry.Value, &holding); err != nil {
		t.config.Log.WithError(err).WithField("key", change.Entry.Key).Error("owner key not decoded")
		return
	}
	t.setOwner(class, Owner{holding.GetInstance(), holding.GetAddress(), holding.GetGeneration(), change.Entry.Revision})
	t.config.Log.WithFields(logrus.Fields{
		"class": class, "owner": holding.GetInstance(), "generation": holding.GetGeneration(),
	}).Info("class has an owner")
	if claim, claimed := t.claims[class]; claimed && holding.GetGeneration() > claim.Generation {
		delete(t.claims, class)
		go t.config.OnLost(class)
	}
}

// setOwner sets the owner of a class from an event or from the result of this
// instance's own write. Such a result may arrive after events of later writes,
// so an older revision is ignored. The caller holds the lock.
func (t *Tenure) setOwner(class string, owner Owner) {
	if owner.revision < t.ownerRevisions[class] {
		return
	}
	t.ownerRevisions[class] = owner.revision
	t.owners[class] = owner
	delete(t.claimDelayStart, class)
}

// applyNode applies a change of an instance key. The caller holds the lock.
func (t *Tenure) applyNode(instance string, change cairnbay.Event) {
	var presence cairnbayv1.Presence
	if change.Kind == cairnbay.EventDelete {
		if node, ok := t.nodes[instance]; ok {
			t.lapsedNodes[instance] = lapsedNode{node, t.config.BootTime()}
		}
		delete(t.nodes, instance)
		t.config.Log.WithField("peer", instance).Info("instance key deleted")
		return
	}
	if err := proto.Unmarshal(change.Entry.Value, &presence); err != nil {
		t.config.Log.WithError(err).WithField("key", change.Entry.Key).Error("instance key not decoded")
		return
	}
	t.nodes[instance] = Node{
		presence.GetInstance(), presence.GetAddress(), presence.GetDataCentre(), presence.GetCores(), presence.GetLinkMbps(),
	}
	t.config.Log.WithField("peer", instance).Info("instance key updated")
}
