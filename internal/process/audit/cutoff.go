package audit

// The exception that says why settings came late.
const (
	// CutOffName is noted by a member that reached neither the platform nor
	// another member from CutOffFrom until CutOffUntil (milliseconds of Unix
	// time); no settings version could reach it.
	CutOffName  = "cut_off"
	CutOffFrom  = "from_unix_ms"
	CutOffUntil = "until_unix_ms"
)
