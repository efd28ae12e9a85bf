// Package shell dispatches command lines to commands.
package shell

import (
	"context"
	stderrors "errors"
	"flag"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/juju/errors"

	"cairnbay/internal/tool/near"
)

// Exit codes of the program.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command ran and failed.
	ExitFailed = 1
	// ExitUsage means that the command line or a setting is invalid; the command
	// did nothing.
	ExitUsage = 2
)

// ErrUsage means that the command line or a setting is invalid; the exit code is
// ExitUsage.
const ErrUsage = errors.ConstError("usage")

// Streams holds the standard streams and the environment of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Getenv reads an environment variable.
	Getenv func(string) string
}

// Command is one command of the program.
type Command struct {
	Name string
	// Summary is a one-line description for the list of commands.
	Summary string
	// Arguments is the usage text of the arguments after the flags ("JOB...").
	Arguments string
	// Examples are complete command lines.
	Examples []string
	// Prepare registers flags and returns the Runner to call after they are
	// parsed.
	Prepare func(flags *flag.FlagSet, streams Streams) Runner
}

// Runner runs a command with the arguments that follow its flags.
type Runner func(ctx context.Context, arguments []string) error

// Shell selects a command by the first argument, parses its flags and runs it.
type Shell struct {
	commands map[string]Command
	streams  Streams
}

// New returns a shell with the given commands.
func New(streams Streams, commands ...Command) *Shell {
	byName := make(map[string]Command, len(commands))
	for _, command := range commands {
		byName[command.Name] = command
	}
	return &Shell{commands: byName, streams: streams}
}

// Run runs a command line, without the program name, and returns the exit code.
func (s *Shell) Run(ctx context.Context, arguments []string) int {
	if len(arguments) == 0 || isHelp(arguments[0]) {
		s.printCommands(s.streams.Out)
		return ExitOK
	}
	command, ok := s.commands[arguments[0]]
	if !ok {
		s.printUnknownCommand(arguments[0])
		return ExitUsage
	}
	return s.runCommand(ctx, command, arguments[1:])
}

func isHelp(argument string) bool {
	switch argument {
	case "-h", "-help", "--help", "help":
		return true
	default:
		return false
	}
}

func (s *Shell) runCommand(ctx context.Context, command Command, arguments []string) int {
	flags := flag.NewFlagSet(command.Name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	runner := command.Prepare(flags, s.streams)
	if err := flags.Parse(arguments); err != nil {
		return s.reportParseError(command, flags, err)
	}
	if err := runner(ctx, flags.Args()); err != nil {
		return s.reportRunError(command, err)
	}
	return ExitOK
}

func (s *Shell) reportParseError(command Command, flags *flag.FlagSet, err error) int {
	if stderrors.Is(err, flag.ErrHelp) {
		printUsage(s.streams.Out, command, flags)
		return ExitOK
	}
	fmt.Fprintf(s.streams.Err, "cairnbay %s: %v%s\n", command.Name, err, suggestFlag(flags, err))
	fmt.Fprintf(s.streams.Err, "Run 'cairnbay %s -h' for its flags.\n", command.Name)
	return ExitUsage
}

func (s *Shell) reportRunError(command Command, err error) int {
	fmt.Fprintf(s.streams.Err, "cairnbay %s: %v\n", command.Name, err)
	if errors.Is(err, ErrUsage) {
		fmt.Fprintf(s.streams.Err, "Run 'cairnbay %s -h' for its flags.\n", command.Name)
		return ExitUsage
	}
	return ExitFailed
}

func (s *Shell) commandNames() []string {
	names := make([]string, 0, len(s.commands))
	for name := range s.commands {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *Shell) printCommands(out io.Writer) {
	fmt.Fprint(out, "cairnbay schedules services, batch work and gangs, and routes requests to them.\n\n")
	fmt.Fprint(out, "Usage: cairnbay COMMAND [flags] [arguments]\n\nCommands:\n")
	for _, name := range s.commandNames() {
		fmt.Fprintf(out, "  %-9s %s\n", name, s.commands[name].Summary)
	}
	fmt.Fprint(out, "\nRun 'cairnbay COMMAND -h' for flags and examples.\n")
}

func (s *Shell) printUnknownCommand(name string) {
	fmt.Fprintf(s.streams.Err, "cairnbay: command %q does not exist%s\n", name, near.Hint(name, s.commandNames(), ""))
	fmt.Fprint(s.streams.Err, "Run 'cairnbay -h' for the list.\n")
}

func printUsage(out io.Writer, command Command, flags *flag.FlagSet) {
	fmt.Fprintf(out, "%s\n\nUsage: cairnbay %s [flags] %s\n", command.Summary, command.Name, command.Arguments)
	fmt.Fprint(out, "\nFlags:\n")
	flags.SetOutput(out)
	flags.PrintDefaults()
	if len(command.Examples) == 0 {
		return
	}
	fmt.Fprint(out, "\nExamples:\n")
	for _, example := range command.Examples {
		fmt.Fprintf(out, "  %s\n", example)
	}
}

// suggestFlag suggests a flag for an unknown-flag error. Package flag gives the
// name only in the error text.
func suggestFlag(flags *flag.FlagSet, err error) string {
	const unknownFlagPrefix = "flag provided but not defined: -"
	name, found := strings.CutPrefix(err.Error(), unknownFlagPrefix)
	if !found {
		return ""
	}
	var names []string
	flags.VisitAll(func(defined *flag.Flag) { names = append(names, defined.Name) })
	return near.Hint(name, names, "-")
}
