package audit

import (
	"context"
	"time"
)

// Delays of the chores, counted from the end of the time that they are about.
const (
	// foldOwnAfter leaves the last hours by the minute, for whoever looks into
	// what happens now, and lets records buffered through an outage arrive.
	foldOwnAfter    = 3 * time.Hour
	foldOthersAfter = 6 * time.Hour
	foldDayAfter    = 9 * time.Hour
	// keeperLookBack is how far back a new keeper does what its predecessor may
	// have left.
	keeperLookBack = 24 * time.Hour
	day            = 24 * time.Hour
)

// chores folds and deletes records as time goes on. It is used by the writer's
// goroutine only.
type chores struct {
	config Config
	folder *Folder
	counts *counters
	// Each is the start of the hour or day to be done next; others, days and
	// expired are zero while another instance is the keeper.
	own, others, days, expired time.Time
}

func newChores(config Config, counts *counters) *chores {
	return &chores{
		config: config,
		counts: counts,
		folder: &Folder{Instance: config.Instance, SigningKey: config.SigningKey, Store: config.Store},
		own:    config.Clock.Wall().UTC().Truncate(time.Hour),
	}
}

// run does what is due. What fails is tried again by the next run.
func (c *chores) run(ctx context.Context, now time.Time) {
	err := c.step(ctx, &c.own, time.Hour, now.Add(-foldOwnAfter), func(ctx context.Context, hour time.Time) error {
		return c.folder.FoldHour(ctx, hour, c.config.Instance)
	})
	if err == nil {
		err = c.keep(ctx, now)
	}
	if err != nil {
		c.config.Log.WithError(err).Warn("audit records are not folded yet")
	}
}

// keep does the keeper's part.
func (c *chores) keep(ctx context.Context, now time.Time) error {
	if c.config.Keeper == nil || !c.config.Keeper() {
		c.others = time.Time{}
		return nil
	}
	if c.others.IsZero() {
		c.others = now.Add(-foldOthersAfter - keeperLookBack).Truncate(time.Hour)
		c.days = now.Add(-foldDayAfter - keeperLookBack - day).Truncate(day)
		c.expired = now.Add(-c.config.Retention - keeperLookBack).Truncate(time.Hour)
	}
	err := c.step(ctx, &c.others, time.Hour, now.Add(-foldOthersAfter), func(ctx context.Context, hour time.Time) error {
		return c.folder.FoldHour(ctx, hour, "")
	})
	if err != nil {
		return err
	}
	if err := c.step(ctx, &c.days, day, now.Add(-foldDayAfter), c.folder.FoldDay); err != nil {
		return err
	}
	return c.step(ctx, &c.expired, time.Hour, now.Add(-c.config.Retention), c.folder.Expire)
}

// step does one chore if its time has ended by the limit, and moves on to the
// next time if that went well. One step a run spreads the store calls.
func (c *chores) step(
	ctx context.Context, next *time.Time, length time.Duration, limit time.Time, do func(context.Context, time.Time) error,
) error {
	if next.Add(length).After(limit) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, choreTimeout)
	defer cancel()
	err := do(ctx, *next)
	c.counts.folded.Add(c.folder.Folded)
	c.folder.Folded = 0
	if err != nil {
		return err
	}
	*next = next.Add(length)
	return nil
}

// choreTimeout bounds one chore.
const choreTimeout = 2 * time.Minute
