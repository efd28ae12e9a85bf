package tree

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"cairnbay"
)

// Edit sets one slot of a tree: a setting, a branch (no name) or an operator's
// grants. An empty text removes it.
type Edit struct {
	Path string `json:"path"`
	Name string `json:"name,omitempty"`
	Text string `json:"text,omitempty"`
}

// Edits lists what leads from old to new. Unlike Diff it holds whole texts; it
// is for members, not for people.
func Edits(old, new *Tree) []Edit {
	before, after := old.slots(), new.slots()
	var edits []Edit
	for _, at := range sortedSlots(before, after) {
		if before[at] != after[at] {
			edits = append(edits, Edit{at.path, at.name, after[at]})
		}
	}
	return edits
}

// WithEdits returns the tree with edits made. Errors: Faults.
func (t *Tree) WithEdits(edits []Edit) (*Tree, error) {
	texts := t.slots()
	for _, edit := range edits {
		at := slot{edit.Path, edit.Name}
		if edit.Text == "" {
			delete(texts, at)
			continue
		}
		texts[at] = edit.Text
	}
	return fromSlots(texts)
}

// EncodeEdits returns edits as sent to members.
func EncodeEdits(edits []Edit) ([]byte, error) {
	encoded, err := json.Marshal(edits)
	return encoded, errors.Annotate(err, "encode edits")
}

// DecodeEdits reads edits that came from a member. Errors: ErrInvalid.
func DecodeEdits(encoded []byte) ([]Edit, error) {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	var edits []Edit
	if err := decoder.Decode(&edits); err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "settings edits: %v", err)
	}
	return edits, nil
}
