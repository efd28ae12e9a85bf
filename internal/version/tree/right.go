package tree

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/juju/errors"

	"cairnbay"
)

// Verb is what an operator wants to do on a branch.
type Verb string

// Verbs that grants are given for.
const (
	VerbRead   Verb = "read"
	VerbChange Verb = "change"
	VerbDrain  Verb = "drain"
)

// Authorize checks an operator's grants: a grant covers a branch and all below
// it, and an empty grant covers the whole tree. Change includes read. Errors:
// ErrForbidden.
func Authorize(settings *cairnbay.Settings, operator string, verb Verb, path string) error {
	for _, known := range settings.Operators {
		if known.Name == operator && covers(grants(known, verb), path) {
			return nil
		}
	}
	return errors.Annotatef(cairnbay.ErrForbidden, "operator %q has no %q grant on branch %q", operator, verb, path)
}

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

// OperatorByToken finds the operator of a bearer token. Every hash is compared, each in
// constant time. Errors: ErrForbidden.
func OperatorByToken(settings *cairnbay.Settings, token string) (cairnbay.Operator, error) {
	sum := sha256.Sum256([]byte(token))
	got := []byte(hex.EncodeToString(sum[:]))
	var found *cairnbay.Operator
	for i := range settings.Operators {
		if subtle.ConstantTimeCompare(got, []byte(settings.Operators[i].TokenHash)) == 1 {
			found = &settings.Operators[i]
		}
	}
	if found == nil {
		return cairnbay.Operator{}, errors.Annotatef(cairnbay.ErrForbidden, "token is not known")
	}
	return *found, nil
}

// OperatorByCertificate finds the operator of a verified client certificate's common
// name. Errors: ErrForbidden.
func OperatorByCertificate(settings *cairnbay.Settings, commonName string) (cairnbay.Operator, error) {
	for _, operator := range settings.Operators {
		if commonName != "" && operator.CertName == commonName {
			return operator, nil
		}
	}
	return cairnbay.Operator{}, errors.Annotatef(cairnbay.ErrForbidden, "certificate name %q is not known", commonName)
}
