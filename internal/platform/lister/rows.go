package lister

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"cairnbay"
)

// row is one element of the list, not decoded yet. id is empty if it has none.
type row struct {
	id   string
	text []byte
}

// decode decodes and validates a row. Errors: ErrInvalid.
func (r row) decode() (cairnbay.Instance, error) {
	var instance cairnbay.Instance
	if err := json.Unmarshal(r.text, &instance); err != nil {
		return cairnbay.Instance{}, errors.Annotatef(cairnbay.ErrInvalid, "row: %v", err)
	}
	return instance, errors.Trace(instance.Validate())
}

// splitRows splits a list into its rows. It reads the text token by token, since
// json.Unmarshal rejects the whole text for one row that is nested too deeply.
func splitRows(text []byte) (rows []row, err error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	opening, err := decoder.Token()
	if err != nil || opening != json.Delim('{') {
		return nil, errors.Errorf("not an object: %v, %v", opening, err)
	}
	err = eachField(decoder, func(name string, value json.Token) error {
		if name != "instances" || value != json.Delim('[') {
			return finish(decoder, value)
		}
		for decoder.More() {
			start := decoder.InputOffset()
			id, err := readID(decoder)
			if err != nil {
				return err
			}
			rows = append(rows, row{id, bytes.TrimLeft(text[start:decoder.InputOffset()], ", \t\r\n")})
		}
		_, err := decoder.Token()
		return errors.Trace(err)
	})
	return rows, err
}

// readID consumes one row and returns its ID.
func readID(decoder *json.Decoder) (id string, err error) {
	opening, err := decoder.Token()
	if err != nil {
		return "", errors.Trace(err)
	}
	if opening != json.Delim('{') {
		return "", finish(decoder, opening)
	}
	err = eachField(decoder, func(name string, value json.Token) error {
		if text, ok := value.(string); ok && name == "id" {
			id = text
		}
		return finish(decoder, value)
	})
	return id, err
}

// eachField consumes the rest of an object. It calls read with the name of each field and
// the first token of its value; read consumes the rest of the value.
func eachField(decoder *json.Decoder, read func(name string, value json.Token) error) error {
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return errors.Trace(err)
		}
		value, err := decoder.Token()
		if err != nil {
			return errors.Trace(err)
		}
		// The decoder accepts nothing but strings as names.
		if err := read(name.(string), value); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return errors.Trace(err)
}

// finish consumes the rest of the value that begins with a token, however deeply it is
// nested.
func finish(decoder *json.Decoder, token json.Token) (err error) {
	for depth := 0; ; {
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		if token, err = decoder.Token(); err != nil {
			return errors.Trace(err)
		}
	}
}
