package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/process/admin"
)

// operatorTimeout bounds one call of an operator.
const operatorTimeout = 15 * time.Second

// operator calls the operators' API of whichever instance it is pointed at.
type operator struct {
	client *http.Client
}

func newOperator() *operator {
	return &operator{client: &http.Client{Timeout: operatorTimeout}}
}

// call makes one call. Errors carry the sentinel of the answer's status.
func (o *operator) call(ctx context.Context, address, method, path string, in, out any) error {
	encoded, err := json.Marshal(in)
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := o.client.Do(request)
	if err != nil {
		return errors.Annotatef(cairnbay.ErrUnknown, "%s %s: %v", method, path, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Annotatef(cairnbay.ErrUnknown, "%s %s: %v", method, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Annotatef(admin.ErrorOf(response.StatusCode), "%s %s: %s", method, path, body)
	}
	return errors.Trace(json.Unmarshal(body, out))
}

func (o *operator) apply(ctx context.Context, address string, files map[string]string, why string, wait time.Duration) (admin.Applied, error) {
	bundle := admin.Bundle{
		Files: files, ChangeID: uuid.NewString(), Why: why,
		WaitMS: int(wait.Milliseconds()),
	}
	var applied admin.Applied
	err := o.call(ctx, address, http.MethodPost, "/v1/settings/apply", bundle, &applied)
	return applied, err
}

func (o *operator) submit(ctx context.Context, address string, spec admin.JobSpec) (admin.Submitted, error) {
	spec.Key = uuid.NewString()
	var submitted admin.Submitted
	err := o.call(ctx, address, http.MethodPost, "/v1/jobs", spec, &submitted)
	return submitted, err
}

func (o *operator) status(ctx context.Context, address string) (admin.Status, error) {
	var status admin.Status
	err := o.call(ctx, address, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

func (o *operator) jobs(ctx context.Context, address string) ([]cairnbay.JobView, error) {
	var views []cairnbay.JobView
	err := o.call(ctx, address, http.MethodGet, "/v1/jobs", nil, &views)
	return views, err
}
