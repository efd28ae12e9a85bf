package pull

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
)

// never is the age before the first answer of the store.
const never = time.Duration(math.MaxInt64)

// Confirm says that the version in force was the newest at a boot time.
func (p *Puller) Confirm(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasConfirmed || at > p.confirmed {
		p.confirmed, p.hasConfirmed = at, true
	}
}

// Age returns the time since the version in force was known to be the newest.
func (p *Puller) Age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasConfirmed {
		return never
	}
	return max(p.config.BootTime()-p.confirmed, 0)
}

// Checked reports whether the configuration was compared with that of an instance that
// is up to date, or no such instance has answered within startTimeout of the start.
func (p *Puller) Checked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checked || p.config.BootTime()-p.started > startTimeout
}

// Fresh reports whether the version in force is known to be up to date.
func (p *Puller) Fresh() bool {
	return p.Age() <= MaxAge && p.Checked()
}

// OutOfDate reports whether callers are served better by other instances: this one is
// starting, or may have an old version while the others may not. It is false while the
// others that answer are out of date as well, since in an outage of the store for all
// of them callers cannot do better elsewhere.
func (p *Puller) OutOfDate() bool {
	if p.Fresh() {
		return false
	}
	if !p.Checked() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.hasStaleAnswer || p.config.BootTime()-p.staleAnswerAt > MaxAge
}

// reportAge logs once that the age has risen above MaxAge, and once that it is below
// it again.
func (p *Puller) reportAge() {
	age := p.Age()
	version, _ := p.config.Current()
	p.mu.Lock()
	reported := p.reportedAge
	if version > 0 {
		p.reportedAge = age > MaxAge
	}
	exceeds := p.reportedAge
	p.mu.Unlock()
	fields := logrus.Fields{"version": version, "age_ms": age.Milliseconds()}
	switch {
	case exceeds && !reported:
		p.config.Log.WithFields(fields).Warn("configuration may be out of date")
	case reported && !exceeds:
		p.config.Log.WithFields(fields).Info("configuration is known to be up to date again")
	}
}
