package tree

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// Field is one setting of the schema.
type Field struct {
	// Name is dotted: "request.timeout".
	Name string
	// Accepts says which values are taken.
	Accepts string
	Doc     string
	// BoundedByParent says that a branch may not exceed its parent's value; 0 has no
	// bound.
	BoundedByParent bool

	set  func(branch *cairnbay.Branch, text string) error
	show func(branch *cairnbay.Branch) string
}

// errNotAccepted says that a text is not a value of the field.
const errNotAccepted = errors.ConstError("value not accepted")

// integer is any whole number in settings.
type integer interface{ ~int | ~int64 }

// bounds are inclusive.
type bounds[T any] struct{ min, max T }

func intField[T integer](name, doc, unit string, in bounds[T], at func(*cairnbay.Branch) *T) Field {
	return Field{
		Name: name, Doc: doc,
		Accepts: strings.TrimSpace(fmt.Sprintf("whole number %d to %d %s", in.min, in.max, unit)),
		set: func(branch *cairnbay.Branch, text string) error {
			number, err := strconv.ParseInt(text, 10, 64)
			if err != nil || number < int64(in.min) || number > int64(in.max) {
				return errNotAccepted
			}
			*at(branch) = T(number)
			return nil
		},
		show: func(branch *cairnbay.Branch) string { return strconv.FormatInt(int64(*at(branch)), 10) },
	}
}

func floatField(name, doc string, in bounds[float64], at func(*cairnbay.Branch) *float64) Field {
	return Field{
		Name: name, Doc: doc, Accepts: fmt.Sprintf("number %g to %g", in.min, in.max),
		set: func(branch *cairnbay.Branch, text string) error {
			number, err := strconv.ParseFloat(text, 64)
			// The comparison is written so that NaN is refused.
			if err != nil || !(number >= in.min && number <= in.max) {
				return errNotAccepted
			}
			*at(branch) = number
			return nil
		},
		show: func(branch *cairnbay.Branch) string { return strconv.FormatFloat(*at(branch), 'g', -1, 64) },
	}
}

func durationField(
	name, doc string, in bounds[time.Duration], at func(*cairnbay.Branch) *time.Duration,
) Field {
	return Field{
		Name: name, Doc: doc, Accepts: fmt.Sprintf("duration %v to %v, as in 1m30s", in.min, in.max),
		set: func(branch *cairnbay.Branch, text string) error {
			span, err := time.ParseDuration(text)
			if err != nil || span < in.min || span > in.max {
				return errNotAccepted
			}
			*at(branch) = span
			return nil
		},
		show: func(branch *cairnbay.Branch) string { return at(branch).String() },
	}
}

func boolField(name, doc string, at func(*cairnbay.Branch) *bool) Field {
	return Field{
		Name: name, Doc: doc, Accepts: "true or false",
		set: func(branch *cairnbay.Branch, text string) error {
			if text != "true" && text != "false" {
				return errNotAccepted
			}
			*at(branch) = text == "true"
			return nil
		},
		show: func(branch *cairnbay.Branch) string { return strconv.FormatBool(*at(branch)) },
	}
}

func choiceField(name, doc string, choices []string, at func(*cairnbay.Branch) *string) Field {
	return Field{
		Name: name, Doc: doc, Accepts: "one of " + strings.Join(choices, ", "),
		set: func(branch *cairnbay.Branch, text string) error {
			for _, choice := range choices {
				if text == choice {
					*at(branch) = text
					return nil
				}
			}
			return errNotAccepted
		},
		show: func(branch *cairnbay.Branch) string { return *at(branch) },
	}
}

// nameField takes a name made of path-safe characters.
func nameField(name, doc string, at func(*cairnbay.Branch) *string) Field {
	return Field{
		Name: name, Doc: doc, Accepts: acceptedName,
		set: func(branch *cairnbay.Branch, text string) error {
			if !isName(text) {
				return errNotAccepted
			}
			*at(branch) = text
			return nil
		},
		show: func(branch *cairnbay.Branch) string { return *at(branch) },
	}
}

const (
	maxNameLength = 100
	acceptedName  = "1 to 100 letters, digits, dots, dashes or underscores"
)

func isName(text string) bool {
	if text == "" || len(text) > maxNameLength || text == "." || text == ".." {
		return false
	}
	for _, char := range text {
		switch {
		case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		case char == '.', char == '-', char == '_':
		default:
			return false
		}
	}
	return true
}

func within(field Field) Field {
	field.BoundedByParent = true
	return field
}
