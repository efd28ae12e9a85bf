package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cairnbay"
	"cairnbay/internal/fake/keys"
	"cairnbay/internal/process/timer"
	"cairnbay/platform/stand"
)

// outcome is what a caller knows of its job.
type outcome int

const (
	// refused jobs were refused by every answer.
	refused outcome = iota
	// uncertain jobs got no answer, or one that says so.
	uncertain
	accepted
	cancelled
)

const (
	// callersCount callers submit at once, each after a pause of up to pauseMost.
	callersCount = 6
	pauseMost    = 250 * time.Millisecond
	// tries is how often a caller submits a job.
	tries = 4
	// patience is a caller's deadline, impatience that of one in a run of impatient callers.
	patience   = 3 * time.Second
	impatience = 1200 * time.Millisecond
	// settleWait is how long jobs may take to complete once faults have ended.
	settleWait = 45 * time.Second
	// cancelShare is one in so many accepted jobs that is cancelled.
	cancelShare = 12
	// deadlyShare is one in so many jobs of a caller of which a task crashes the workers
	// that start it. Such a task may crash maxCrashes, and one more with each owner that
	// goes without having stored what it saw.
	deadlyShare = 80
	maxCrashes  = 5
	// gangShare is one in so many jobs of a caller whose steps are gangs, of one
	// member more than another job has tasks: a gang of one never waits.
	gangShare = 4
	// lastingShare is one in so many jobs of a caller whose tasks last. It is cancelled
	// after lastingMost at the latest.
	lastingShare = 10
	lastingMost  = 3 * time.Second
	// pausedCallers is the number of callers while instances pause in turn. Each follows
	// its job for up to followMost and then cancels it.
	pausedCallers = 16
	followMost    = time.Second
	// cancelBound is how long after the answer to a cancellation an owner that does not
	// know of it yet may start a task, and stopBound how long after the last fault a task of
	// a cancelled job may run.
	cancelBound = 5 * time.Second
	stopBound   = 10 * time.Second
)

// job is one submission with what became of it.
type job struct {
	id           string
	steps, tasks int
	gang, deadly bool
	// slow says that the steps run for slowTime each, and that the caller cancels the job
	// until it has an answer.
	slow bool
	// lasting says that the tasks run until the job is cancelled.
	lasting bool
	// held says that the caller keeps the job until the end of the run.
	held    bool
	outcome outcome
	// cancelledAt is the boot time of the answer to the cancellation.
	cancelledAt time.Duration
	identity    identity
}

// callers submit jobs to random instances.
type callers struct {
	world  *world
	client *http.Client
	stop   chan struct{}
	done   sync.WaitGroup
	// waits judges the held jobs during the run.
	waits *waitCheck

	mu     sync.Mutex
	jobs   []*job
	broken []string
	// old counts the answers of old versions during faults.
	old int
	// askedPaused counts the jobs for which a paused owner was asked.
	askedPaused atomic.Int64
	// withdrawn counts the jobs that were cancelled before any instance knew them.
	withdrawn atomic.Int64
}

func newCallers(w *world) *callers {
	return &callers{world: w, client: &http.Client{}, stop: make(chan struct{}), waits: newWaitCheck(w, nil)}
}

func (c *callers) start(ctx context.Context) {
	count := callersCount
	if c.world.config.pausesOnly() {
		count = pausedCallers
	}
	if c.world.config.Recuts {
		count = recutCallers
	}
	if c.world.config.holdsJobs() {
		count = outageCallers
		c.startHeld(ctx)
	}
	for n := range count {
		random := rand.New(rand.NewPCG(c.world.config.Seed, uint64(n+2)))
		c.done.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-c.stop:
					return
				case <-ctx.Done():
					return
				case <-time.After(time.Duration(random.Int64N(int64(pauseMost)))):
				}
				one := &job{
					id: fmt.Sprintf("%08x%08x", n, number), steps: 1 + random.IntN(2), tasks: 1 + random.IntN(5),
				}
				one.identity = c.drawIdentity(random)
				if c.world.config.pausesOnly() {
					one.slow, one.steps, one.tasks = true, 2, 1
					c.world.slow.Store(one.id, true)
					c.submit(ctx, random, one)
					continue
				}
				if c.world.config.Recuts {
					if one.steps, one.tasks = 1, 1; number%longShare == 0 {
						c.world.long.Store(one.id, true)
					}
					c.submit(ctx, random, one)
					continue
				}
				if c.world.config.holdsJobs() {
					one.steps, one.tasks = 1, 1
					c.submit(ctx, random, one)
					continue
				}
				if number%gangShare == 0 {
					one.gang = true
					one.tasks++
					c.world.gangs.Store(one.id, one.tasks)
				}
				if number%lastingShare == lastingShare-1 {
					one.lasting, one.steps, one.gang = true, 1, false
					c.world.gangs.Delete(one.id)
					c.world.lasting.Store(one.id, true)
				}
				if number%deadlyShare == deadlyShare-1 && !one.lasting {
					one.deadly = true
					c.world.deadly.Store(one.id, true)
				}
				c.submit(ctx, random, one)
			}
		})
	}
}

func (c *callers) finish() {
	close(c.stop)
	c.done.Wait()
}

// count counts the jobs with an outcome, and the gangs among them.
func (c *callers) count(of outcome) (count, gangs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, job := range c.jobs {
		if job.outcome != of {
			continue
		}
		count++
		if job.gang {
			gangs++
		}
	}
	return count, gangs
}

// summarise prints the counts of a run and the ends of gang members that waited too
// long. Nearly always a fault is near such an end, so it breaks no promise.
func (c *callers) summarise() {
	w := c.world
	incomplete := w.fleet.IncompleteEnds()
	for _, end := range incomplete {
		fmt.Fprintf(w.config.Out, "%6.2f s  alone: member %d of step %d of job %s, attempt %d on %s\n",
			(end.At - w.began).Seconds(), end.Task.Index, end.Task.Step, end.Task.Job, end.Attempt, end.Worker)
	}
	fmt.Fprintf(w.config.Out, "seed %d: %d faults", w.config.Seed, w.faults)
	for _, one := range []struct {
		outcome outcome
		name    string
	}{{accepted, "jobs accepted"}, {refused, "refused"}, {uncertain, "uncertain"}, {cancelled, "cancelled"}} {
		count, gangs := c.count(one.outcome)
		fmt.Fprintf(w.config.Out, ", %d %s (%d gangs)", count, one.name, gangs)
	}
	fmt.Fprintf(w.config.Out, ", %d starts, %d ends alone\n", w.fleet.Starts(), len(incomplete))
	counts := w.policy.Counts()
	fmt.Fprintf(w.config.Out, "policy service: tickets last for %v, %d calls, %d starts refused\n",
		w.terms.Valid, counts.Calls, counts.Refusals)
	if w.config.Pauses {
		fmt.Fprintf(w.config.Out, "pauses: %d jobs asked for at paused owners\n", c.askedPaused.Load())
	}
	if w.config.holdsJobs() {
		c.waits.summarise()
	}
	if w.config.Impatient {
		fmt.Fprintf(w.config.Out, "impatient: %d jobs cancelled before any instance knew them\n", c.withdrawn.Load())
	}
	if w.book != nil {
		fmt.Fprintf(w.config.Out, "keys: %d answers of versions older than %v during faults\n", c.old, keyBound)
	}
}

// submit tries a job until it is accepted, and cancels a few.
func (c *callers) submit(ctx context.Context, random *rand.Rand, one *job) {
	c.mu.Lock()
	c.jobs = append(c.jobs, one)
	c.mu.Unlock()
	for range tries {
		body := stand.Job(one.steps, one.tasks, taskSize, one.gang)
		if one.lasting {
			body = stand.LastingJob(one.tasks, taskSize)
		}
		sentAt := timer.Boot()
		status, _ := c.call(ctx, random, http.MethodPost, one.id, one.identity.pick(c.world.book, random), body)
		switch status {
		case http.StatusOK:
			one.outcome = accepted
			c.tryAsOther(ctx, random, one)
			switch {
			case one.held:
				c.waits.follow(one)
				<-c.stop
			case one.lasting:
				time.Sleep(time.Duration(random.Int64N(int64(lastingMost))))
			}
			if one.slow {
				c.follow(ctx, random, one, sentAt)
				return
			}
			if one.lasting || random.IntN(cancelShare) == 0 {
				c.cancel(ctx, random, one, c.drawInstance(random))
			}
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound, http.StatusUnauthorized:
		default:
			one.outcome = uncertain
			if c.world.config.Impatient {
				c.cancel(ctx, random, one, c.drawInstance(random))
				return
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(pauseMost))))
	}
	if one.lasting && one.outcome == uncertain {
		c.cancel(ctx, random, one, c.drawInstance(random))
	}
}

// follow asks for the state of an accepted job and then cancels it. For half of the jobs
// that its successor accepts, it asks an owner that is paused, which does not know them.
func (c *callers) follow(ctx context.Context, random *rand.Rand, one *job, sentAt time.Duration) {
	paused := c.world.paused.Load()
	if paused == nil || sentAt < paused.since || random.IntN(2) == 0 {
		time.Sleep(time.Duration(random.Int64N(int64(followMost))))
		c.look(ctx, c.drawInstance(random), one)
		c.cancel(ctx, random, one, c.drawInstance(random))
		return
	}
	c.askedPaused.Add(1)
	time.Sleep(paused.askAt - timer.Boot())
	var looks sync.WaitGroup
	looks.Go(func() { c.look(ctx, paused.instance, one) })
	c.cancel(ctx, random, one, paused.instance)
	looks.Wait()
}

// look asks an instance for the state of an accepted job.
func (c *callers) look(ctx context.Context, instance int, one *job) {
	if status, _ := c.send(ctx, instance, http.MethodGet, one.id, one.identity.held(c.world.book), nil); status == http.StatusGone {
		c.report("job %s was accepted and does not exist for a question about its state", one.id)
	}
}

// cancel cancels a job, first at the given instance. A caller whose job lasts or is slow
// repeats it until it has an answer, also while its workspace has no key: the job would run
// on. An answer that the job does not exist acknowledges the cancellation too.
func (c *callers) cancel(ctx context.Context, random *rand.Rand, one *job, instance int) {
	wasAccepted := one.outcome == accepted
	for ; ctx.Err() == nil; instance = c.drawInstance(random) {
		status, _ := c.send(ctx, instance, http.MethodDelete, one.id, one.identity.held(c.world.book), nil)
		if status != http.StatusGone && status != http.StatusUnauthorized {
			one.outcome = cancelled
		}
		switch {
		case status == http.StatusOK:
			one.cancelledAt = timer.Boot()
			return
		case status == http.StatusGone && wasAccepted:
			c.report("job %s was accepted and is not known to its cancellation", one.id)
			one.outcome, one.cancelledAt = cancelled, timer.Boot()
			return
		case status == http.StatusGone && one.slow:
			one.outcome, one.cancelledAt = cancelled, timer.Boot()
			c.withdrawn.Add(1)
			return
		case status == http.StatusGone, !one.lasting && !one.slow:
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(pauseMost))))
	}
}

// checkCancelled returns the cancelled jobs of which a task started long after the answer,
// or does not end.
func (c *callers) checkCancelled() (broken []string) {
	ids := make(map[string]bool)
	for _, one := range c.jobs {
		if one.cancelledAt == 0 {
			continue
		}
		ids[one.id] = true
		if late := c.world.fleet.LastStart(one.id) - one.cancelledAt; late > cancelBound {
			broken = append(broken, fmt.Sprintf("a task of job %s started %v after its cancellation", one.id, late))
		}
	}
	var running []string
	for deadline := time.Now().Add(stopBound); ; time.Sleep(50 * time.Millisecond) {
		running = running[:0]
		for worker := range c.world.toWorker {
			for _, task := range c.world.fleet.Running(c.world.worker(worker)) {
				if ids[task.Job] {
					running = append(running, fmt.Sprintf("task %v of a cancelled job runs on", task))
				}
			}
		}
		if len(running) == 0 || time.Now().After(deadline) {
			return append(broken, running...)
		}
	}
}

func (c *callers) drawInstance(random *rand.Rand) int {
	return random.IntN(len(c.world.processes))
}

// call makes one request to a random instance.
func (c *callers) call(
	ctx context.Context, random *rand.Rand, method, id string, as credentials, body []byte,
) (status int, state string) {
	return c.send(ctx, c.drawInstance(random), method, id, as, body)
}

// send makes one request to an instance; status 0 stands for no answer. A connection that
// could not be opened counts as a refusal.
func (c *callers) send(
	ctx context.Context, instance int, method, id string, as credentials, body []byte,
) (status int, state string) {
	deadline := patience
	if c.world.config.Impatient {
		deadline = impatience
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	url := "http://" + c.world.front(instance) + as.prefix() + id
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	c.world.authenticate(request)
	if as.key != "" {
		request.Header.Set("Authorization", "Token "+as.key)
	}
	sentAt := timer.Boot()
	response, err := c.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	c.judge(as, sentAt, response.StatusCode)
	text, err := io.ReadAll(response.Body)
	if bytes.Contains(text, []byte(keys.Marker)) {
		c.report("an answer shows a key: %s %s, status %d", method, id, response.StatusCode)
	}
	var answer struct {
		State string `json:"state"`
	}
	if err != nil || method == http.MethodGet && json.Unmarshal(text, &answer) != nil {
		return response.StatusCode, ""
	}
	return response.StatusCode, answer.State
}

// check waits for the accepted jobs, and returns what is broken.
func (c *callers) check(ctx context.Context) []string {
	random := rand.New(rand.NewPCG(c.world.config.Seed, 0))
	deadline := time.Now().Add(settleWait)
	waits := newWaitCheck(c.world, c.jobs)
	stopWatch := waits.start()
	c.broken = append(c.broken, c.checkCancelled()...)
	for _, one := range c.jobs {
		if one.identity.invented && c.world.fleet.Started(one.id) {
			c.broken = append(c.broken, fmt.Sprintf("job %s ran for keys that no configuration held", one.id))
		}
		switch one.outcome {
		case accepted:
			if one.deadly {
				c.awaitGivenUp(ctx, random, one, deadline)
				continue
			}
			c.awaitCompleted(ctx, random, one, deadline)
		case refused:
			if c.world.fleet.Started(one.id) {
				c.broken = append(c.broken, fmt.Sprintf("job %s was refused by every answer, and has run", one.id))
			}
		}
	}
	stopWatch()
	return append(c.broken, waits.broken...)
}

// awaitGivenUp waits until a job with a task that crashes its workers is shown as failed.
func (c *callers) awaitGivenUp(ctx context.Context, random *rand.Rand, one *job, deadline time.Time) {
	status, state := 0, ""
	for time.Now().Before(deadline) && state != "failed" {
		status, state = c.call(ctx, random, http.MethodGet, one.id, one.identity.held(c.world.book), nil)
		time.Sleep(50 * time.Millisecond)
	}
	crashes := c.world.fleet.CrashCount(cairnbay.WorkflowTask{Job: one.id})
	fmt.Fprintf(c.world.config.Out, "job %s crashed %d workers\n", one.id, crashes)
	if state != "failed" || crashes < 2 || crashes > maxCrashes+c.world.ownerEnds {
		c.broken = append(c.broken, fmt.Sprintf("job %s crashed %d workers: status %d, state %q", one.id, crashes, status, state))
	}
}

func (c *callers) awaitCompleted(ctx context.Context, random *rand.Rand, one *job, deadline time.Time) {
	status, state := 0, ""
	for time.Now().Before(deadline) {
		status, state = c.call(ctx, random, http.MethodGet, one.id, one.identity.held(c.world.book), nil)
		if state == "completed" {
			if done := c.world.fleet.Done(one.id); done < one.steps*one.tasks {
				c.broken = append(c.broken, fmt.Sprintf("job %s is shown as completed after %d of %d tasks", one.id, done, one.steps*one.tasks))
			}
			return
		}
		if status == http.StatusGone {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.broken = append(c.broken, fmt.Sprintf("job %s was accepted and is not completed: status %d, state %q", one.id, status, state))
}
