// Package client has the commands for operators and callers, which use the
// operators' API of an entry instance.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/admin"
	"cairnbay/internal/tool/shell"
)

// defaultAddress reaches an entry instance with default settings.
const defaultAddress = "http://127.0.0.1:7003"

// Environment variables of all commands.
const (
	addressVariable = "CAIRNBAY_OPERATORS"
	tokenVariable   = "CAIRNBAY_TOKEN"
)

// options are the flags that all commands share.
type options struct {
	address     string
	token       string
	certificate string
	key         string
	authority   string
	json        bool
	timeout     time.Duration
	streams     shell.Streams
}

// register adds the shared flags.
func register(flags *flag.FlagSet, streams shell.Streams) *options {
	o := &options{streams: streams}
	address := streams.Getenv(addressVariable)
	if address == "" {
		address = defaultAddress
	}
	flags.StringVar(&o.address, "address", address, "`URL` of an entry instance's operators' address (or "+addressVariable+")")
	flags.StringVar(&o.token, "token", "", "bearer `token` (or "+tokenVariable+")")
	flags.StringVar(&o.certificate, "certificate", "", "PEM `file` with the operator's certificate")
	flags.StringVar(&o.key, "key", "", "PEM `file` with its key")
	flags.StringVar(&o.authority, "authority", "", "PEM `file` with the authority of the instances")
	flags.BoolVar(&o.json, "json", false, "print JSON in place of text")
	flags.DurationVar(&o.timeout, "timeout", 30*time.Second, "longest `time` to wait for an answer")
	return o
}

// call sends a call and reads its answer. Errors carry the sentinel of the
// answer's status; with no answer to a change, ErrUnknown.
func (o *options) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	request, err := o.request(ctx, method, path, in)
	if err != nil {
		return err
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return o.unanswered(method, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return o.unanswered(method, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return failure(response.StatusCode, body)
	}
	return errors.Annotatef(json.Unmarshal(body, out), "answer of %s", o.address)
}

func (o *options) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Trace(err)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(o.address, "/")+path, body)
	if err != nil {
		return nil, errors.Annotatef(shell.ErrUsage, "-address %q: %v", o.address, err)
	}
	token := o.token
	if token == "" {
		token = o.streams.Getenv(tokenVariable)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	return request, nil
}

func (o *options) client() (*http.Client, error) {
	if o.certificate == "" && o.authority == "" {
		return &http.Client{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(o.certificate, o.key)
	if err != nil {
		return nil, errors.Annotatef(shell.ErrUsage, "-certificate %q, -key %q: %v", o.certificate, o.key, err)
	}
	authorityPEM, err := os.ReadFile(o.authority)
	if err != nil {
		return nil, errors.Annotatef(shell.ErrUsage, "-authority %q: %v", o.authority, err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(authorityPEM) {
		return nil, errors.Annotatef(shell.ErrUsage, "-authority %q holds no certificate", o.authority)
	}
	settings := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: authority, Certificates: []tls.Certificate{certificate}}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: settings}}, nil
}

// unanswered says whether the call can have had an effect.
func (o *options) unanswered(method string, err error) error {
	if method == http.MethodGet {
		return errors.Annotatef(cairnbay.ErrUnavailable, "%s: %v", o.address, err)
	}
	return errors.Annotatef(cairnbay.ErrUnknown, "%s: %v", o.address, err)
}

func failure(status int, body []byte) error {
	problem := admin.Problem{Status: status, Detail: strings.TrimSpace(string(body))}
	_ = json.Unmarshal(body, &problem)
	sentinel := admin.ErrorOf(status)
	if sentinel == nil {
		return errors.Errorf("status %d: %s", status, problem.Detail)
	}
	// The detail ends in the sentinel's own text already.
	detail := strings.TrimSuffix(problem.Detail, ": "+sentinel.Error())
	return errors.Annotate(sentinel, detail)
}

// print writes an answer as JSON, or as text by show.
func (o *options) print(answer any, show func(out io.Writer)) error {
	if !o.json {
		show(o.streams.Out)
		return nil
	}
	encoder := json.NewEncoder(o.streams.Out)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(answer))
}

// noArguments refuses arguments that a command does not take.
func noArguments(arguments []string) error {
	if len(arguments) == 0 {
		return nil
	}
	return errors.Annotatef(shell.ErrUsage, "argument %q is not expected", arguments[0])
}

// oneArgument returns the single argument that a command takes.
func oneArgument(arguments []string, what string) (string, error) {
	if len(arguments) != 1 {
		return "", errors.Annotatef(shell.ErrUsage, "want one %s, have %d arguments", what, len(arguments))
	}
	return arguments[0], nil
}
