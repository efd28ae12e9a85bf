package config_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/fake/golden"
	"cairnbay/internal/process/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

type scenario struct {
	name        string
	args        []string
	environment map[string]string
}

var scenarios = []scenario{
	{name: "defaults"},
	{
		name:        "flag_beats_environment",
		args:        []string{"-instance", "e1", "-data-centre", "maardu"},
		environment: map[string]string{"CAIRNBAY_INSTANCE": "e9", "CAIRNBAY_STOP_LIMIT": "5s"},
	},
	{
		name: "every_fault_at_once",
		args: []string{
			"-callers-address", "localhost:1", "-members-address", "10.0.0.1:7002", "-certificate", "a.pem",
			"-stop-limit", "0s", "-memory-mb", "0", "-log-format", "xml", "-traces", "otlp",
		},
		environment: map[string]string{"CAIRNBAY_ALLOW_PLAIN": "perhaps"},
	},
	{
		name: "beyond_loopback_with_tls",
		args: []string{
			"-instance", "e1", "-data-centre", "maardu", "-members-address", "10.0.0.1:7002",
			"-certificate", "a.pem", "-key", "a.key", "-authority", "ca.pem",
		},
	},
}

var _ = Describe("Source", func() {
	for _, scenario := range scenarios {
		It("reports values, origins and faults of "+scenario.name, func() {
			flags := flag.NewFlagSet("entry", flag.ContinueOnError)
			source := config.Register(flags)
			Expect(flags.Parse(scenario.args)).To(Succeed())
			_, values, err := source.Load(func(name string) string { return scenario.environment[name] })
			golden.Check(scenario.name, render(values, err))
		})
	}
})

func render(values []config.Value, err error) []byte {
	var out strings.Builder
	for _, value := range values {
		fmt.Fprintf(&out, "%s %s %q %s\n", value.Flag, value.Variable, value.Value, value.Origin)
	}
	fmt.Fprintf(&out, "\nerror: %v\n", err)
	return []byte(out.String())
}
