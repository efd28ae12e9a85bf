package queue

import (
	"slices"
	"time"
)

// team holds the waiting items of one team in one band.
type team struct {
	name   string
	weight float64
	items  []*Item
	// start is the virtual time at which the team's next item starts.
	start float64
	// cost is a moving average of the time that the team's items hold a slot, in seconds.
	cost float64
}

// band orders its teams by start-time fair queueing: the team with the lowest
// virtual start time goes first, and each start advances that time by the team's
// cost divided by its weight.
//
// Source: Goyal, Vin and Cheng, Start-time Fair Queueing, 1996.
type band struct {
	teams []*team
	// virtualTime is the highest virtual start time of any item started so far.
	virtualTime float64
	waiting     int
}

const (
	// initialCost is the cost of a team without samples, in seconds.
	initialCost = 0.01
	// costWeight is the weight of the newest sample in the moving average of the cost.
	costWeight = 0.1
	// burstCredit is the slot time, in seconds at weight 1, that a team may catch
	// up on after it used less than its share, so that its burst is not delayed by
	// a team that floods the queue.
	burstCredit = 0.5
	// pruneThreshold is the number of teams in a band at which idle teams are pruned.
	pruneThreshold = 512
	// minWeight replaces smaller weights, since costs and lengths are divided by them.
	minWeight = 0.001
)

func (b *band) find(name string) *team {
	for _, team := range b.teams {
		if team.name == name {
			return team
		}
	}
	return nil
}

func (b *band) push(item *Item) {
	t := b.find(item.Team)
	if t == nil {
		b.pruneIdle()
		t = &team{name: item.Team, cost: initialCost}
		b.teams = append(b.teams, t)
	}
	t.weight = max(item.Weight, minWeight)
	if len(t.items) == 0 {
		t.start = max(t.start, b.virtualTime-burstCredit/t.weight)
	}
	t.items = append(t.items, item)
	b.waiting++
}

// pruneIdle removes idle teams whose virtual start time has passed; the others still
// carry cost that is charged to their next item.
func (b *band) pruneIdle() {
	if len(b.teams) < pruneThreshold {
		return
	}
	b.teams = slices.DeleteFunc(b.teams, func(team *team) bool {
		return len(team.items) == 0 && team.start <= b.virtualTime
	})
}

func (b *band) firstTeam() *team {
	var first *team
	for _, team := range b.teams {
		if len(team.items) > 0 && (first == nil || team.start < first.start) {
			first = team
		}
	}
	return first
}

func (b *band) first() *Item {
	if b.waiting == 0 {
		return nil
	}
	return b.firstTeam().items[0]
}

// start advances the virtual start time of the item's team by the expected cost of
// the item.
func (b *band) start(item *Item) {
	team := b.find(item.Team)
	b.virtualTime = max(b.virtualTime, team.start)
	team.start += team.cost / team.weight
}

// recordCost adds a sample to the moving average of the team's cost.
func (b *band) recordCost(name string, holdTime time.Duration) {
	if team := b.find(name); team != nil {
		team.cost += costWeight * (holdTime.Seconds() - team.cost)
	}
}

func (b *band) remove(item *Item) {
	team := b.find(item.Team)
	index := slices.Index(team.items, item)
	team.items = slices.Delete(team.items, index, index+1)
	b.waiting--
}

func (b *band) all() []*Item {
	items := make([]*Item, 0, b.waiting)
	for _, team := range b.teams {
		items = append(items, team.items...)
	}
	return items
}

// longest returns the newest item of the team with the most items relative to its
// weight, and the number of its items divided by that weight.
func (b *band) longest() (*Item, float64) {
	var newest *Item
	longest := 0.0
	for _, team := range b.teams {
		if length := float64(len(team.items)) / max(team.weight, minWeight); length > longest {
			newest, longest = team.items[len(team.items)-1], length
		}
	}
	return newest, longest
}

// weightedLengthWith returns the number of items that the item's team would have
// with the item, divided by the item's weight.
func (b *band) weightedLengthWith(item *Item) float64 {
	length := 1
	if team := b.find(item.Team); team != nil {
		length += len(team.items)
	}
	return float64(length) / max(item.Weight, minWeight)
}

// ahead estimates how many items of the band start before the item: all items of
// its own team, and a number of items of other teams in proportion to their weights.
func (b *band) ahead(item *Item) float64 {
	own, weight := 0, max(item.Weight, minWeight)
	others := 0.0
	for _, team := range b.teams {
		switch {
		case team.name == item.Team:
			own = len(team.items)
		case len(team.items) > 0:
			others += team.weight
		}
	}
	return min(float64(b.waiting), float64(own+1)*(weight+others)/weight-1)
}
