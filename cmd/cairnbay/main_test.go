package main

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/fake/golden"
	"cairnbay/internal/tool/shell"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commands")
}

// run runs a command line with an empty environment.
func run(line ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	streams := shell.Streams{Out: &stdout, Err: &stderr, Getenv: func(string) string { return "" }}
	code = shell.New(streams, commands()...).Run(context.Background(), line)
	return code, stdout.String(), stderr.String()
}

var _ = Describe("commands", func() {
	for _, command := range commands() {
		It("prints the help of "+command.Name, func() {
			code, out, errs := run(command.Name, "-h")
			Expect(code).To(Equal(shell.ExitOK))
			Expect(errs).To(BeEmpty())
			Expect(out).To(HavePrefix(command.Summary))
			Expect(out).To(ContainSubstring("Examples:"))
		})

		It("rejects an unknown flag of "+command.Name, func() {
			code, _, errs := run(command.Name, "-no-such-flag")
			Expect(code).To(Equal(shell.ExitUsage))
			Expect(errs).To(ContainSubstring("no-such-flag"))
		})
	}

	It("matches the page of commands with the help that the program prints", func() {
		golden.CheckFile("../../docs/operators/commands.md", commandsPage())
	})
})

// commandsPage renders the help of every command as a Markdown page.
func commandsPage() []byte {
	var page bytes.Buffer
	page.WriteString("# Commands\n\nGenerated from the program's help; a test keeps it so.\n\n")
	page.WriteString("Exit codes: 0 the command did what was asked; 1 it was tried and failed; 2 the\ncommand line or a setting is wrong, and nothing was tried.\n")
	for _, command := range commands() {
		_, help, _ := run(command.Name, "-h")
		fmt.Fprintf(&page, "\n## %s\n\n```\n%s```\n", command.Name, strings.ReplaceAll(help, "\t", "    "))
	}
	return page.Bytes()
}
