package admin

import (
	"net/http"
	"strings"

	"cairnbay"
)

// Verbs of a right on a branch.
const (
	VerbRead   = "read"
	VerbChange = "change"
	VerbDrain  = "drain"
)

// Rights decides who may do what.
type Rights interface {
	// Identify finds the operator of a client certificate's common name or a
	// bearer token; either may be empty. Errors: ErrForbidden.
	Identify(certName, token string) (operator string, err error)
	// Allow checks a verb on a branch's path. Errors: ErrForbidden.
	Allow(operator, verb, path string) error
}

// identify finds who calls.
func (a *Admin) identify(r *http.Request) (operator string, err error) {
	certName := ""
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		certName = r.TLS.PeerCertificates[0].Subject.CommonName
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return a.config.Rights.Identify(certName, token)
}

// call is one authenticated call of an operator.
type call struct {
	operator string
	request  *http.Request
	admin    *Admin
}

// allow checks a verb on a path.
func (c *call) allow(verb, path string) error {
	return c.admin.config.Rights.Allow(c.operator, verb, path)
}

// note keeps who changed what and why in the audit.
func (c *call) note(name, path, why string) {
	c.admin.config.Recorder.RecordException(cairnbay.Exception{
		UnixMS: c.admin.config.Clock.Wall().UnixMilli(),
		Name:   name,
		Fields: map[string]string{"operator": c.operator, "path": path, "why": why},
	})
}
