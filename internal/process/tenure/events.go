package tenure

import (
	"strings"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/layout"
	"cairnbay/internal/process/timer"
)

// onChange applies changes of the instance and owner keys.
func (t *Tenure) onChange(changes []cairnbay.Event) {
	t.mu.Lock()
	for _, change := range changes {
		key := change.Entry.Key
		if shard, ok := strings.CutPrefix(key, ownerPrefix); ok {
			t.applyOwner(shard, change)
		} else if instance, ok := strings.CutPrefix(key, nodePrefix); ok {
			t.applyNode(instance, change)
		} else if class, ok := strings.CutPrefix(key, layoutPrefix); ok {
			t.applyLayout(class, change)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
	timer.Signal(t.wake)
}

// applyOwner applies a change of an owner key. It calls OnLost on a new goroutine
// if the key has a later generation than this instance's claim. The caller holds
// the lock.
func (t *Tenure) applyOwner(shard string, change cairnbay.Event) {
	if change.Entry.Revision < t.ownerRevisions[shard] {
		return
	}
	if change.Kind == cairnbay.EventDelete {
		t.ownerRevisions[shard] = change.Entry.Revision
		delete(t.owners, shard)
		t.claimDelayStart[shard] = t.config.BootTime()
		t.config.Log.WithField("shard", shard).Info("shard has no owner")
		return
	}
	var holding cairnbayv1.Holding
	if err := proto.Unmarshal(change.Entry.Value, &holding); err != nil {
		t.config.Log.WithError(err).WithField("key", change.Entry.Key).Error("owner key not decoded")
		return
	}
	t.setOwner(shard, Owner{holding.GetInstance(), holding.GetAddress(), holding.GetGeneration(), change.Entry.Revision})
	t.config.Log.WithFields(logrus.Fields{
		"shard": shard, "owner": holding.GetInstance(), "generation": holding.GetGeneration(),
	}).Info("shard has an owner")
	if claim, claimed := t.claims[shard]; claimed && holding.GetGeneration() > claim.Generation {
		delete(t.claims, shard)
		go t.config.OnLost(claim)
	}
}

// setOwner sets the owner of a shard from an event or from the result of this
// instance's own write. Such a result may arrive after events of later writes,
// so an older revision is ignored. The caller holds the lock.
func (t *Tenure) setOwner(shard string, owner Owner) {
	if owner.revision < t.ownerRevisions[shard] {
		return
	}
	t.ownerRevisions[shard] = owner.revision
	t.owners[shard] = owner
	delete(t.claimDelayStart, shard)
}

// applyLayout adopts the division of a class. A deletion changes nothing, since a
// layout is never changed while instances use it. The caller holds the lock.
func (t *Tenure) applyLayout(class string, change cairnbay.Event) {
	if change.Kind == cairnbay.EventDelete {
		t.config.Log.WithField("class", class).Error("layout deleted; it stays in use until this instance restarts")
		return
	}
	decoded, err := layout.Decode(change.Entry.Value)
	if err != nil {
		t.config.Log.WithError(err).WithField("key", change.Entry.Key).Error("layout not decoded")
		return
	}
	if _, ok := t.layouts[class]; ok {
		return
	}
	t.layouts[class] = decoded
	t.config.Log.WithFields(logrus.Fields{"class": class, "shards": decoded.Shards, "racks": len(decoded.Racks)}).Info("class divided")
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
