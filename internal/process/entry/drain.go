package entry

import (
	"slices"

	"cairnbay"
)

// instances returns the platform's list with drained instances marked as
// leaving.
func (e *Entry) instances() []cairnbay.Instance {
	listed := e.roster.Instances()
	drains := e.drains()
	if len(drains) == 0 {
		return listed
	}
	marked := slices.Clone(listed)
	for i := range marked {
		marked[i].Leaving = marked[i].Leaving || matchesDrain(drains, marked[i])
	}
	return marked
}

// drains returns the drains of the settings in force. It locks e.mu.
func (e *Entry) drains() []cairnbay.Drain {
	e.mu.Lock()
	follower := e.follower
	e.mu.Unlock()
	if follower == nil || follower.Current() == nil {
		return nil
	}
	return follower.Current().Drains
}

func matchesDrain(drains []cairnbay.Drain, instance cairnbay.Instance) bool {
	return slices.ContainsFunc(drains, func(drain cairnbay.Drain) bool { return drain.Covers(instance) })
}

// isDrained reports whether a drain in the settings covers this instance.
func (e *Entry) isDrained() bool {
	return matchesDrain(e.drains(), cairnbay.Instance{
		ID: e.config.Settings.Instance, Kind: cairnbay.InstanceEntry, DataCentre: e.config.Settings.DataCentre,
	})
}
