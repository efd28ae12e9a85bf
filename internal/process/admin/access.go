package admin

import (
	"net/http"
	"strings"

	"cairnbay"
)

// Verbs that an operator can be granted on a branch.
const (
	VerbRead   = "read"
	VerbChange = "change"
	VerbDrain  = "drain"
)

// Rights authenticates operators and checks their permissions.
type Rights interface {
	// Identify returns the operator that a client certificate's common name or
	// a bearer token belongs to; either may be empty. Errors: ErrForbidden.
	Identify(certName, token string) (operator string, err error)
	// Allow checks that the operator may use verb on the branch at path.
	// Errors: ErrForbidden.
	Allow(operator, verb, path string) error
}

// identifyOperator returns the operator that sent the request. The token is the
// Authorization header without the prefix "Bearer ", if it has one. Errors:
// ErrForbidden.
func (a *Admin) identifyOperator(r *http.Request) (operator string, err error) {
	certName := ""
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		certName = r.TLS.PeerCertificates[0].Subject.CommonName
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return a.config.Rights.Identify(certName, token)
}

// call is an authenticated API call.
type call struct {
	operator string
	request  *http.Request
	admin    *Admin
}

// allow checks that the operator may use verb on the branch at path; an empty
// path is the whole tree. Errors: ErrForbidden.
func (c *call) allow(verb, path string) error {
	return c.admin.config.Rights.Allow(c.operator, verb, path)
}

// recordChange writes an operator's change to the audit. name is the event,
// object the changed version, drain or job, why the operator's reason.
func (c *call) recordChange(name, object, why string) {
	c.admin.config.Recorder.RecordException(cairnbay.Exception{
		UnixMS: c.admin.config.Clock.Wall().UnixMilli(),
		Name:   name,
		Fields: map[string]string{"operator": c.operator, "path": object, "why": why},
	})
}
