// Package admin serves health checks, metrics and the operators' API, an HTTP API
// with JSON bodies that the commands call.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"cairnbay"
)

// Jobs submits, cancels and inspects jobs through the owners of their shards.
type Jobs interface {
	Submit(ctx context.Context, job cairnbay.Job) (cairnbay.JobID, cairnbay.ShardID, error)
	Cancel(ctx context.Context, jobs []cairnbay.JobID) (int, error)
	Jobs(ctx context.Context) ([]cairnbay.JobView, error)
	Explain(ctx context.Context, job cairnbay.JobID) (cairnbay.Explanation, error)
}

// Config holds the dependencies of an Admin.
type Config struct {
	Clock    cairnbay.Clock
	Settings cairnbay.SettingsSource
	Rights   Rights
	Jobs     Jobs
	Changes  Changes
	Records  Records
	Recorder cairnbay.Recorder
	// Instances returns the instances that the platform lists.
	Instances func() []cairnbay.Instance
	// Status returns this instance's view of members, shards and the platform.
	Status func(ctx context.Context) Status
	// Ready returns nil once the instance serves, otherwise the reason it does
	// not.
	Ready func() error
	// Metrics are the metrics of this instance, served together with those of
	// the process.
	Metrics *metrics.Set
	Log     *logrus.Entry
}

// Admin serves the operators' address. /healthz, /readyz and /metrics need no
// authentication; every other path identifies the operator first.
type Admin struct {
	config Config
	mux    *http.ServeMux
}

// New returns an Admin.
func New(config Config) *Admin {
	admin := &Admin{config: config, mux: http.NewServeMux()}
	admin.mux.HandleFunc("GET /healthz", serveHealth)
	admin.mux.HandleFunc("GET /readyz", admin.serveReady)
	admin.mux.HandleFunc("GET /metrics", admin.serveMetrics)
	admin.handle("GET /v1/status", admin.status)
	admin.handle("POST /v1/jobs", admin.submit)
	admin.handle("GET /v1/jobs", admin.jobs)
	admin.handle("POST /v1/jobs/cancel", admin.cancel)
	admin.handle("GET /v1/explain", admin.explain)
	admin.handle("POST /v1/settings/plan", admin.plan)
	admin.handle("POST /v1/settings/apply", admin.apply)
	admin.handle("GET /v1/settings", admin.settings)
	admin.handle("GET /v1/settings/history", admin.history)
	admin.handle("POST /v1/drains", admin.drain)
	admin.handle("GET /v1/audit/records", admin.records)
	return admin
}

// ServeHTTP implements http.Handler.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mux.ServeHTTP(w, r)
}

// handle registers an authenticated endpoint that responds in JSON.
func (a *Admin) handle(pattern string, handler func(c *call) (any, error)) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		started := time.Now()
		response, operator, err := a.serve(r, handler)
		a.logCall(r, operator, started, err)
		if err != nil {
			writeProblem(w, err)
			return
		}
		writeResponse(w, response)
	})
}

// serve identifies the operator and calls the handler; operator is empty if it is
// unknown.
func (a *Admin) serve(r *http.Request, handler func(c *call) (any, error)) (response any, operator string, err error) {
	operator, err = a.identifyOperator(r)
	if err != nil {
		return nil, "", err
	}
	response, err = handler(&call{operator: operator, request: r, admin: a})
	return response, operator, err
}

func (a *Admin) logCall(r *http.Request, operator string, started time.Time, err error) {
	entry := a.config.Log.WithFields(logrus.Fields{
		"operator": operator,
		"method":   r.Method,
		"path":     r.URL.Path,
		"took_ms":  time.Since(started).Milliseconds(),
	})
	if err != nil {
		entry.WithError(err).Warn("operator API call failed")
		return
	}
	entry.Debug("operator API call succeeded")
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.config.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Admin) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	a.config.Metrics.WritePrometheus(w)
	// true adds the metrics of the Go process.
	metrics.WritePrometheus(w, true)
}
