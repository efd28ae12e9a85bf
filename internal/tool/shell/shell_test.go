package shell_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/fake/golden"
	"cairnbay/internal/tool/shell"
)

func TestShell(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shell")
}

// tally returns a command that prints the number of its arguments; it fails
// without arguments and with more than -limit.
func tally() shell.Command {
	return shell.Command{
		Name:      "tally",
		Summary:   "count things",
		Arguments: "THING...",
		Examples:  []string{"cairnbay tally -limit 3 a b"},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			limit := flags.Int("limit", 9, "highest `count`")
			return func(_ context.Context, arguments []string) error {
				switch {
				case len(arguments) == 0:
					return errors.Annotate(shell.ErrUsage, "name at least one thing")
				case len(arguments) > *limit:
					return errors.Errorf("%d things are over the limit of %d", len(arguments), *limit)
				}
				fmt.Fprintln(streams.Out, len(arguments))
				return nil
			}
		},
	}
}

var scenarios = []struct {
	name string
	line string
}{
	{"no_command", ""},
	{"help", "-h"},
	{"help_of_command", "tally -h"},
	{"unknown_command", "taly"},
	{"unknown_flag", "tally -limt 3"},
	{"malformed_flag", "tally -limit three"},
	{"missing_argument", "tally"},
	{"command_failed", "tally -limit 1 a b"},
	{"succeeded", "tally a b"},
}

var _ = Describe("Run", func() {
	for _, scenario := range scenarios {
		It("prints the expected output for "+scenario.name, func() {
			var stdout, stderr bytes.Buffer
			program := shell.New(shell.Streams{Out: &stdout, Err: &stderr}, tally())
			code := program.Run(context.Background(), strings.Fields(scenario.line))
			text := fmt.Sprintf("exit %d\n== out\n%s== err\n%s", code, stdout.String(), stderr.String())
			golden.Check(scenario.name, []byte(text))
		})
	}
})
