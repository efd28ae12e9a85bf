package entry

import (
	"github.com/juju/errors"

	"cairnbay"
	"cairnbay/internal/version/tree"
)

// bootstrapOperator is who calls while the settings name no operator: whoever
// reaches the operators' address may then do everything, so that a first tree
// can be applied.
const bootstrapOperator = "bootstrap"

// rights reads the operators' grants from the version in force.
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
		known, err := tree.OperatorByCertificate(current, certName)
		if err == nil {
			return known.Name, nil
		}
	}
	if token == "" {
		return "", errors.Annotate(cairnbay.ErrForbidden, "neither a token nor a known client certificate was given")
	}
	known, err := tree.OperatorByToken(current, token)
	return known.Name, err
}

// Allow implements admin.Rights.
func (r *rights) Allow(operator, verb, path string) error {
	current := r.settings.Current()
	if current == nil || len(current.Operators) == 0 {
		return nil
	}
	return tree.Authorize(current, operator, tree.Verb(verb), path)
}
