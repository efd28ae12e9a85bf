// Package config defines the process settings of an entry instance. Each setting
// has a flag and an environment variable; Load validates them before the
// process starts its services.
package config

import (
	"net/netip"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// Settings are the process settings of one entry instance.
type Settings struct {
	// Instance is the ID of this instance; DataCentre is the name of its data
	// centre.
	Instance   string
	DataCentre string
	// CallersAddress, MembersAddress and OperatorsAddress are listen
	// addresses as ip:port.
	CallersAddress   string
	MembersAddress   string
	OperatorsAddress string
	// StoreAddress and ListAddress are the ip:port of the platform's key-value
	// service and of its list of instances.
	StoreAddress string
	ListAddress  string
	// CertificateFile, KeyFile and AuthorityFile are PEM files that enable
	// mutual TLS between members and for operators; set all or none.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// SigningKeyFile is a PEM file with the Ed25519 key that signs audit
	// records; they are not signed if it is empty.
	SigningKeyFile string
	// AllowPlain permits listening for members and operators on a non-loopback
	// address without TLS.
	AllowPlain bool
	// MemoryMB is the memory that the process may use, in MiB. Its limits on callers follow
	// from it.
	MemoryMB int64
	// StopLimit is the maximum duration of a planned stop.
	StopLimit time.Duration
	// LogLevel is a logrus level; LogFormat is "auto", "text" or "json".
	LogLevel  string
	LogFormat string
	// Traces is "none", "stdout" or "otlp"; TracesURL is the OTLP endpoint.
	Traces    string
	TracesURL string
}

// maxMemoryMB keeps the number of bytes within 64 bits.
const maxMemoryMB = 1 << 30

// Defaults returns the settings that apply without flags and environment variables.
// Instance and DataCentre have no default.
func Defaults() Settings {
	return Settings{
		CallersAddress:   "127.0.0.1:7001",
		MembersAddress:   "127.0.0.1:7002",
		OperatorsAddress: "127.0.0.1:7003",
		StoreAddress:     "127.0.0.1:7100",
		ListAddress:      "127.0.0.1:7101",
		MemoryMB:         1024,
		StopLimit:        30 * time.Second,
		LogLevel:         "info",
		LogFormat:        "auto",
		Traces:           "none",
	}
}

// Check returns one ErrInvalid for each fault of the settings, or nil. It does not
// check LogLevel, the form of TracesURL and the content of files.
func (s Settings) Check() []error {
	var faults []error
	addFault := func(format string, args ...any) {
		faults = append(faults, errors.Annotatef(cairnbay.ErrInvalid, format, args...))
	}
	if s.Instance == "" {
		addFault("-instance is empty: set the ID of this instance")
	}
	if s.DataCentre == "" {
		addFault("-data-centre is empty: set the name of this instance's data centre")
	}
	s.checkAddresses(addFault)
	s.checkTLS(addFault)
	if s.MemoryMB <= 0 || s.MemoryMB > maxMemoryMB {
		addFault("-memory-mb %d is not between 1 and %d", s.MemoryMB, maxMemoryMB)
	}
	if s.StopLimit <= 0 {
		addFault("-stop-limit %v is not positive", s.StopLimit)
	}
	if !oneOf(s.LogFormat, "auto", "text", "json") {
		addFault("-log-format %q is not one of auto, text, json", s.LogFormat)
	}
	if !oneOf(s.Traces, "none", "stdout", "otlp") {
		addFault("-traces %q is not one of none, stdout, otlp", s.Traces)
	}
	if s.Traces == "otlp" && s.TracesURL == "" {
		addFault("-traces otlp requires -traces-url")
	}
	return faults
}

func (s Settings) checkAddresses(addFault func(string, ...any)) {
	addresses := []struct{ flag, value string }{
		{"-callers-address", s.CallersAddress},
		{"-members-address", s.MembersAddress},
		{"-operators-address", s.OperatorsAddress},
		{"-store", s.StoreAddress},
		{"-list", s.ListAddress},
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			addFault("%s %q is not ip:port", address.flag, address.value)
		}
	}
}

func (s Settings) checkTLS(addFault func(string, ...any)) {
	files := 0
	for _, file := range []string{s.CertificateFile, s.KeyFile, s.AuthorityFile} {
		if file != "" {
			files++
		}
	}
	if files != 0 && files != 3 {
		addFault("-certificate, -key and -authority must all be set or all be empty")
	}
	if files == 3 || s.AllowPlain {
		return
	}
	for _, address := range []string{s.MembersAddress, s.OperatorsAddress} {
		parsed, err := netip.ParseAddrPort(address)
		if err == nil && !parsed.Addr().IsLoopback() {
			addFault("address %s is not a loopback address: set -certificate, -key and -authority, or -allow-plain", address)
		}
	}
}

// TLS reports whether mutual TLS is enabled.
func (s Settings) TLS() bool {
	return s.CertificateFile != ""
}

func oneOf(value string, accepted ...string) bool {
	for _, option := range accepted {
		if value == option {
			return true
		}
	}
	return false
}
