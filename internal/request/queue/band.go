package queue

import (
	"slices"
	"time"
)

// teamQueue holds the waiting items of one team in one band.
type teamQueue struct {
	name   string
	weight float64
	items  []*Item
	// virtualStart is the virtual time at which the team's next item starts.
	virtualStart float64
	// cost is a moving average of the time that the team's items hold a slot, in seconds.
	cost float64
}

// bandQueue orders its teams by start-time fair queueing: the team with the lowest
// virtual start goes first, and each item that starts advances it by the team's cost
// divided by its weight.
//
// Source: Goyal, Vin and Cheng, Start-time Fair Queueing, 1996.
type bandQueue struct {
	teams []*teamQueue
	// virtualTime is the highest virtual start time of any item started so far.
	virtualTime float64
	waiting     int
}

const (
	// initialCost is the cost of a team without samples, in seconds.
	initialCost = 0.01
	// costWeight is the weight of the newest sample in the moving average of the cost.
	costWeight = 0.1
	// burstCredit is the slot time, in seconds at weight 1, by which the virtual start
	// of a team that was idle may lie before the band's virtual time. A short burst of
	// such a team then goes before the items of a team with a long queue.
	burstCredit = 0.5
	// pruneThreshold is the number of teams in a band at which idle teams are pruned.
	pruneThreshold = 512
	// minWeight replaces smaller weights, since costs and lengths are divided by them.
	minWeight = 0.001
)

func (b *bandQueue) find(name string) *teamQueue {
	for _, team := range b.teams {
		if team.name == name {
			return team
		}
	}
	return nil
}

func (b *bandQueue) push(item *Item) {
	team := b.find(item.Team)
	if team == nil {
		b.pruneIdle()
		team = &teamQueue{name: item.Team, cost: initialCost}
		b.teams = append(b.teams, team)
	}
	team.weight = max(item.Weight, minWeight)
	if len(team.items) == 0 {
		team.virtualStart = max(team.virtualStart, b.virtualTime-burstCredit/team.weight)
	}
	team.items = append(team.items, item)
	b.waiting++
}

// pruneIdle removes the teams without items once there are pruneThreshold teams,
// except teams that have used more than their share: their virtual start lies after
// the band's virtual time and must still delay their next item.
func (b *bandQueue) pruneIdle() {
	if len(b.teams) < pruneThreshold {
		return
	}
	b.teams = slices.DeleteFunc(b.teams, func(team *teamQueue) bool {
		return len(team.items) == 0 && team.virtualStart <= b.virtualTime
	})
}

func (b *bandQueue) firstTeam() *teamQueue {
	var first *teamQueue
	for _, team := range b.teams {
		if len(team.items) > 0 && (first == nil || team.virtualStart < first.virtualStart) {
			first = team
		}
	}
	return first
}

func (b *bandQueue) first() *Item {
	if b.waiting == 0 {
		return nil
	}
	return b.firstTeam().items[0]
}

// charge raises the virtual time of the band to the start of the item's team, and
// advances that start by the team's cost divided by its weight.
func (b *bandQueue) charge(item *Item) {
	team := b.find(item.Team)
	b.virtualTime = max(b.virtualTime, team.virtualStart)
	team.virtualStart += team.cost / team.weight
}

// recordCost adds a sample to the moving average of the team's cost.
func (b *bandQueue) recordCost(name string, holdTime time.Duration) {
	if team := b.find(name); team != nil {
		team.cost += costWeight * (holdTime.Seconds() - team.cost)
	}
}

func (b *bandQueue) remove(item *Item) {
	team := b.find(item.Team)
	index := slices.Index(team.items, item)
	team.items = slices.Delete(team.items, index, index+1)
	b.waiting--
}

func (b *bandQueue) all() []*Item {
	items := make([]*Item, 0, b.waiting)
	for _, team := range b.teams {
		items = append(items, team.items...)
	}
	return items
}

// newestOfLongest returns the newest item of the team with the longest weighted queue,
// and the length of that queue: its number of items divided by the team's weight. It
// returns nil and 0 if no item waits.
func (b *bandQueue) newestOfLongest() (*Item, float64) {
	var newest *Item
	maxLength := 0.0
	for _, team := range b.teams {
		if length := float64(len(team.items)) / max(team.weight, minWeight); length > maxLength {
			newest, maxLength = team.items[len(team.items)-1], length
		}
	}
	return newest, maxLength
}

// weightedLengthWith returns the number of items that the item's team would have
// with the item, divided by the item's weight.
func (b *bandQueue) weightedLengthWith(item *Item) float64 {
	length := 1
	if team := b.find(item.Team); team != nil {
		length += len(team.items)
	}
	return float64(length) / max(item.Weight, minWeight)
}

// ahead estimates how many items of the band start before the item: all items of
// its own team, and a number of items of other teams in proportion to their weights.
func (b *bandQueue) ahead(item *Item) float64 {
	own, weight := 0, max(item.Weight, minWeight)
	otherWeights := 0.0
	for _, team := range b.teams {
		switch {
		case team.name == item.Team:
			own = len(team.items)
		case len(team.items) > 0:
			otherWeights += team.weight
		}
	}
	return min(float64(b.waiting), float64(own+1)*(weight+otherWeights)/weight-1)
}
