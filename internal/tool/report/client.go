package report

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	cairnbayv1 "cairnbay/gen/cairnbay/v1"
	"cairnbay/internal/process/audit"
	"cairnbay/internal/tool/verbs"
)

// Client reads sealed records from the operators' API of an entry instance.
type Client struct {
	// Address is the API's base URL, such as http://127.0.0.1:7003.
	Address string
	// Token is sent as a bearer token; optional.
	Token string
	HTTP  *http.Client
}

// Limits of one call.
const (
	// fetchSpan is the time that one call asks for; each call also reads six
	// hours before it.
	fetchSpan = 6 * time.Hour
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 256 << 20
	// maxErrorBytes bounds the text of an error answer.
	maxErrorBytes = 4 << 10
)

// Records returns the records from (inclusive) to to (exclusive). A record that
// touches two calls' time is returned once.
func (c Client) Records(ctx context.Context, from, to time.Time) ([]*cairnbayv1.SealedAudit, error) {
	var records []*cairnbayv1.SealedAudit
	seen := make(map[string]bool)
	for start := from; start.Before(to); start = start.Add(fetchSpan) {
		part, err := c.fetch(ctx, start, earlier(start.Add(fetchSpan), to))
		if err != nil {
			return nil, err
		}
		for _, sealed := range part {
			identity := string(sealed.Digest) + string(sealed.Body)
			if !seen[identity] {
				seen[identity] = true
				records = append(records, sealed)
			}
		}
	}
	return records, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c Client) fetch(ctx context.Context, from, to time.Time) ([]*cairnbayv1.SealedAudit, error) {
	query := url.Values{"from": {from.UTC().Format(time.RFC3339Nano)}, "to": {to.UTC().Format(time.RFC3339Nano)}}
	address := strings.TrimSuffix(c.Address, "/") + audit.RecordsPath + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Annotatef(err, "address %q", c.Address)
	}
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	answer, err := c.HTTP.Do(request)
	if err != nil {
		return nil, errors.Annotatef(cause(err), "no answer from the operators' API at %s", c.Address)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the operators' API at %s answered %s: %s", c.Address, answer.Status, detailOf(answer.Body))
	}
	content := audit.Answer{}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(&content); err != nil {
		return nil, errors.Annotatef(err, "answer of the operators' API at %s", c.Address)
	}
	return audit.DecodeChunk(content.Chunk)
}

// detailOf returns what an error answer says, as RFC 9457 has it or as text.
func detailOf(body io.Reader) string {
	text, _ := io.ReadAll(io.LimitReader(body, maxErrorBytes)) // the status says enough without it
	problem := struct {
		Detail string `json:"detail"`
	}{}
	if json.Unmarshal(text, &problem) == nil && problem.Detail != "" {
		return problem.Detail
	}
	return strings.TrimSpace(string(text))
}

// cause drops the method and the whole address from a failed call.
func cause(err error) error {
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err
	}
	return err
}

// Identity names the files by which an operator and the instances show who they
// are; all empty means no TLS.
type Identity struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// httpClient returns a client that shows the identity and trusts its authority.
func (i Identity) httpClient() (*http.Client, error) {
	client := &http.Client{Timeout: callTimeout}
	if i == (Identity{}) {
		return client, nil
	}
	certificate, err := tls.LoadX509KeyPair(i.CertificateFile, i.KeyFile)
	if err != nil {
		return nil, verbs.Usagef("-certificate %q, -key %q: %v", i.CertificateFile, i.KeyFile, err)
	}
	content, err := os.ReadFile(i.AuthorityFile)
	if err != nil {
		return nil, verbs.Usagef("-authority: %v", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(content) {
		return nil, verbs.Usagef("-authority %q holds no certificate", i.AuthorityFile)
	}
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: authority, Certificates: []tls.Certificate{certificate},
	}}
	return client, nil
}
