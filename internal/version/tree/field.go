package tree

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"cairnbay"
)

// Field describes a setting: its name, its accepted values and how it is read
// from and written to a branch.
type Field struct {
	// Name is the dotted name, such as "request.timeout".
	Name string
	// Accepts describes the accepted values; it is shown to operators.
	Accepts string
	// Doc describes the setting in one line of Markdown for the reference page.
	Doc string
	// BoundedByParent is true if a branch may not exceed its parent's value; 0
	// means no bound. It only documents the rule: checkParentBounds applies it to
	// quotaNames.
	BoundedByParent bool

	// set parses text into the branch; any error means that the text is not
	// accepted. format returns the branch's value in canonical form.
	set    func(branch *cairnbay.Branch, text string) error
	format func(branch *cairnbay.Branch) string
}

// errNotAccepted means that a text is not an accepted value of a field.
const errNotAccepted = errors.ConstError("value not accepted")

// integer is the constraint for whole-number settings.
type integer interface{ ~int | ~int64 }

// bounds is an inclusive range.
type bounds[T any] struct{ min, max T }

// intField returns a field for whole numbers; address returns the place of the
// value in a branch.
func intField[T integer](name, doc, unit string, limits bounds[T], address func(*cairnbay.Branch) *T) Field {
	return Field{
		Name: name, Doc: doc,
		Accepts: strings.TrimSpace(fmt.Sprintf("whole number %d to %d %s", limits.min, limits.max, unit)),
		set: func(branch *cairnbay.Branch, text string) error {
			number, err := strconv.ParseInt(text, 10, 64)
			if err != nil || number < int64(limits.min) || number > int64(limits.max) {
				return errNotAccepted
			}
			*address(branch) = T(number)
			return nil
		},
		format: func(branch *cairnbay.Branch) string { return strconv.FormatInt(int64(*address(branch)), 10) },
	}
}

func floatField(name, doc string, limits bounds[float64], address func(*cairnbay.Branch) *float64) Field {
	return Field{
		Name: name, Doc: doc, Accepts: fmt.Sprintf("number %g to %g", limits.min, limits.max),
		set: func(branch *cairnbay.Branch, text string) error {
			number, err := strconv.ParseFloat(text, 64)
			// Comparisons with NaN are false, so this form rejects NaN.
			if err != nil || !(number >= limits.min && number <= limits.max) {
				return errNotAccepted
			}
			*address(branch) = number
			return nil
		},
		format: func(branch *cairnbay.Branch) string { return strconv.FormatFloat(*address(branch), 'g', -1, 64) },
	}
}

func durationField(
	name, doc string, limits bounds[time.Duration], address func(*cairnbay.Branch) *time.Duration,
) Field {
	return Field{
		Name: name, Doc: doc, Accepts: fmt.Sprintf("duration %v to %v, as in 1m30s", limits.min, limits.max),
		set: func(branch *cairnbay.Branch, text string) error {
			duration, err := time.ParseDuration(text)
			if err != nil || duration < limits.min || duration > limits.max {
				return errNotAccepted
			}
			*address(branch) = duration
			return nil
		},
		format: func(branch *cairnbay.Branch) string { return address(branch).String() },
	}
}

func boolField(name, doc string, address func(*cairnbay.Branch) *bool) Field {
	return Field{
		Name: name, Doc: doc, Accepts: "true or false",
		set: func(branch *cairnbay.Branch, text string) error {
			if text != "true" && text != "false" {
				return errNotAccepted
			}
			*address(branch) = text == "true"
			return nil
		},
		format: func(branch *cairnbay.Branch) string { return strconv.FormatBool(*address(branch)) },
	}
}

func choiceField(name, doc string, choices []string, address func(*cairnbay.Branch) *string) Field {
	return Field{
		Name: name, Doc: doc, Accepts: "one of " + strings.Join(choices, ", "),
		set: func(branch *cairnbay.Branch, text string) error {
			for _, choice := range choices {
				if text == choice {
					*address(branch) = text
					return nil
				}
			}
			return errNotAccepted
		},
		format: func(branch *cairnbay.Branch) string { return *address(branch) },
	}
}

// nameField returns a field that accepts valid names; see isValidName.
func nameField(name, doc string, address func(*cairnbay.Branch) *string) Field {
	return Field{
		Name: name, Doc: doc, Accepts: acceptedName,
		set: func(branch *cairnbay.Branch, text string) error {
			if !isValidName(text) {
				return errNotAccepted
			}
			*address(branch) = text
			return nil
		},
		format: func(branch *cairnbay.Branch) string { return *address(branch) },
	}
}

const (
	maxNameBytes = 100
	acceptedName = "1 to 100 letters, digits, dots, dashes or underscores"
)

// isValidName reports whether text is a name as acceptedName describes it. "."
// and ".." are rejected because names are parts of paths.
func isValidName(text string) bool {
	if text == "" || len(text) > maxNameBytes || text == "." || text == ".." {
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

func boundedByParent(field Field) Field {
	field.BoundedByParent = true
	return field
}
