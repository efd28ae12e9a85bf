package tree

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"cairnbay"
)

// Edit sets an item of a tree: a setting, a branch, an operator's grants or a
// drain. Path and Name identify the item as in itemKey. An empty Text removes it;
// otherwise Text is the value, the JSON of an operator, or any text for a branch
// or a drain.
type Edit struct {
	Path string `json:"path"`
	Name string `json:"name,omitempty"`
	Text string `json:"text,omitempty"`
}

// Edits lists the edits that turn old into new, ordered by path and name. Unlike
// the changes of Diff, the edits contain token hashes, because other members
// rebuild the tree from the edits.
func Edits(old, new *Tree) []Edit {
	before, after := old.items(), new.items()
	var edits []Edit
	for _, key := range sortedKeys(before, after) {
		if before[key] != after[key] {
			edits = append(edits, Edit{key.path, key.name, after[key]})
		}
	}
	return edits
}

// WithEdits returns a copy of the tree with the edits applied. Errors: Faults;
// ErrInvalid for a drain with an unknown kind or no ID.
func (t *Tree) WithEdits(edits []Edit) (*Tree, error) {
	items := t.items()
	for _, edit := range edits {
		key := itemKey{edit.Path, edit.Name}
		if edit.Text == "" {
			delete(items, key)
			continue
		}
		items[key] = edit.Text
	}
	return fromItems(items)
}

// EncodeEdits returns the edits as JSON for other members.
func EncodeEdits(edits []Edit) ([]byte, error) {
	encoded, err := json.Marshal(edits)
	return encoded, errors.Annotate(err, "encode edits")
}

// DecodeEdits parses edits from another member. Errors: ErrInvalid.
func DecodeEdits(encoded []byte) ([]Edit, error) {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	var edits []Edit
	if err := decoder.Decode(&edits); err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "settings edits: %v", err)
	}
	return edits, nil
}
