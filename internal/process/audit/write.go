package audit

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// Layout of keys: "audit/20261203/20/entry-1/43-<life>-<sequence>" for the
// minute records from 20:43 UTC, so that one list call reads an hour of all
// instances; "audit/20261203/day/entry-1/..." for folded days, so that a read of
// an hour does not list the others.
const (
	keyPrefix  = "audit/"
	hourLayout = "20060102/15"
	dayLayout  = "20060102"
)

func hourPrefix(at time.Time) string {
	return keyPrefix + at.UTC().Format(hourLayout) + "/"
}

func dayPrefix(at time.Time) string {
	return keyPrefix + at.UTC().Format(dayLayout) + "/day/"
}

func minuteKey(record *cairnbayv1.AuditRecord) string {
	from := time.UnixMilli(record.FromUnixMs).UTC()
	return fmt.Sprintf("%s%s/%02d-%x-%08d", hourPrefix(from), record.Instance,
		from.Minute(), record.StartedUnixMs, record.FirstSequence)
}

// writeChunk writes the oldest pending records as one value; false if there
// were none. A write whose answer was lost is settled by reading back.
func (a *Audit) writeChunk(ctx context.Context) (wrote bool, err error) {
	a.writing.Lock()
	defer a.writing.Unlock()
	group := a.queue.group()
	if len(group) == 0 {
		return false, nil
	}
	value, err := EncodeChunk(sealedOf(group))
	if err != nil {
		return false, err
	}
	key := minuteKey(group[0].record)
	if err := a.put(ctx, key, value); err != nil {
		a.queue.release()
		a.counts.failures.Inc()
		return false, errors.Annotatef(err, "audit records under %q", key)
	}
	a.queue.confirm()
	a.counts.written.Add(len(key) + len(value))
	a.counts.pending.Set(float64(a.queue.bytes()))
	return true, nil
}

func (a *Audit) put(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, a.config.WriteTimeout)
	defer cancel()
	_, err := a.config.Store.Put(ctx, key, value, 0, 0)
	if err == nil {
		return nil
	}
	if errors.Is(err, cairnbay.ErrUnavailable) || errors.Is(err, cairnbay.ErrRateLimited) {
		return err
	}
	a.queue.doubt()
	return a.settle(ctx, key, value, err)
}

// settle finds out whether an earlier write of the same value took effect.
func (a *Audit) settle(ctx context.Context, key string, value []byte, cause error) error {
	entry, err := a.config.Store.Get(ctx, key)
	if err != nil {
		return errors.Annotatef(cause, "not settled (%v)", err)
	}
	if !bytes.Equal(entry.Value, value) {
		return errors.Annotate(cairnbay.ErrConflict, "another value is there")
	}
	return nil
}

func sealedOf(group []pendingRecord) []*cairnbayv1.SealedAudit {
	sealed := make([]*cairnbayv1.SealedAudit, 0, len(group))
	for _, pending := range group {
		sealed = append(sealed, pending.sealed)
	}
	return sealed
}
