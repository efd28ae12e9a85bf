package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"strings"

	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/tool/near"
)

// maxBodyBytes limits a request body; the whole tree of 5,000 services takes
// under 4 MB.
const maxBodyBytes = 8 << 20

// decode reads a request body, a single JSON value, into target. The
// error for an unknown field suggests the closest field name of any level. Errors: ErrInvalid, ErrTooLarge.
func decode(r *http.Request, target any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return errors.Annotatef(cairnbay.ErrInvalid, "body: %v", err)
	}
	if len(body) > maxBodyBytes {
		return errors.Annotatef(cairnbay.ErrTooLarge, "body exceeds %d bytes", maxBodyBytes)
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.Annotatef(cairnbay.ErrInvalid, "body: %v%s", err, fieldHint(err, target))
	}
	if decoder.More() {
		return errors.Annotate(cairnbay.ErrInvalid, "body: more than one JSON value")
	}
	return nil
}

// fieldHint suggests a field name for an unknown-field error. encoding/json
// gives the name only in the error text.
func fieldHint(err error, target any) string {
	quoted, found := strings.CutPrefix(err.Error(), "json: unknown field ")
	if !found {
		return ""
	}
	return near.Hint(strings.Trim(quoted, `"`), fieldNames(reflect.TypeOf(target)), "")
}

// fieldNames returns the JSON names of a struct's fields, including those of
// nested structs.
func fieldNames(typ reflect.Type) []string {
	for typ.Kind() == reflect.Pointer || typ.Kind() == reflect.Slice {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for field := range typ.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		names = append(names, name)
		names = append(names, fieldNames(field.Type)...)
	}
	return names
}
