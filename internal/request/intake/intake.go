// Package intake validates submitted jobs and fills in the defaults of their branch.
package intake

import (
	stderrors "errors"
	"sort"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/tool/near"
)

// MaxTasks is the maximum number of tasks in one job.
const MaxTasks = 100_000

// View holds the settings and instances that a job is checked against.
type View struct {
	// Settings are the settings in force; nil before the first ones are loaded.
	Settings *cairnbay.Settings
	// Instances lists the instances of the platform.
	Instances []cairnbay.Instance
}

// Complete checks the job and returns it with the band of its branch, the branch's
// kind, team and maximum attempts where the job has none, and a data centre if the job
// names none. The error joins an ErrInvalid for each invalid field and ErrNeverFits if
// no worker of the class is large enough, or is ErrUnavailable while no settings are in
// force.
func Complete(job cairnbay.Job, view View) (cairnbay.Job, error) {
	if view.Settings == nil {
		return job, errors.Annotate(cairnbay.ErrUnavailable, "no settings are in force yet")
	}
	check := &checker{job: job, view: view}
	check.applyBranch()
	check.checkFields()
	check.chooseDataCentre()
	return check.job, stderrors.Join(check.errs...)
}

type checker struct {
	job  cairnbay.Job
	view View
	errs []error
}

func (c *checker) invalid(format string, values ...any) {
	c.errs = append(c.errs, errors.Annotatef(cairnbay.ErrInvalid, format, values...))
}

// applyBranch copies settings of the job's branch into the job: the band always, and
// kind, team and maximum attempts where the job leaves them empty.
func (c *checker) applyBranch() {
	branch, ok := c.view.Settings.Branches[c.job.Branch]
	if !ok {
		c.invalid("branch %q does not exist%s", c.job.Branch, near.Hint(c.job.Branch, c.branchPaths(), ""))
		return
	}
	if c.job.Kind == "" {
		c.job.Kind = branch.Kind
	}
	if branch.Kind != "" && c.job.Kind != branch.Kind {
		c.invalid("kind %q does not match kind %q of branch %q", c.job.Kind, branch.Kind, c.job.Branch)
	}
	if c.job.Team == "" {
		c.job.Team = branch.Team
	}
	c.job.Band = branch.Placing.Band
	if c.job.MaxAttempts == 0 {
		c.job.MaxAttempts = branch.Placing.MaxAttempts
	}
}

func (c *checker) branchPaths() []string {
	paths := make([]string, 0, len(c.view.Settings.Branches))
	for path := range c.view.Settings.Branches {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	return paths
}

// checkFields checks the fields that need no list of instances.
func (c *checker) checkFields() {
	switch c.job.Kind {
	case cairnbay.KindService, cairnbay.KindBatch, cairnbay.KindGang:
	default:
		c.invalid("kind %q is none of service, batch, gang", c.job.Kind)
	}
	if c.job.Tasks < 1 || c.job.Tasks > MaxTasks {
		c.invalid("tasks %d is not between 1 and %d", c.job.Tasks, MaxTasks)
	}
	size := c.job.Size
	if size.MilliCPU <= 0 {
		c.invalid("size.milli_cpu %d is not positive", size.MilliCPU)
	}
	if size.MemoryMB <= 0 {
		c.invalid("size.memory_mb %d is not positive", size.MemoryMB)
	}
	if size.Accelerators < 0 {
		c.invalid("size.accelerators %d is negative", size.Accelerators)
	}
	if c.job.RunTime < 0 {
		c.invalid("run_time %v is negative", c.job.RunTime)
	}
	if c.job.AtMostOnce && c.job.Kind == cairnbay.KindService {
		c.invalid("at_most_once cannot be combined with kind service, whose lost tasks are replaced")
	}
	if c.job.AtMostOnce && c.job.GangRestart {
		c.invalid("at_most_once cannot be combined with gang_restart")
	}
}

// chooseDataCentre checks that at least one worker is large enough for a task. If the
// job names no data centre, it chooses the one with the most CPU capacity for the
// class, among those with such a worker.
func (c *checker) chooseDataCentre() {
	classes := make(map[string]bool)
	capacity := make(map[string]int64)
	fitting := make(map[string]bool)
	for _, worker := range c.view.Instances {
		if worker.Kind != cairnbay.InstanceWorker {
			continue
		}
		classes[worker.Class] = true
		if worker.Class != c.job.Class || !c.matchesDataCentre(worker.DataCentre) {
			continue
		}
		capacity[worker.DataCentre] += worker.Capacity.MilliCPU
		if c.job.Size.Fits(worker.Capacity) {
			fitting[worker.DataCentre] = true
		}
	}
	if !classes[c.job.Class] {
		c.invalid("class %q has no worker%s", c.job.Class, near.Hint(c.job.Class, sortedKeys(classes), ""))
		return
	}
	if len(capacity) == 0 {
		c.invalid("data centre %q has no worker of class %q", c.job.DataCentre, c.job.Class)
		return
	}
	if len(fitting) == 0 {
		c.errs = append(c.errs, errors.Annotatef(cairnbay.ErrNeverFits,
			"no worker of class %q is large enough for size %+v", c.job.Class, c.job.Size))
		return
	}
	if c.job.DataCentre == "" {
		c.job.DataCentre = largestDataCentre(fitting, capacity)
	}
}

func (c *checker) matchesDataCentre(dataCentre string) bool {
	return c.job.DataCentre == "" || c.job.DataCentre == dataCentre
}

// largestDataCentre returns the fitting data centre with the most capacity, the first
// by name on a tie.
func largestDataCentre(fitting map[string]bool, capacity map[string]int64) string {
	best := ""
	for _, dataCentre := range sortedKeys(fitting) {
		if best == "" || capacity[dataCentre] > capacity[best] {
			best = dataCentre
		}
	}
	return best
}

func sortedKeys(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
