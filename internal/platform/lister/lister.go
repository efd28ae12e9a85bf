// Package lister reads the platform's list of instances over HTTP.
package lister

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

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
	// Log takes the rows that are not valid; nil for none.
	Log *logrus.Entry
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

// List implements cairnbay.Lister. A row that is not valid is ignored, and the last valid
// one of its instance stays. Errors: ErrUnavailable if the list was not read or is not
// JSON, ErrTooLarge, ErrInvalid for the URL.
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
	rows, err := splitRows(body)
	if err != nil {
		return cairnbay.Snapshot{}, unavailable(err)
	}
	snapshot := cairnbay.Snapshot{Instances: make([]cairnbay.Instance, 0, len(rows))}
	for _, row := range rows {
		instance, err := row.decode()
		if err == nil {
			snapshot.Instances = append(snapshot.Instances, instance)
			continue
		}
		if l.config.Log != nil {
			l.config.Log.WithError(err).WithField("instance", row.id).Warn("invalid row of the list ignored")
		}
		// An instance whose row is malformed is not gone.
		if former, ok := l.known(row.id); ok {
			snapshot.Instances = append(snapshot.Instances, former)
		}
	}
	l.last = snapshot
	l.etag = response.Header.Get("ETag")
	return snapshot, nil
}

func (l *Lister) known(id string) (cairnbay.Instance, bool) {
	for _, instance := range l.last.Instances {
		if instance.ID == id {
			return instance, true
		}
	}
	return cairnbay.Instance{}, false
}

func unavailable(err error) error {
	return errors.Annotatef(cairnbay.ErrUnavailable, "list: %v", err)
}
