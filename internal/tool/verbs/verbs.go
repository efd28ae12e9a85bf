// Package verbs parses the flags of subcommands, such as "bench route -seed 7".
package verbs

import (
	"flag"
	"io"

	"github.com/juju/errors"

	"cairnbay/internal/tool/shell"
)

// Parse parses the flags after a subcommand, which register defines, and returns
// the remaining arguments. Errors: shell.ErrUsage.
func Parse(register func(flags *flag.FlagSet), arguments []string) (remaining []string, err error) {
	flags := flag.NewFlagSet("", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	register(flags)
	if err := flags.Parse(arguments); err != nil {
		return nil, Usagef("%v", err)
	}
	return flags.Args(), nil
}

// Usagef returns an error that matches shell.ErrUsage in errors.Is. Unlike
// errors.Annotate, it does not append the text of ErrUsage.
func Usagef(format string, values ...any) error {
	return errors.WithType(errors.Errorf(format, values...), shell.ErrUsage)
}
