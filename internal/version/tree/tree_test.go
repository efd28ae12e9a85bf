package tree_test

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay"
	"cairnbay/internal/fake/golden"
	"cairnbay/internal/version/tree"
)

func TestTree(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tree")
}

// files returns a folder of declarations from pairs of branch path and content.
func files(pairs ...string) fstest.MapFS {
	fsys := make(fstest.MapFS)
	for i := 0; i < len(pairs); i += 2 {
		name := strings.TrimPrefix(pairs[i]+"/"+tree.FileName, "/")
		fsys[name] = &fstest.MapFile{Data: []byte(pairs[i+1])}
	}
	return fsys
}

func load(pairs ...string) *tree.Tree {
	GinkgoHelper()
	loaded, err := tree.Load(files(pairs...))
	Expect(err).NotTo(HaveOccurred())
	return loaded
}

// tokenHash is the SHA-256 of "test".
const tokenHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

var _ = Describe("Load", func() {
	It("inherits each value separately and reports its origin", func() {
		loaded := load(
			"", "request: {timeout: 5s, weight: 2}\nplacing: {quota: {milli_cpu: 64000, memory_mb: 1000}}",
			"vihmavesi", "team: sales\nplacing: {quota: {memory_mb: 500}, band: urgent}",
			"vihmavesi/quoting", "service: quoting\nkind: service\nrequest:\n  timeout: 90s\n",
		)
		settings, err := loaded.Resolve(7)
		Expect(err).NotTo(HaveOccurred())
		quoting := settings.Services["quoting"]
		Expect(quoting.Path).To(Equal("vihmavesi/quoting"))
		Expect(quoting.Request.Timeout).To(Equal(90 * time.Second))
		Expect(quoting.Request.Weight).To(Equal(2.0))
		Expect(quoting.Request.QueueLength).To(Equal(tree.Defaults().Request.QueueLength))
		Expect(quoting.Placing.Quota).To(Equal(cairnbay.Resources{MilliCPU: 64000, MemoryMB: 500}))
		Expect(quoting.Placing.Band).To(Equal(cairnbay.BandUrgent))
		Expect(settings.Teams["sales"].Path).To(Equal("vihmavesi"))
		Expect(settings.Branches).To(HaveLen(3))

		explained, err := loaded.Explain("vihmavesi/quoting")
		Expect(err).NotTo(HaveOccurred())
		var text strings.Builder
		for _, line := range explained {
			fmt.Fprintf(&text, "%s = %s (default %t, from %q)\n", line.Name, line.Value, line.Default, line.Origin)
		}
		golden.Check("explain", []byte(text.String()))
	})

	It("reports every fault with file, line, value and accepted values", func() {
		_, err := tree.Load(files(
			"", "request:\n  timeout: soon\n  wait: 3\nplacing:\n  quota: {milli_cpu: 100}\noperators:\n- name: ann\n  token_hash: short\n",
			"a", "service: quoting\nplacing:\n  quota:\n    milli_cpu: 200\n  band: first\n",
			"b c", "service: quoting\n",
			"d", "request: [1]\n",
			"e", "weight: {a: 1}\n",
			"f", "a: 1\na: 2\n",
		))
		Expect(err).To(MatchError(cairnbay.ErrInvalid))
		golden.Check("faults", []byte(err.Error()+"\n"))
	})

	It("warns of a quota that exceeds all workers together", func() {
		loaded := load("", "placing: {quota: {accelerators: 10}}")
		Expect(loaded.Warnings(cairnbay.Resources{MilliCPU: 1, MemoryMB: 1, Accelerators: 8})).To(HaveLen(1))
		Expect(loaded.Warnings(cairnbay.Resources{Accelerators: 10})).To(BeEmpty())
	})

	It("encodes the same tree to the same bytes and decodes them", func() {
		loaded := load("", "operators: [{name: b, cert_name: x}, {name: a, token_hash: "+tokenHash+"}]", "a", "team: t")
		content, err := loaded.Encode()
		Expect(err).NotTo(HaveOccurred())
		decoded, err := tree.Decode(content)
		Expect(err).NotTo(HaveOccurred())
		Expect(tree.Diff(loaded, decoded)).To(BeEmpty())
		Expect(decoded.Encode()).To(Equal(content))
	})

	It("has a schema ordered by name that accepts its defaults", func() {
		names := make(map[string]bool)
		previous := ""
		for _, field := range tree.Schema() {
			Expect(field.Name > previous).To(BeTrue(), field.Name)
			previous = field.Name
			names[field.Name] = true
		}
		explained, err := load("", "").Explain("")
		Expect(err).NotTo(HaveOccurred())
		var values []tree.Value
		for _, line := range explained {
			if line.Value != "" {
				values = append(values, tree.Value{Name: line.Name, Text: line.Value})
			}
		}
		_, err = tree.New([]tree.Branch{{Values: values}}, nil)
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("Merge", func() {
	base := func() *tree.Tree {
		return load("", "request: {weight: 1}", "a", "request: {timeout: 5s}", "b", "request: {timeout: 5s}")
	}
	scenarios := []struct {
		name         string
		mine, theirs []string
		conflict     string
		want         []string
	}{
		{
			"merges changes of different branches",
			[]string{"", "request: {weight: 1}", "a", "request: {timeout: 6s}", "b", "request: {timeout: 5s}"},
			[]string{"", "request: {weight: 1}", "a", "request: {timeout: 5s}", "b", "request: {timeout: 7s}"},
			"",
			[]string{"", "request: {weight: 1}", "a", "request: {timeout: 6s}", "b", "request: {timeout: 7s}"},
		},
		{
			"accepts the same change from both sides",
			[]string{"", "request: {weight: 1}", "a", "request: {timeout: 6s}", "b", "request: {timeout: 5s}"},
			[]string{"", "request: {weight: 1}", "a", "request: {timeout: 6s}", "b", "request: {timeout: 5s}"},
			"",
			[]string{"", "request: {weight: 1}", "a", "request: {timeout: 6s}", "b", "request: {timeout: 5s}"},
		},
		{
			"reports different values of a setting as a conflict",
			[]string{"", "request: {weight: 2}", "a", "request: {timeout: 5s}", "b", "request: {timeout: 5s}"},
			[]string{"", "request: {weight: 3}", "a", "request: {timeout: 5s}", "b", "request: {timeout: 5s}"},
			`branch "" request.weight: was "1", yours is "2", theirs is "3"`, nil,
		},
		{
			"reports a setting added to a removed branch as a conflict",
			[]string{"", "request: {weight: 1}", "b", "request: {timeout: 5s}"},
			[]string{"", "request: {weight: 1}", "a", "request: {timeout: 5s, weight: 4}", "b", "request: {timeout: 5s}"},
			`branch "a" request.weight: was "", yours is "", theirs is "4"`, nil,
		},
		{
			"merges a removed branch and an added branch",
			[]string{"", "request: {weight: 1}", "b", "request: {timeout: 5s}"},
			[]string{"", "request: {weight: 1}", "a", "request: {timeout: 5s}", "b", "request: {timeout: 5s}", "c", "team: c"},
			"",
			[]string{"", "request: {weight: 1}", "b", "request: {timeout: 5s}", "c", "team: c"},
		},
	}
	for _, scenario := range scenarios {
		It(scenario.name, func() {
			merged, err := tree.Merge(base(), load(scenario.mine...), load(scenario.theirs...))
			if scenario.conflict != "" {
				Expect(err).To(MatchError(cairnbay.ErrConflict))
				Expect(err.Error()).To(Equal(scenario.conflict))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(tree.Diff(merged, load(scenario.want...))).To(BeEmpty())
		})
	}

	It("omits token hashes from differences", func() {
		declared := load("", "operators: [{name: a, token_hash: "+tokenHash+"}]")
		changes := tree.Diff(load("", ""), declared)
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].String()).NotTo(ContainSubstring(tokenHash))
	})

	It("turns one tree into another by edits", func() {
		from, to := base(), load("", "request: {weight: 2}", "c", "team: c")
		encoded, err := tree.EncodeEdits(tree.Edits(from, to))
		Expect(err).NotTo(HaveOccurred())
		edits, err := tree.DecodeEdits(encoded)
		Expect(err).NotTo(HaveOccurred())
		edited, err := from.WithEdits(edits)
		Expect(err).NotTo(HaveOccurred())
		want, err := to.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(edited.Encode()).To(Equal(want))
	})
})

var _ = Describe("Authorize", func() {
	settings := &cairnbay.Settings{Operators: []cairnbay.Operator{
		{Name: "root", Change: []string{""}, Drain: []string{""}},
		{Name: "sales", Read: []string{""}, Change: []string{"vihmavesi/quoting"}, TokenHash: tokenHash},
	}}
	scenarios := []struct {
		operator string
		verb     tree.Verb
		path     string
		allowed  bool
	}{
		{"root", tree.VerbChange, "vihmavesi", true},
		{"root", tree.VerbRead, "vihmavesi", true},
		{"sales", tree.VerbRead, "", true},
		{"sales", tree.VerbChange, "vihmavesi/quoting", true},
		{"sales", tree.VerbChange, "vihmavesi/quoting/nightly", true},
		{"sales", tree.VerbChange, "vihmavesi/quoting-2", false},
		{"sales", tree.VerbChange, "vihmavesi", false},
		{"sales", tree.VerbDrain, "vihmavesi/quoting", false},
		{"nobody", tree.VerbRead, "", false},
		{"", tree.VerbRead, "", false},
	}
	It("allows a verb only on the granted branch and its descendants", func() {
		for _, scenario := range scenarios {
			err := tree.Authorize(settings, scenario.operator, scenario.verb, scenario.path)
			if scenario.allowed {
				Expect(err).NotTo(HaveOccurred(), "%+v", scenario)
			} else {
				Expect(err).To(MatchError(cairnbay.ErrForbidden), "%+v", scenario)
			}
		}
	})

	It("finds an operator by token and rejects other tokens", func() {
		Expect(tree.OperatorByToken(settings, "test")).To(HaveField("Name", "sales"))
		for _, token := range []string{"", "test2", tokenHash} {
			_, err := tree.OperatorByToken(settings, token)
			Expect(err).To(MatchError(cairnbay.ErrForbidden))
		}
	})
})

// largeDeclarations returns declarations of 290 teams and 5,000 services.
func largeDeclarations() fstest.MapFS {
	fsys := files("", "request: {timeout: 30s}\n")
	const teams, services = 290, 5000
	for team := range teams {
		name := fmt.Sprintf("org-%d/team-%d", team%2, team)
		fsys[name+"/"+tree.FileName] = &fstest.MapFile{Data: fmt.Appendf(nil,
			"team: team-%d\nplacing:\n  weight: %d\n  quota:\n    milli_cpu: 64000\n    memory_mb: 128000\n", team, team+1)}
	}
	for service := range services {
		team := service % teams
		name := fmt.Sprintf("org-%d/team-%d/service-%d", team%2, team, service)
		fsys[name+"/"+tree.FileName] = &fstest.MapFile{Data: fmt.Appendf(nil,
			"service: service-%d\nkind: service\nrequest:\n  timeout: %ds\n  queue_length: 128\n", service, service%100+1)}
	}
	return fsys
}

func BenchmarkLoad(b *testing.B) {
	// Reading one directory of an fstest.MapFS scans all files, so the benchmark
	// reads from disk.
	fsys := os.DirFS(b.TempDir())
	if err := os.CopyFS(fmt.Sprint(fsys), largeDeclarations()); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := tree.Load(fsys); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAdopt decodes and resolves a version's content as a member does when
// it adopts the version.
func BenchmarkAdopt(b *testing.B) {
	loaded, err := tree.Load(largeDeclarations())
	if err != nil {
		b.Fatal(err)
	}
	content, err := loaded.Encode()
	if err != nil {
		b.Fatal(err)
	}
	var settings *cairnbay.Settings
	var decoded *tree.Tree
	before := heapBytes()
	for b.Loop() {
		if decoded, err = tree.Decode(content); err != nil {
			b.Fatal(err)
		}
		if settings, err = decoded.ResolveVersion(tree.VersionInfo{Version: 1}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/(1<<20), "held-MB")
	b.ReportMetric(float64(len(content)), "content-bytes")
	runtime.KeepAlive(settings)
	runtime.KeepAlive(decoded)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

var _ = Describe("Reference", func() {
	It("equals docs/settings.md", func() {
		const page = "../../../docs/settings.md"
		if os.Getenv("CAIRNBAY_UPDATE_GOLDEN") != "" {
			Expect(os.WriteFile(page, tree.Reference(), 0o644)).To(Succeed())
		}
		Expect(os.ReadFile(page)).To(Equal(tree.Reference()))
	})
})
