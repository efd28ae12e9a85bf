package stand

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/fake/judge"
	"cairnbay/internal/fake/runner"
	"cairnbay/internal/fake/worker"
)

// maxControlBytes bounds the body of a control call.
const maxControlBytes = 1 << 20

// StoreFaults are the store's faults to set.
type StoreFaults struct {
	Down           bool `json:"down"`
	SlowMS         int  `json:"slow_ms"`
	LoseAnswers    int  `json:"lose_answers"`
	LoseWrites     int  `json:"lose_writes"`
	SilenceWatches bool `json:"silence_watches"`
}

// ListFaults are the list's faults to set.
type ListFaults struct {
	Down      bool     `json:"down"`
	Forgotten []string `json:"forgotten"`
}

// Faults are what a control call sets; what is left out stays as it is.
type Faults struct {
	Store   *StoreFaults             `json:"store"`
	List    *ListFaults              `json:"list"`
	Workers map[string]worker.Faults `json:"workers"`
	Runners map[string]runner.Faults `json:"runners"`
	// Leave shows runners as leaving; Silence makes their open connections
	// silent for good.
	Leave   []string `json:"leave"`
	Silence []string `json:"silence"`
}

// Control serves the stand-ins' own controls: POST /faults sets faults, POST
// /instances adds a row to the list, DELETE /instances/{id} removes one, GET
// /records returns what workers and runners saw, and GET /verdicts the promises
// judged by it.
func (s *Stand) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", control(func(faults Faults) error { return s.SetFaults(faults) }))
	mux.HandleFunc("POST /instances", control(func(instance cairnbay.Instance) error {
		s.List.Set(instance)
		return nil
	}))
	mux.HandleFunc("DELETE /instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.List.Remove(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Records())
	})
	mux.HandleFunc("GET /verdicts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(judge.Check(s.Records()))
	})
	return mux
}

// control decodes a call's body and carries it out.
func control[body any](carryOut func(body) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in body
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := carryOut(in); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// SetFaults sets faults. Errors: ErrNotFound, naming the instance.
func (s *Stand) SetFaults(faults Faults) error {
	if faults.Store != nil {
		s.setStoreFaults(*faults.Store)
	}
	if faults.List != nil {
		s.setListFaults(*faults.List)
	}
	for id, fault := range faults.Workers {
		found, err := s.Worker(id)
		if err != nil {
			return errors.Trace(err)
		}
		found.SetFaults(fault)
	}
	return s.setRunnerFaults(faults)
}

func (s *Stand) setStoreFaults(faults StoreFaults) {
	s.Store.SetDown(faults.Down)
	s.Store.SetSlow(milliseconds(faults.SlowMS))
	s.Store.LoseAnswers(faults.LoseAnswers)
	s.Store.LoseWrites(faults.LoseWrites)
	if faults.SilenceWatches {
		s.Store.SilenceWatches()
	}
}

func (s *Stand) setListFaults(faults ListFaults) {
	s.List.SetDown(faults.Down)
	for _, id := range faults.Forgotten {
		s.List.SetForgotten(id, true)
	}
}

func (s *Stand) setRunnerFaults(faults Faults) error {
	for id, fault := range faults.Runners {
		found, err := s.Runner(id)
		if err != nil {
			return errors.Trace(err)
		}
		found.SetFaults(fault)
	}
	for _, id := range faults.Leave {
		if err := s.Leave(id); err != nil {
			return errors.Trace(err)
		}
	}
	for _, id := range faults.Silence {
		found, err := s.Runner(id)
		if err != nil {
			return errors.Trace(err)
		}
		found.Silence(true, true)
	}
	return nil
}
