package report_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/golden"
	"cairnbay/internal/fake/judge"
	"cairnbay/internal/fake/store"
	"cairnbay/internal/process/audit"
	"cairnbay/internal/tool/report"
	"cairnbay/internal/tool/shell"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

// bed is two instances that write to one store.
type bed struct {
	clock *clock.Clock
	store cairnbay.Store
	first *audit.Audit
	other *audit.Audit
	begin time.Time
}

func newBed() *bed {
	hand := clock.New()
	made := &bed{clock: hand, store: store.New(store.Config{Clock: hand}), begin: hand.Wall()}
	made.first = audit.New(audit.Config{
		Instance: "entry-1", DataCentre: "tallinn-a", Clock: hand, Store: made.store,
		Samples: func() []audit.Sample { return []audit.Sample{{Name: "packing_cpu", Unit: "share", Value: 0.75}} },
	})
	made.other = audit.New(audit.Config{Instance: "entry-2", DataCentre: "maardu", Clock: hand, Store: made.store})
	DeferCleanup(made.first.Close)
	DeferCleanup(made.other.Close)
	return made
}

// load records some work on both, with a check of each promise.
func (b *bed) load() {
	quoting := cairnbay.Labels{Kind: "quoting", Band: "interactive", Team: "north"}
	for _, member := range []*audit.Audit{b.first, b.other} {
		member.SettingsInForce(1)
		for i := range 100 {
			member.ObserveWait(quoting, time.Duration(i)*time.Millisecond)
		}
		member.CountOutcome(quoting, string(cairnbay.OutcomeDone))
		member.CountRefusal(quoting, "queue_full")
		for _, promise := range cairnbay.AllPromises() {
			member.CountPromise(promise, 10)
		}
	}
	b.clock.Advance(20 * time.Second)
}

func (b *bed) end() time.Time {
	return b.clock.Wall().Add(time.Second)
}

func (b *bed) report(options report.Options) report.Report {
	Expect(b.first.Flush(context.Background())).To(Succeed())
	Expect(b.other.Flush(context.Background())).To(Succeed())
	records, err := audit.Read(context.Background(), b.store, b.begin, b.end(), audit.Filter{})
	Expect(err).NotTo(HaveOccurred())
	options.From, options.To = b.begin, b.end()
	return report.Make(audit.Verify(records, audit.Check{From: options.From, To: options.To}), options)
}

var _ = Describe("Make", func() {
	It("shows that every promise held", func() {
		bed := newBed()
		bed.load()
		made := bed.report(report.Options{})
		Expect(made.Sound()).To(BeTrue())
		Expect(made.Covered).To(Equal(1.0))
		Expect(made.Waits).To(HaveLen(1))
		Expect(made.Waits[0].Count).To(Equal(int64(200)))
		var text bytes.Buffer
		Expect(report.Text(&text, made)).To(Succeed())
		golden.Check("held", text.Bytes())
	})

	It("restricts counts to a team", func() {
		bed := newBed()
		bed.load()
		made := bed.report(report.Options{Team: "south"})
		Expect(made.Waits).To(BeEmpty())
		Expect(made.Promises[0].Held).To(Equal(uint64(20)))
	})

	It("cannot show a promise that nobody checked", func() {
		made := newBed().report(report.Options{})
		for _, line := range made.Promises {
			Expect(line.State).To(Equal(report.StateNotShown))
		}
	})

	for _, promise := range cairnbay.AllPromises() {
		It("finds "+string(promise)+" broken when the stand-ins' records show it", func() {
			bed := newBed()
			bed.load()
			verdicts := judge.Check(broken(promise))
			judge.Record(bed.first, verdicts)
			made := bed.report(report.Options{})
			Expect(made.Sound()).To(BeFalse())
			for _, line := range made.Promises {
				if line.Promise == promise {
					Expect(line.State).To(Equal(report.StateBroken))
					Expect(line.Evidence).NotTo(BeEmpty())
					continue
				}
				Expect(line.State).To(Equal(report.StateHeld), string(line.Promise))
			}
		})
	}

	It("finds settings that went back or came late by the versions alone", func() {
		bed := newBed()
		bed.load()
		bed.first.SettingsInForce(2)
		bed.clock.Advance(30 * time.Second)
		bed.first.SettingsInForce(1)
		bed.clock.Advance(time.Second)
		line := bed.report(report.Options{}).Promises[7]
		Expect(line.State).To(Equal(report.StateBroken))
		Expect(line.Evidence).To(HaveLen(2))
		Expect(line.Evidence[0].Name).To(Equal("settings_reverted"))
		Expect(line.Evidence[1].Name).To(Equal("settings_late"))
		Expect(line.Evidence[1].Instance).To(Equal("entry-2"))
	})
})

// broken is a history of stand-ins that breaks one promise only.
func broken(promise cairnbay.Promise) judge.Input {
	task := cairnbay.TaskID{Job: "reprice"}
	large := cairnbay.Resources{MilliCPU: 2000}
	served := judge.Served{RequestID: "a", Idempotent: true, Whole: true, Answer: "A"}
	switch promise {
	case cairnbay.PromiseCapacity:
		return judge.Input{Workers: []judge.Worker{{ID: "w1", Capacity: cairnbay.Resources{MilliCPU: 1000}, Runs: []judge.Run{{Task: task, Size: large}}}}}
	case cairnbay.PromiseOnePlace:
		return judge.Input{Workers: []judge.Worker{
			{ID: "w1", Capacity: large, Runs: []judge.Run{{Task: task, Size: large}}},
			{ID: "w2", Capacity: large, Runs: []judge.Run{{Task: task, Size: large}}},
		}}
	case cairnbay.PromiseWholeReply:
		return judge.Input{Calls: []judge.Call{{RequestID: "a", Outcome: cairnbay.OutcomeDone, Answer: "B"}}}
	case cairnbay.PromiseNotRun:
		return judge.Input{
			Runners: []judge.Runner{{ID: "r1", Requests: []judge.Served{served}}},
			Calls:   []judge.Call{{RequestID: "a", Outcome: cairnbay.OutcomeNotRun}},
		}
	case cairnbay.PromiseAtMostOnce:
		served.Idempotent = false
		return judge.Input{Runners: []judge.Runner{{ID: "r1", Requests: []judge.Served{served, served}}}}
	case cairnbay.PromiseLeaving:
		served.FromMS = 60_000
		return judge.Input{Runners: []judge.Runner{{ID: "r1", LeavingMS: 1, Requests: []judge.Served{served}}}}
	case cairnbay.PromiseGraceful:
		return judge.Input{
			Stops: []judge.Stop{{Instance: "entry-1", Span: judge.Span{FromMS: 5}}},
			Calls: []judge.Call{{Span: judge.Span{FromMS: 1, UntilMS: 9}, Via: "entry-1", Cut: true}},
		}
	default:
		return judge.Input{Seen: []judge.Seen{{Member: "entry-1", Version: 2, AtMS: 1}, {Member: "entry-1", Version: 1, AtMS: 2}}}
	}
}

// operators serves records as the operators' API does.
func operators(reader audit.Reader) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+audit.RecordsPath, func(writer http.ResponseWriter, request *http.Request) {
		from, fromErr := time.Parse(time.RFC3339, request.URL.Query().Get("from"))
		to, toErr := time.Parse(time.RFC3339, request.URL.Query().Get("to"))
		answer, err := reader.Read(request.Context(), from, to)
		if err := errors.Join(fromErr, toErr, err); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(writer).Encode(answer)
	})
	return mux
}

var _ = Describe("audit command", func() {
	run := func(bed *bed, line ...string) (code int, out, errs string) {
		server := httptest.NewServer(operators(audit.Reader{Store: bed.store}))
		DeferCleanup(server.Close)
		var written, complained bytes.Buffer
		streams := shell.Streams{Out: &written, Err: &complained, Getenv: func(name string) string {
			if name == "CAIRNBAY_OPERATORS" {
				return server.URL
			}
			return ""
		}}
		code = shell.New(streams, report.Commands()...).Run(context.Background(), line)
		return code, written.String(), complained.String()
	}
	times := func(bed *bed) []string {
		return []string{"-from", bed.begin.Format(time.RFC3339), "-to", bed.end().Add(time.Second).Format(time.RFC3339)}
	}

	It("reads the operators' API and exits 0 when every promise held", func() {
		bed := newBed()
		bed.load()
		bed.report(report.Options{})
		code, out, _ := run(bed, append([]string{"audit"}, times(bed)...)...)
		Expect(code).To(Equal(shell.ExitOK))
		Expect(out).To(ContainSubstring("settings_in_force_never_revert"))
	})

	It("exits 1 when a promise was broken", func() {
		bed := newBed()
		bed.load()
		bed.first.RecordException(cairnbay.Exception{Name: "test", Promise: cairnbay.PromiseNotRun, Broken: true})
		bed.report(report.Options{})
		code, out, errs := run(bed, append([]string{"audit", "-json"}, times(bed)...)...)
		Expect(code).To(Equal(shell.ExitFailed))
		Expect(out).To(ContainSubstring(`"state": "broken"`))
		Expect(errs).To(ContainSubstring("not every promise"))
	})

	It("exports one page that needs no other file, and CSV", func() {
		bed := newBed()
		bed.load()
		bed.report(report.Options{})
		directory := filepath.Join(GinkgoT().TempDir(), "out")
		code, _, errs := run(bed, append([]string{"audit", "export", "-out", directory}, times(bed)...)...)
		Expect(errs).To(BeEmpty())
		Expect(code).To(Equal(shell.ExitOK))
		page, err := os.ReadFile(filepath.Join(directory, "report.html"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring("<svg"))
		Expect(string(page)).NotTo(MatchRegexp(`(src|href)="[^#]`))
		waits, err := os.ReadFile(filepath.Join(directory, "waits.csv"))
		Expect(err).NotTo(HaveOccurred())
		golden.Check("waits_csv", waits)
	})

	scenarios := map[string][]string{
		"-from":               {"audit", "-from", "yesterday"},
		"is not before":       {"audit", "-from", "1h", "-to", "2h"},
		"unexpected argument": {"audit", "exprot"},
		"trust":               {"audit", "-trust", "/nonexistent"},
		"-certificate":        {"audit", "-certificate", "/nonexistent"},
	}
	for complaint, line := range scenarios {
		It("refuses bad input naming "+complaint, func() {
			code, _, errs := run(newBed(), line...)
			Expect(code).To(Equal(shell.ExitUsage))
			Expect(errs).To(ContainSubstring(complaint))
		})
	}
})
