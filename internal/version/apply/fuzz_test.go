package apply

import (
	"testing"

	"github.com/juju/errors"

	"cairnbay"
)

// FuzzDecodeHead checks that any value either decodes to a usable head or fails with
// ErrInvalid.
func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"version":2,"digest":"d","change_id":"c","content":["k"],"recent":[{"version":2,"change_id":"c","content":["k"]}]}`))
	f.Add([]byte(`{"version":1,"content":[]}`))
	f.Add([]byte(`{"version":1,"content":["k"],"recent":[{"change_id":"c"}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		head, err := decodeHead(value)
		if err != nil {
			if !errors.Is(err, cairnbay.ErrInvalid) {
				t.Fatalf("error is not ErrInvalid: %v", err)
			}
			return
		}
		// containsChange must not panic on any head.
		containsChange(cairnbay.Entry{Value: value}, head.Record)
		containsChange(cairnbay.Entry{Value: value}, Record{ChangeID: "c", Content: []string{"k"}})
		if next := head.next(Record{Version: head.Version + 1}); len(next.Recent) > maxRecentRecords {
			t.Fatalf("next head has %d recent records", len(next.Recent))
		}
	})
}
