package config

import (
	stderrors "errors"
	"flag"
	"strings"

	"github.com/juju/errors"

	"cairnbay"
)

// variablePrefix precedes the flag's name in its environment variable.
const variablePrefix = "CAIRNBAY_"

// Values of Value.Origin.
const (
	originDefault     = "default"
	originEnvironment = "environment"
	originFlag        = "flag"
)

// Value is the effective value of one setting and its origin: the default, the
// environment or a flag.
type Value struct {
	Flag     string `json:"flag"`
	Variable string `json:"variable"`
	Value    string `json:"value"`
	Origin   string `json:"origin"`
}

// Source reads settings from a flag set and the environment.
type Source struct {
	flags     *flag.FlagSet
	settings  Settings
	flagNames []string
}

// Register defines the flags in a flag set and returns a Source; call its Load
// after the flag set has been parsed.
func Register(flags *flag.FlagSet) *Source {
	source := &Source{flags: flags, settings: Defaults()}
	s := &source.settings
	source.addString(&s.Instance, "instance", "`ID` of this instance")
	source.addString(&s.DataCentre, "data-centre", "`name` of the data centre of this instance")
	source.addString(&s.CallersAddress, "callers-address", "`ip:port` for callers")
	source.addString(&s.MembersAddress, "members-address", "`ip:port` for other members")
	source.addString(&s.OperatorsAddress, "operators-address", "`ip:port` for operators, metrics and health")
	source.addString(&s.StoreAddress, "store", "`ip:port` of the platform's key-value service")
	source.addString(&s.ListAddress, "list", "`ip:port` of the platform's list of instances")
	source.addString(&s.CertificateFile, "certificate", "PEM `file` with this instance's certificate")
	source.addString(&s.KeyFile, "key", "PEM `file` with the certificate's private key")
	source.addString(&s.AuthorityFile, "authority", "PEM `file` with the authority that signs the certificates of peers and operators")
	source.addString(&s.SigningKeyFile, "signing-key", "PEM `file` with the Ed25519 key that signs audit records")
	source.addString(&s.LogLevel, "log-level", "lowest `level` logged: debug, info, warning, error")
	source.addString(&s.LogFormat, "log-format", "log `format`: text, json, or auto (text on a terminal)")
	source.addString(&s.Traces, "traces", "exporter of spans: none, stdout or otlp")
	source.addString(&s.TracesURL, "traces-url", "`URL` of the OTLP endpoint (HTTP)")
	flags.BoolVar(&s.AllowPlain, source.addName("allow-plain"), s.AllowPlain, "listen for members and operators on non-loopback addresses without TLS")
	flags.Int64Var(&s.MemoryMB, source.addName("memory-mb"), s.MemoryMB, "`MiB` of memory that the process may use")
	flags.DurationVar(&s.StopLimit, source.addName("stop-limit"), s.StopLimit, "maximum `duration` of a planned stop")
	return source
}

func (s *Source) addName(name string) string {
	s.flagNames = append(s.flagNames, name)
	return name
}

func (s *Source) addString(target *string, name, usage string) {
	s.flags.StringVar(target, s.addName(name), *target, usage)
}

// Load reads the environment variables of flags that are not set on the command
// line and validates all settings. It returns the settings and the origin of
// each value. An empty variable counts as not set. The error joins one ErrInvalid for each fault.
func (s *Source) Load(getenv func(string) string) (Settings, []Value, error) {
	onCommandLine := make(map[string]bool)
	s.flags.Visit(func(parsed *flag.Flag) { onCommandLine[parsed.Name] = true })
	var faults []error
	values := make([]Value, 0, len(s.flagNames))
	for _, name := range s.flagNames {
		value, err := s.loadFlag(name, onCommandLine[name], getenv)
		if err != nil {
			faults = append(faults, err)
		}
		values = append(values, value)
	}
	faults = append(faults, s.settings.Check()...)
	return s.settings, values, stderrors.Join(faults...)
}

// loadFlag sets one flag from its environment variable unless the command line
// sets it, and returns its effective value.
func (s *Source) loadFlag(name string, onCommandLine bool, getenv func(string) string) (Value, error) {
	value := Value{Flag: "-" + name, Variable: Variable(name), Origin: originDefault}
	fromEnv := getenv(value.Variable)
	var err error
	switch {
	case onCommandLine:
		value.Origin = originFlag
	case fromEnv != "":
		value.Origin = originEnvironment
		if setErr := s.flags.Set(name, fromEnv); setErr != nil {
			err = errors.Annotatef(cairnbay.ErrInvalid, "%s=%q: %v", value.Variable, fromEnv, setErr)
		}
	}
	value.Value = s.flags.Lookup(name).Value.String()
	return value, err
}

// Variable returns the name of the environment variable for a flag name without
// its leading dash.
func Variable(name string) string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
