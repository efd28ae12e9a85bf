package tenure

import (
	"strings"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// see takes changes of the instances' keys.
func (t *Tenure) see(changes []cairnbay.Event) {
	t.mu.Lock()
	for _, change := range changes {
		key := change.Entry.Key
		if class, ok := strings.CutPrefix(key, ownerPrefix); ok {
			t.seeOwner(class, change)
		} else if instance, ok := strings.CutPrefix(key, nodePrefix); ok {
			t.seeNode(instance, change)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
	t.nudge()
}

func (t *Tenure) seeOwner(class string, change cairnbay.Event) {
	if change.Entry.Revision < t.known[class] {
		return
	}
	if change.Kind == cairnbay.EventDelete {
		t.known[class] = change.Entry.Revision
		delete(t.owners, class)
		t.vacant[class] = t.config.BootTime()
		t.config.Log.WithField("class", class).Info("class has no owner")
		return
	}
	var holding cairnbayv1.Holding
	if err := proto.Unmarshal(change.Entry.Value, &holding); err != nil {
		t.config.Log.WithError(err).WithField("key", change.Entry.Key).Error("owner cannot be read")
		return
	}
	t.setOwner(class, Owner{holding.GetInstance(), holding.GetAddress(), holding.GetGeneration(), change.Entry.Revision})
	t.config.Log.WithFields(logrus.Fields{
		"class": class, "owner": holding.GetInstance(), "generation": holding.GetGeneration(),
	}).Info("class has an owner")
	if claim, held := t.claims[class]; held && holding.GetGeneration() > claim.Generation {
		delete(t.claims, class)
		go t.config.OnLost(class)
	}
}

// setOwner takes note of an owner key, from the store's events or from a write
// of this instance, whose answer may come after later events. The caller holds
// the lock.
func (t *Tenure) setOwner(class string, owner Owner) {
	if owner.revision < t.known[class] {
		return
	}
	t.known[class] = owner.revision
	t.owners[class] = owner
	delete(t.vacant, class)
}

func (t *Tenure) seeNode(instance string, change cairnbay.Event) {
	var presence cairnbayv1.Presence
	if change.Kind == cairnbay.EventDelete {
		delete(t.nodes, instance)
		t.config.Log.WithField("peer", instance).Info("instance gone")
		return
	}
	if err := proto.Unmarshal(change.Entry.Value, &presence); err != nil {
		t.config.Log.WithError(err).WithField("key", change.Entry.Key).Error("instance cannot be read")
		return
	}
	t.nodes[instance] = Node{
		presence.GetInstance(), presence.GetAddress(), presence.GetDataCentre(), presence.GetCores(), presence.GetLinkMbps(),
	}
	t.config.Log.WithField("peer", instance).Info("instance seen")
}
