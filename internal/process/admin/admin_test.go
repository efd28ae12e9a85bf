package admin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/golden"
	"cairnbay/internal/process/admin"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

// fakeBackend implements every dependency of the API.
type fakeBackend struct {
	submitErr  error
	exceptions []string
}

func (b *fakeBackend) Current() *cairnbay.Settings {
	return &cairnbay.Settings{Version: 3, Branches: map[string]*cairnbay.Branch{
		"a":   {Path: "a", Kind: cairnbay.KindBatch, Team: "t", Placing: cairnbay.Placing{Band: cairnbay.BandBatch}},
		"b/x": {Path: "b/x", Kind: cairnbay.KindBatch},
	}}
}
func (b *fakeBackend) OnChange(func(*cairnbay.Settings)) {}

func (b *fakeBackend) Identify(certName, token string) (string, error) {
	if token == "right" {
		return "ann", nil
	}
	return "", errors.Annotatef(cairnbay.ErrForbidden, "no operator has this token")
}

// Allow permits reads everywhere and other verbs only on paths that start with
// "a".
func (b *fakeBackend) Allow(operator, verb, path string) error {
	if verb == admin.VerbRead || strings.HasPrefix(path, "a") {
		return nil
	}
	return errors.Annotatef(cairnbay.ErrForbidden, "operator %q may not %s branch %q", operator, verb, path)
}

func (b *fakeBackend) Submit(_ context.Context, job cairnbay.Job) (cairnbay.JobID, cairnbay.ShardID, error) {
	return "j-1", cairnbay.ShardID(job.DataCentre + "/" + job.Class), b.submitErr
}

func (b *fakeBackend) Cancel(_ context.Context, jobs []cairnbay.JobID) (int, error) {
	return len(jobs), nil
}

func (b *fakeBackend) Jobs(context.Context) ([]cairnbay.JobView, error) {
	return []cairnbay.JobView{
		{Job: cairnbay.Job{ID: "j-1", Branch: "a"}}, {Job: cairnbay.Job{ID: "j-2", Branch: "b/x"}},
	}, nil
}

func (b *fakeBackend) Explain(_ context.Context, job cairnbay.JobID) (cairnbay.Explanation, error) {
	return cairnbay.Explanation{}, errors.Annotatef(cairnbay.ErrNotFound, "job %q", job)
}

func (b *fakeBackend) Plan(context.Context, string, admin.Bundle) (admin.Plan, error) {
	return admin.Plan{}, nil
}

func (b *fakeBackend) Apply(context.Context, string, admin.Bundle) (admin.Applied, error) {
	return admin.Applied{}, errors.Annotatef(cairnbay.ErrConflict, "branch %q was changed by %s", "a", "c-9")
}

func (b *fakeBackend) History(context.Context) ([]admin.Version, error) { return nil, nil }

func (b *fakeBackend) At(context.Context, uint64) (*cairnbay.Settings, error) {
	return b.Current(), nil
}

func (b *fakeBackend) Drain(context.Context, string, admin.DrainSpec) (admin.Applied, error) {
	return admin.Applied{}, nil
}

func (b *fakeBackend) Read(context.Context, time.Time, time.Time) (any, error) { return nil, nil }

func (b *fakeBackend) ObserveWait(cairnbay.Labels, time.Duration) {}
func (b *fakeBackend) CountOutcome(cairnbay.Labels, string)       {}
func (b *fakeBackend) CountRefusal(cairnbay.Labels, string)       {}
func (b *fakeBackend) CountPromise(cairnbay.Promise, uint64)      {}
func (b *fakeBackend) RecordException(exception cairnbay.Exception) {
	b.exceptions = append(b.exceptions, fmt.Sprintf("%s by %s: %s", exception.Name, exception.Fields["operator"], exception.Fields["why"]))
}

const jobJSON = `{"branch": "a", "class": "c", "tasks": 1, "size": {"milli_cpu": 1, "memory_mb": 1}%s}`

var scenarios = []struct {
	name, token, method, path, body string
	submitErr                       error
}{
	{name: "wrong_token", token: "wrong", method: "GET", path: "/v1/jobs"},
	{name: "submit", token: "right", method: "POST", path: "/v1/jobs", body: fmt.Sprintf(jobJSON, "")},
	{name: "submit_unknown_field", token: "right", method: "POST", path: "/v1/jobs", body: fmt.Sprintf(jobJSON, `, "taks": 3`)},
	{name: "submit_malformed", token: "right", method: "POST", path: "/v1/jobs", body: `{"branch": `},
	{name: "submit_two_values", token: "right", method: "POST", path: "/v1/jobs", body: `{"branch": "a"} {}`},
	{name: "submit_nested_too_deep", token: "right", method: "POST", path: "/v1/jobs", body: strings.Repeat("[", 100_000)},
	{name: "submit_oversize", token: "right", method: "POST", path: "/v1/jobs", body: `{"command": "` + strings.Repeat("x", 9<<20) + `"}`},
	{name: "submit_outside_grant", token: "right", method: "POST", path: "/v1/jobs", body: `{"branch": "b/x"}`},
	{name: "submit_malformed_run_time", token: "right", method: "POST", path: "/v1/jobs", body: fmt.Sprintf(jobJSON, `, "run_time": "soon"`)},
	{name: "submit_outcome_unknown", token: "right", method: "POST", path: "/v1/jobs", body: fmt.Sprintf(jobJSON, ""), submitErr: errors.Annotate(cairnbay.ErrUnknown, "journal")},
	{name: "submit_store_down", token: "right", method: "POST", path: "/v1/jobs", body: fmt.Sprintf(jobJSON, ""), submitErr: errors.Annotate(cairnbay.ErrUnavailable, "journal")},
	{name: "cancel_outside_grant", token: "right", method: "POST", path: "/v1/jobs/cancel", body: `{"jobs": ["j-1", "j-2"], "why": "x"}`},
	{name: "cancel_unknown_job", token: "right", method: "POST", path: "/v1/jobs/cancel", body: `{"jobs": ["j-9"]}`},
	{name: "cancel", token: "right", method: "POST", path: "/v1/jobs/cancel", body: `{"jobs": ["j-1"], "why": "wrong list"}`},
	{name: "explain_unknown_job", token: "right", method: "GET", path: "/v1/explain?job=j-9"},
	{name: "apply_conflict", token: "right", method: "POST", path: "/v1/settings/apply", body: `{"files": {}, "change_id": "c-1"}`},
	{name: "apply_without_change_id", token: "right", method: "POST", path: "/v1/settings/apply", body: `{"files": {}}`},
	{name: "records_malformed_time", token: "right", method: "GET", path: "/v1/audit/records?from=yesterday"},
	{name: "not_ready", token: "right", method: "GET", path: "/readyz"},
}

var _ = Describe("the operators' API", func() {
	for _, scenario := range scenarios {
		It("returns the expected response for "+scenario.name, func() {
			backend := &fakeBackend{submitErr: scenario.submitErr}
			log := logrus.New()
			log.SetOutput(io.Discard)
			api := admin.New(admin.Config{
				Clock: clock.New(), Settings: backend, Rights: backend, Jobs: backend, Changes: backend, Records: backend, Recorder: backend,
				Instances: func() []cairnbay.Instance {
					return []cairnbay.Instance{{Kind: cairnbay.InstanceWorker, Class: "c", DataCentre: "d", Capacity: cairnbay.Resources{MilliCPU: 9, MemoryMB: 9}}}
				},
				Ready: func() error { return errors.New("no settings are in force yet") },
				Log:   logrus.NewEntry(log),
			})
			request := httptest.NewRequest(scenario.method, scenario.path, strings.NewReader(scenario.body))
			request.Header.Set("Authorization", "Bearer "+scenario.token)
			recorder := httptest.NewRecorder()
			api.ServeHTTP(recorder, request)
			golden.Check(scenario.name, render(recorder, backend))
		})
	}
})

func render(recorder *httptest.ResponseRecorder, backend *fakeBackend) []byte {
	return fmt.Appendf(nil, "%d %s\ntype: %s\noutcome: %s\n%s\nexceptions: %q\n", recorder.Code, http.StatusText(recorder.Code),
		recorder.Header().Get("Content-Type"), recorder.Header().Get(cairnbay.OutcomeHeader),
		strings.TrimSpace(recorder.Body.String()), backend.exceptions)
}
