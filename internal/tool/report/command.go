package report

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"cairnbay/internal/process/audit"
	"cairnbay/internal/tool/shell"
	"cairnbay/internal/tool/verbs"
)

// Variables that the command reads.
const (
	addressVariable = "CAIRNBAY_OPERATORS"
	tokenVariable   = "CAIRNBAY_TOKEN"
	defaultAddress  = "http://127.0.0.1:7003"
)

// verbExport writes a report to files.
const verbExport = "export"

// callTimeout bounds one call of the operators' API.
const callTimeout = time.Minute

// Commands returns the audit command.
func Commands() []shell.Command {
	return []shell.Command{{
		Name:      "audit",
		Summary:   "verify the records of a stretch of time and show whether each promise held",
		Arguments: "[export]",
		Examples: []string{
			"cairnbay audit -from 2026-12-01T08:00:00Z -to 2026-12-01T18:00:00Z",
			"cairnbay audit -from 24h -team quoting-north -json",
			"cairnbay audit export -from 24h -out audit-report -trust audit-keys.txt",
		},
		Prepare: func(flags *flag.FlagSet, streams shell.Streams) shell.Runner {
			command := &command{streams: streams}
			command.register(flags)
			return command.run
		},
	}}
}

type command struct {
	streams  shell.Streams
	from, to string
	team     string
	service  string
	json     bool
	address  string
	token    string
	identity Identity
	trust    string
	out      string
}

func (c *command) register(flags *flag.FlagSet) {
	flags.StringVar(&c.from, "from", or(c.from, "1h"), "start: a time (RFC 3339), or a duration before now")
	flags.StringVar(&c.to, "to", c.to, "end: a time (RFC 3339), or a duration before now (default: now)")
	flags.StringVar(&c.team, "team", c.team, "show waiting times and counts of this team only")
	flags.StringVar(&c.service, "service", c.service, "show waiting times and counts of this service or kind of work only")
	flags.BoolVar(&c.json, "json", c.json, "print JSON")
	flags.StringVar(&c.address, "address", or(c.address, or(c.streams.Getenv(addressVariable), defaultAddress)),
		"operators' API of an entry instance (environment "+addressVariable+")")
	flags.StringVar(&c.token, "token", c.token, "bearer token (environment "+tokenVariable+")")
	flags.StringVar(&c.identity.CertificateFile, "certificate", c.identity.CertificateFile, "PEM `file` with the operator's certificate")
	flags.StringVar(&c.identity.KeyFile, "key", c.identity.KeyFile, "PEM `file` with its key")
	flags.StringVar(&c.identity.AuthorityFile, "authority", c.identity.AuthorityFile, "PEM `file` with the authority of the instances")
	flags.StringVar(&c.trust, "trust", c.trust, "`file` of the public keys (hex, one a line) that may sign records")
	flags.StringVar(&c.out, "out", or(c.out, "audit-report"), "export: `directory` for report.html and the CSV files")
}

func or(value, otherwise string) string {
	if value == "" {
		return otherwise
	}
	return value
}

func (c *command) run(ctx context.Context, arguments []string) error {
	export := len(arguments) > 0 && arguments[0] == verbExport
	if export {
		rest, err := verbs.Parse(c.register, arguments[1:])
		if err != nil {
			return err
		}
		arguments = rest
	}
	if len(arguments) > 0 {
		return verbs.Usagef("unexpected argument %q", arguments[0])
	}
	report, err := c.make(ctx)
	if err != nil {
		return err
	}
	return c.present(report, export)
}

func (c *command) make(ctx context.Context) (Report, error) {
	now := time.Now()
	from, err := parseTime("from", c.from, now)
	if err != nil {
		return Report{}, err
	}
	to, err := parseTime("to", or(c.to, "0s"), now)
	if err != nil {
		return Report{}, err
	}
	if !from.Before(to) {
		return Report{}, verbs.Usagef("-from %s is not before -to %s", c.from, or(c.to, "now"))
	}
	keys, err := readKeys(c.trust)
	if err != nil {
		return Report{}, err
	}
	caller, err := c.identity.httpClient()
	if err != nil {
		return Report{}, err
	}
	client := Client{Address: c.address, Token: or(c.token, c.streams.Getenv(tokenVariable)), HTTP: caller}
	sealed, err := client.Records(ctx, from, to)
	if err != nil {
		return Report{}, err
	}
	verified := audit.Verify(sealed, audit.Check{From: from, To: to, TrustedKeys: keys})
	return Make(verified, Options{From: from, To: to, Team: c.team, Service: c.service}), nil
}

func parseTime(name, text string, now time.Time) (time.Time, error) {
	if ago, err := time.ParseDuration(text); err == nil && ago >= 0 {
		return now.Add(-ago), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, verbs.Usagef("-%s %q is neither a time such as 2026-12-01T08:00:00Z nor a duration such as 24h", name, text)
	}
	return at, nil
}

// readKeys reads the public keys of a trust file, one in hex a line.
func readKeys(path string) ([]ed25519.PublicKey, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, verbs.Usagef("trust file: %v", err)
	}
	var keys []ed25519.PublicKey
	for _, word := range strings.Fields(string(content)) {
		key, err := hex.DecodeString(word)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, verbs.Usagef("trust file %q: %q is no key of %d bytes in hex", path, word, ed25519.PublicKeySize)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// present prints or exports the report; a broken promise or a faulty chain is
// an error, so that the exit code says so.
func (c *command) present(report Report, export bool) error {
	if err := c.print(report, export); err != nil {
		return err
	}
	if !report.Sound() {
		return errors.New("not every promise was shown to be held")
	}
	return nil
}

func (c *command) print(report Report, export bool) error {
	switch {
	case export:
		if err := Export(c.out, report); err != nil {
			return err
		}
		fmt.Fprintf(c.streams.Out, "wrote %s/report.html and CSV files beside it\n", c.out)
		return nil
	case c.json:
		return JSON(c.streams.Out, report)
	default:
		return Text(c.streams.Out, report)
	}
}
