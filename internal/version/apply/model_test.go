package apply_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"cairnbay"
	"cairnbay/internal/version/apply"
)

func init() {
	// A fixed seed makes failures reproducible.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "40")
}

// changeRequest is a change submitted by an operator, and its outcome.
type changeRequest struct {
	id     string
	path   string
	weight int
	base   uint64
	err    error
	result apply.Result
	done   bool
}

// model runs operators and injects faults on a cluster. Its oracle is the list of
// records in the store's history, replayed on a plain map.
type model struct {
	*cluster

	operators sync.WaitGroup
	mu        sync.Mutex
	changes   []*changeRequest
	// adopted lists the adopted versions of each node; those of a stopped node are
	// added before it restarts.
	adopted [][]*cairnbay.Settings
}

var (
	modelIDs   = []string{"a-0", "a-1", "a-2", "b-0", "b-1"}
	modelPaths = []string{"x", "y", "x/z"}
)

// submitChange submits a change through a member's applier, based on the version in force
// on the member with this ID. It does not wait for the outcome.
func (m *model) submitChange(id, path string) {
	follower := m.nodes[id].follower
	base, _ := follower.Version()
	baseTree := follower.Tree()
	m.mu.Lock()
	number := len(m.changes) + 1
	request := &changeRequest{id: fmt.Sprintf("change-%d", number), path: path, weight: number, base: base}
	m.changes = append(m.changes, request)
	m.mu.Unlock()
	applier := m.nodes[id].applier
	m.operators.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		result, err := applier.Apply(ctx, apply.Request{
			Tree: withWeight(baseTree, path, request.weight), Base: base, ChangeID: request.id, Who: id, Why: "test",
		})
		m.mu.Lock()
		defer m.mu.Unlock()
		request.result, request.err, request.done = result, err, true
	})
}

func (m *model) restart(id string) {
	m.adopted = append(m.adopted, m.nodes[id].versions())
	m.stop(id)
	m.start(id)
}

func (m *model) heal() {
	m.store.SetDown(false)
	m.store.SetSlow(0)
	m.store.SetWatchesSilent(false)
	m.store.LoseAnswers(0)
	m.store.LoseWrites(0)
	m.setPartitioned(false)
	for _, id := range modelIDs {
		m.store.SetCut(id, false)
	}
}

// action is one step of the model. number is a delay in milliseconds for the kinds wait and
// slow, determines the count of lost calls for answers and writes, and is even to set the
// partition for split. The kind silence affects the open watches, silent all watches.
type action struct {
	kind   string
	member string
	path   string
	number int
}

func drawAction(t *rapid.T) action {
	return action{
		kind: rapid.SampledFrom([]string{
			"change", "change", "change", "change", "wait", "wait", "down", "slow", "answers", "writes", "silence", "silent",
			"cut", "split", "restart", "compact", "heal",
		}).Draw(t, "kind"),
		member: rapid.SampledFrom(modelIDs).Draw(t, "member"),
		path:   rapid.SampledFrom(modelPaths).Draw(t, "path"),
		number: rapid.IntRange(1, 4000).Draw(t, "number"),
	}
}

func (m *model) perform(action action) {
	switch action.kind {
	case "change":
		m.submitChange(action.member, action.path)
	case "wait":
		time.Sleep(time.Duration(action.number) * time.Millisecond)
	case "down":
		m.store.SetDown(true)
	case "slow":
		m.store.SetSlow(time.Duration(action.number) * time.Millisecond)
	case "answers":
		m.store.LoseAnswers(action.number%3 + 1)
	case "writes":
		m.store.LoseWrites(action.number%3 + 1)
	case "silence":
		m.store.SilenceWatches()
	case "silent":
		m.store.SetWatchesSilent(true)
	case "cut":
		m.store.SetCut(action.member, true)
	case "split":
		m.setPartitioned(action.number%2 == 0)
	case "restart":
		m.restart(action.member)
	case "compact":
		m.store.Compact()
	case "heal":
		m.heal()
	}
}

// problemList collects failures inside the synctest bubble, where rapid must not be called.
type problemList []string

func (f *problemList) add(format string, args ...any) {
	*f = append(*f, fmt.Sprintf(format, args...))
}

// check compares the outcomes of all changes and all adopted versions with the history.
func (m *model) check(problems *problemList) {
	ctx := context.Background()
	records, err := m.nodes["a-0"].applier.History(ctx, len(m.changes)+1)
	if err != nil {
		problems.add("history: %v", err)
	}
	byChange := make(map[string]apply.Record)
	// weights and paths are indexed by version: the weight of each path, and the path
	// that the version changed. Index 0 is the empty tree.
	weights := []map[string]int{{}}
	requests := make(map[string]*changeRequest)
	for _, request := range m.changes {
		requests[request.id] = request
	}
	paths := []string{""}
	for i := len(records) - 1; i >= 0; i-- {
		record := records[i]
		if record.Version != uint64(len(weights)) {
			problems.add("version %d has place %d in the history", record.Version, len(weights))
		}
		if _, duplicate := byChange[record.ChangeID]; duplicate {
			problems.add("change %q was applied twice", record.ChangeID)
		}
		byChange[record.ChangeID] = record
		request := requests[record.ChangeID]
		next := make(map[string]int)
		for path, weight := range weights[len(weights)-1] {
			next[path] = weight
		}
		next[request.path] = request.weight
		weights = append(weights, next)
		paths = append(paths, request.path)
	}
	for _, request := range m.changes {
		checkOutcome(problems, request, byChange, paths)
	}
	for _, id := range modelIDs {
		m.adopted = append(m.adopted, m.nodes[id].versions())
	}
	for _, adopted := range m.adopted {
		checkAdopted(problems, adopted, weights)
	}
}

// checkOutcome compares the outcome returned to an operator with the history, and checks
// that the change overwrote no later version of the same path.
func checkOutcome(problems *problemList, request *changeRequest, byChange map[string]apply.Record, paths []string) {
	record, applied := byChange[request.id]
	switch {
	case !request.done:
		problems.add("change %q had no answer", request.id)
	case request.err == nil && (!applied || record.Version != request.result.Record.Version):
		problems.add("change %q was acknowledged as version %d, but its record is %+v", request.id, request.result.Record.Version, record)
	case request.err != nil && applied && !errors.Is(request.err, cairnbay.ErrUnknown):
		problems.add("change %q was refused with %v, but was applied as version %d", request.id, request.err, record.Version)
	}
	if !applied {
		return
	}
	for version := request.base + 1; version < record.Version; version++ {
		if paths[version] == request.path {
			problems.add("change %q based on version %d overwrote version %d of %q", request.id, request.base, version, request.path)
		}
	}
}

// checkAdopted checks that the versions adopted by one node increase and match the
// oracle.
func checkAdopted(problems *problemList, adopted []*cairnbay.Settings, weights []map[string]int) {
	last := uint64(0)
	for _, settings := range adopted {
		if settings.Version <= last {
			problems.add("version %d came into force after %d", settings.Version, last)
		}
		last = settings.Version
		if settings.Version >= uint64(len(weights)) {
			problems.add("version %d is in force but not in history", settings.Version)
			continue
		}
		for path, weight := range weights[settings.Version] {
			if actual := weightOf(settings, path); actual != weight {
				problems.add("version %d has weight %d for %q, want %d", settings.Version, actual, path, weight)
			}
		}
	}
}

// TestModel checks under random faults that acknowledged versions are never lost, that the
// version in force never decreases and converges on all members, and that rejected changes
// have no effect.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		actions := rapid.SliceOfN(rapid.Custom(drawAction), 5, 30).Draw(rapidT, "actions")
		var problems problemList
		synctest.Test(t, func(*testing.T) { runActions(actions, &problems) })
		if len(problems) > 0 {
			rapidT.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

// runActions performs the actions, heals all faults and checks the results.
func runActions(actions []action, problems *problemList) {
	const convergenceTime = 12 * time.Second
	m := &model{cluster: newCluster(modelIDs...)}
	defer m.close()
	time.Sleep(3 * time.Second)
	for _, action := range actions {
		m.perform(action)
	}
	m.operators.Wait()
	m.heal()
	time.Sleep(convergenceTime)
	m.check(problems)
	latest, err := m.nodes["b-1"].applier.History(context.Background(), 1)
	if err != nil {
		problems.add("history: %v", err)
	}
	if len(latest) > 0 && len(m.nodesBehind(latest[0].Version)) > 0 {
		problems.add("version %d is not in force on %v", latest[0].Version, m.nodesBehind(latest[0].Version))
	}
}
