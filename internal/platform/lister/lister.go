// Package lister reads the platform's list of instances over HTTP.
package lister

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"cairnbay"
)

// maxListBytes is the maximum size of the platform's answer; 10,000 instances take
// about 3 MB.
const maxListBytes = 16 << 20

var _ cairnbay.Lister = (*Lister)(nil)

// Config configures a Lister.
type Config struct {
	// URL of the list.
	URL    string
	Client *http.Client
}

// Lister implements cairnbay.Lister. It sends the entity tag of the last answer in
// If-None-Match, so that an unchanged list costs a few hundred bytes.
type Lister struct {
	config Config

	mu   sync.Mutex
	etag string
	last cairnbay.Snapshot
}

// New returns a Lister.
func New(config Config) *Lister {
	return &Lister{config: config}
}

// List implements cairnbay.Lister. Errors: ErrUnavailable if the list was not read or
// is not valid, ErrTooLarge, ErrInvalid for the URL.
func (l *Lister) List(ctx context.Context) (cairnbay.Snapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.config.URL, http.NoBody)
	if err != nil {
		return cairnbay.Snapshot{}, errors.Annotatef(cairnbay.ErrInvalid, "list URL %q: %v", l.config.URL, err)
	}
	if l.etag != "" {
		request.Header.Set("If-None-Match", l.etag)
	}
	response, err := l.config.Client.Do(request)
	if err != nil {
		return cairnbay.Snapshot{}, unavailable(err)
	}
	defer response.Body.Close()
	return l.read(response)
}

// read returns the snapshot in the response, or the last one if the list is
// unchanged.
func (l *Lister) read(response *http.Response) (cairnbay.Snapshot, error) {
	switch response.StatusCode {
	case http.StatusNotModified:
		return l.last, nil
	case http.StatusOK:
		return l.decode(response)
	default:
		return cairnbay.Snapshot{}, errors.Annotatef(cairnbay.ErrUnavailable, "list: status %d", response.StatusCode)
	}
}

func (l *Lister) decode(response *http.Response) (cairnbay.Snapshot, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return cairnbay.Snapshot{}, unavailable(err)
	}
	if len(body) > maxListBytes {
		return cairnbay.Snapshot{}, errors.Annotatef(cairnbay.ErrTooLarge, "list exceeds %d bytes", maxListBytes)
	}
	var snapshot cairnbay.Snapshot
	if err := json.Unmarshal(body, &snapshot); err != nil {
		return cairnbay.Snapshot{}, unavailable(err)
	}
	l.last = snapshot
	l.etag = response.Header.Get("ETag")
	return snapshot, nil
}

func unavailable(err error) error {
	return errors.Annotatef(cairnbay.ErrUnavailable, "list: %v", err)
}
