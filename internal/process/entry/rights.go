package entry

import (
	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/version/tree"
)

// bootstrapOperator is the operator of every call while no settings are in
// force or they name no operator. Every client of the operators' address then
// has all rights, so that the first settings tree can be applied.
const bootstrapOperator = "bootstrap"

// rights authorises operators by the grants in the settings in force.
type rights struct {
	settings cairnbay.SettingsSource
}

// Identify implements admin.Rights.
func (r *rights) Identify(certName, token string) (operator string, err error) {
	current := r.settings.Current()
	if current == nil || len(current.Operators) == 0 {
		return bootstrapOperator, nil
	}
	if certName != "" {
		match, err := tree.OperatorByCertificate(current, certName)
		if err == nil {
			return match.Name, nil
		}
	}
	if token == "" {
		return "", errors.Annotate(cairnbay.ErrForbidden, "the call has neither a token nor a known client certificate")
	}
	match, err := tree.OperatorByToken(current, token)
	return match.Name, err
}

// Allow implements admin.Rights.
func (r *rights) Allow(operator, verb, path string) error {
	current := r.settings.Current()
	if current == nil || len(current.Operators) == 0 {
		return nil
	}
	return tree.Authorize(current, operator, tree.Verb(verb), path)
}
