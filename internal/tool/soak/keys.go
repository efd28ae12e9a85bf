package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"cairnbay/internal/fake/keys"
	"cairnbay/internal/fake/proxy"
	"cairnbay/internal/process/timer"
	"cairnbay/platform"
	"cairnbay/platform/stand"
)

const (
	// publicPrefix is the prefix of the queue that needs no key.
	publicPrefix = "/p/"
	// keyBound is the time within which every instance handles calls by a version or a
	// newer one.
	keyBound = 3 * time.Second
	// calmChanges changes of keys follow the last fault, calmGap apart, once keyBound
	// has passed. Some intervals exceed keyBound, so that every call is judged strictly.
	calmChanges = 8
	calmGap     = 500 * time.Millisecond
	// keySequence is the sequence of random numbers for keys.
	keySequence = 1 << 20
	// publicShare is one in so many jobs that goes to the public queue, inventedShare one
	// whose caller has no key of any configuration, otherShare one accepted job that
	// another workspace tries to use.
	publicShare, inventedShare, otherShare = 8, 12, 5
)

// keyFaults are the faults of a run with workspaces.
var keyFaults = append([]fault{rotateKeys, addKey, withdrawKeys}, faults...)

func rotateKeys(_ context.Context, w *world, random *rand.Rand, _ time.Duration) string {
	workspace := random.IntN(w.book.Size())
	w.book.Rotate(workspace)
	return fmt.Sprintf("workspace %d has another key, configuration %d", workspace, w.configure())
}

func addKey(_ context.Context, w *world, random *rand.Rand, _ time.Duration) string {
	workspace := random.IntN(w.book.Size())
	w.book.Add(workspace)
	return fmt.Sprintf("workspace %d has one more key, configuration %d", workspace, w.configure())
}

func withdrawKeys(ctx context.Context, w *world, random *rand.Rand, length time.Duration) string {
	workspace := random.IntN(w.book.Size())
	w.book.Withdraw(workspace)
	number := w.configure()
	w.after(ctx, length, func() {
		w.book.Add(workspace)
		w.configure()
	})
	return fmt.Sprintf("workspace %d has no key for %v, configuration %d", workspace, length, number)
}

// putTenants writes a configuration with workspaces.
func (w *world) putTenants(number int, workspaces []keys.Workspace) {
	var tenants []stand.Tenant
	for _, workspace := range workspaces {
		tenants = append(tenants, stand.Tenant{Name: workspace.Name, APIKeys: workspace.Keys, Weight: 1})
	}
	w.put(platform.RoutingKey, stand.TenantConfig(number, class, host, prefix, publicPrefix, w.terms, tenants))
}

// rotateInCalm changes keys after the last fault, so that callers see whether all
// instances follow in time. During the second half of the changes a third of the
// instances do not reach the store, and must follow all the same. Every workspace has a
// key at the end.
func (w *world) rotateInCalm(ctx context.Context, random *rand.Rand) {
	if w.book == nil || w.config.holdsJobs() {
		return
	}
	w.calmSince.Store(int64(timer.Boot()))
	time.Sleep(keyBound)
	cut := w.toStore[:max(len(w.toStore)/3, 1)]
	for change := range calmChanges {
		if change == calmChanges/2 {
			mode := []proxy.Mode{proxy.Silence, proxy.OneWay, proxy.Reset}[random.IntN(3)]
			fmt.Fprintf(w.config.Out, "calm: links of %d instances to the store: %v\n", len(cut), mode)
			for _, link := range cut {
				link.Set(mode)
			}
		}
		workspace := random.IntN(w.book.Size())
		switch random.IntN(3) {
		case 0:
			w.book.Withdraw(workspace)
		case 1:
			w.book.Rotate(workspace)
		default:
			w.book.Add(workspace)
		}
		fmt.Fprintf(w.config.Out, "calm: workspace %d has other keys, configuration %d\n", workspace, w.configure())
		time.Sleep(calmGap)
	}
	time.Sleep(keyBound + calmGap)
	for _, link := range cut {
		link.Set(proxy.Pass)
	}
	for workspace := range w.book.Size() {
		w.book.Add(workspace)
	}
	w.configure()
	sleep(ctx, keyBound)
}

// identity is in whose name a caller submits a job.
type identity struct {
	workspace int
	// public says that the job goes to the public queue, invented that its caller has no
	// key that a configuration holds.
	public, invented bool
	// keyless says that the configuration has no workspaces.
	keyless bool
}

// credentials are what one call carries.
type credentials struct {
	key    string
	public bool
	// judged says that the answer depends on the key.
	judged bool
}

func (a credentials) prefix() string {
	if a.public {
		return publicPrefix
	}
	return prefix
}

func (c *callers) drawIdentity(random *rand.Rand) identity {
	if c.world.book == nil {
		return identity{keyless: true}
	}
	drawn := identity{workspace: random.IntN(c.world.book.Size())}
	drawn.public = random.IntN(publicShare) == 0
	drawn.invented = !drawn.public && random.IntN(inventedShare) == 0
	return drawn
}

// pick returns credentials for a submission.
func (i identity) pick(book *keys.Book, random *rand.Rand) credentials {
	switch {
	case i.keyless:
		return credentials{}
	case i.invented:
		return credentials{key: book.Invent(), judged: true}
	default:
		return credentials{key: book.Pick(i.workspace, random), public: i.public, judged: !i.public}
	}
}

// held returns credentials with the newest key of the workspace.
func (i identity) held(book *keys.Book) credentials {
	if i.keyless {
		return credentials{}
	}
	return credentials{key: book.Key(i.workspace), public: i.public, judged: !i.public}
}

// judge compares what an answer says of the key with the versions that may be in force.
func (c *callers) judge(as credentials, sentAt time.Duration, status int) {
	if !as.judged {
		return
	}
	call := keys.Call{Key: as.key, SentAt: sentAt, AnsweredAt: timer.Boot()}
	switch status {
	case http.StatusUnauthorized:
		call.Rejected = true
	case http.StatusOK, http.StatusGone, http.StatusConflict, http.StatusGatewayTimeout, http.StatusBadRequest:
		call.Accepted = true
	}
	calmSince := time.Duration(c.world.calmSince.Load())
	if wrong := c.world.book.Judge(call, 0); wrong != "" {
		c.report("%s", wrong)
		return
	}
	wrong := c.world.book.Judge(call, keyBound)
	switch {
	case wrong == "":
	case calmSince > 0 && sentAt >= calmSince+keyBound:
		c.report("in calm: %s", wrong)
	default:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.old++
	}
}

// report notes a violation.
func (c *callers) report(format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, arguments...))
}

// tryAsOther uses the ID of an accepted job in the name of another workspace, or through
// the public queue, now and then.
func (c *callers) tryAsOther(ctx context.Context, random *rand.Rand, one *job) {
	if one.identity.keyless || one.identity.public || random.IntN(otherShare) > 0 {
		return
	}
	book := c.world.book
	other := identity{workspace: (one.identity.workspace + 1) % book.Size(), public: random.IntN(2) == 0}
	for method, body := range map[string][]byte{
		http.MethodGet: nil, http.MethodDelete: nil, http.MethodPost: stand.Job(1, 1, taskSize, false),
	} {
		if status, _ := c.call(ctx, random, method, one.id, other.held(book), body); status == http.StatusOK {
			c.report("job %s of workspace %d: %s in the name of workspace %d (public queue: %t) got 200",
				one.id, one.identity.workspace, method, other.workspace, other.public)
		}
	}
}

// searchKeys looks for keys in clear in all logs and metrics of the instances and in
// what they have stored.
func (w *world) searchKeys(ctx context.Context) (broken []string) {
	if w.book == nil {
		return nil
	}
	look := func(where string, text []byte) {
		if bytes.Contains(text, []byte(keys.Marker)) {
			broken = append(broken, where+" shows a key")
		}
	}
	searched := 0
	for i := range w.processes {
		logs, err := os.ReadFile(w.file(i, "log"))
		if err != nil {
			broken = append(broken, "log not searched: "+err.Error())
		}
		look("log of "+w.name(i), logs)
		exported, err := w.metrics(ctx, i)
		if err != nil {
			broken = append(broken, "metrics not searched: "+err.Error())
		}
		look("metrics of "+w.name(i), exported)
		searched += len(logs) + len(exported)
	}
	listing, err := w.store.List(ctx, "")
	if err != nil {
		broken = append(broken, "store not searched: "+err.Error())
	}
	for _, entry := range listing.Entries {
		if entry.Key != platform.RoutingKey {
			look("store's key "+entry.Key, append([]byte(entry.Key), entry.Value...))
			searched += len(entry.Value)
		}
	}
	fmt.Fprintf(w.config.Out, "keys: searched %d bytes of logs, metrics and stored values\n", searched)
	return broken
}

// metrics returns what an instance exports.
func (w *world) metrics(ctx context.Context, instance int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	url := fmt.Sprintf("http://127.0.0.1:%d/metrics", w.config.FirstPort+instance*portsEach+1)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}
