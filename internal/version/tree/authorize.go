package tree

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/juju/errors"

	"cairnbay"
)

// Verb is an operation on a branch that needs a grant.
type Verb string

// Verbs that a grant can allow.
const (
	VerbRead   Verb = "read"
	VerbChange Verb = "change"
	VerbDrain  Verb = "drain"
)

// Authorize checks that an operator has a grant for a verb on a branch. A grant
// covers a branch and its descendants; the grant "" covers the whole tree. A
// change grant includes read, a drain grant does not. Errors: ErrForbidden.
func Authorize(settings *cairnbay.Settings, operator string, verb Verb, path string) error {
	for _, candidate := range settings.Operators {
		if candidate.Name == operator && covers(grants(candidate, verb), path) {
			return nil
		}
	}
	return errors.Annotatef(cairnbay.ErrForbidden, "operator %q has no %q grant on branch %q", operator, verb, path)
}

// grants returns the branches on which an operator may use a verb.
func grants(operator cairnbay.Operator, verb Verb) []string {
	switch verb {
	case VerbRead:
		return append(append([]string(nil), operator.Read...), operator.Change...)
	case VerbChange:
		return operator.Change
	case VerbDrain:
		return operator.Drain
	default:
		return nil
	}
}

func covers(grants []string, path string) bool {
	for _, grant := range grants {
		if Within(path, grant) {
			return true
		}
	}
	return false
}

// OperatorByToken returns the operator with a bearer token. It compares every
// hash in constant time, so that the duration does not reveal a match. Errors:
// ErrForbidden.
func OperatorByToken(settings *cairnbay.Settings, token string) (cairnbay.Operator, error) {
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	var found *cairnbay.Operator
	for i := range settings.Operators {
		if subtle.ConstantTimeCompare(hash, []byte(settings.Operators[i].TokenHash)) == 1 {
			found = &settings.Operators[i]
		}
	}
	if found == nil {
		return cairnbay.Operator{}, errors.Annotatef(cairnbay.ErrForbidden, "token is not known")
	}
	return *found, nil
}

// OperatorByCertificate returns the operator with the common name of a verified
// client certificate. Errors: ErrForbidden.
func OperatorByCertificate(settings *cairnbay.Settings, commonName string) (cairnbay.Operator, error) {
	for _, operator := range settings.Operators {
		if commonName != "" && operator.CertName == commonName {
			return operator, nil
		}
	}
	return cairnbay.Operator{}, errors.Annotatef(cairnbay.ErrForbidden, "certificate name %q is not known", commonName)
}
