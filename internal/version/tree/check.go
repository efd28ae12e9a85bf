package tree

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"cairnbay"
)

// Fault is one thing that is wrong with declarations.
type Fault struct {
	// File and Line are set for what was read from files; Line is 0 where it
	// is not known.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Path is the branch and Name the setting.
	Path string `json:"path"`
	Name string `json:"name,omitempty"`
	// Value is what was found and Accepts what would be accepted.
	Value   string `json:"value,omitempty"`
	Accepts string `json:"accepts,omitempty"`
	Problem string `json:"problem"`
}

// String is one line: where, what, and what would be accepted.
func (f Fault) String() string {
	var text strings.Builder
	if f.File != "" {
		fmt.Fprintf(&text, "%s:", f.File)
		if f.Line > 0 {
			fmt.Fprintf(&text, "%d:", f.Line)
		}
		text.WriteByte(' ')
	}
	fmt.Fprintf(&text, "branch %q: %s", f.Path, f.Problem)
	if f.Accepts != "" {
		fmt.Fprintf(&text, "; accepted: %s", f.Accepts)
	}
	return text.String()
}

// Faults is every fault of a set of declarations; it is an ErrInvalid.
type Faults []Fault

// Error has one line a fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, cairnbay.ErrInvalid) true.
func (f Faults) Is(target error) bool {
	return target == cairnbay.ErrInvalid
}

func unknownName(path, name string) Fault {
	return Fault{
		Path: path, Name: name, Problem: fmt.Sprintf("setting %q does not exist", name),
		Accepts: acceptedNames(name),
	}
}

func badValue(path string, field Field, text string) Fault {
	return Fault{
		Path: path, Name: field.Name, Value: text, Accepts: field.Accepts,
		Problem: fmt.Sprintf("setting %q has value %q", field.Name, text),
	}
}

// acceptedNames lists the settings beside an unknown one: those of the same
// group where there is one.
func acceptedNames(name string) string {
	group := ""
	if i := strings.LastIndexByte(name, '.'); i >= 0 {
		group = name[:i+1]
	}
	var near, all []string
	for _, field := range schema {
		all = append(all, field.Name)
		if group != "" && strings.HasPrefix(field.Name, group) {
			near = append(near, field.Name)
		}
	}
	if len(near) > 0 {
		return strings.Join(near, ", ")
	}
	return strings.Join(all, ", ")
}

// check resolves the tree and finds every fault.
func (t *Tree) check() (map[string]*cairnbay.Branch, Faults) {
	faults := t.checkPaths()
	resolved := make(map[string]*cairnbay.Branch, len(t.Branches))
	services, teams := make(map[string]string), make(map[string]string)
	for i := range t.Branches {
		declared := &t.Branches[i]
		parent := resolved[Parent(declared.Path)]
		branch, found := resolve(declared, parent)
		resolved[declared.Path] = branch
		faults = append(faults, found...)
		faults = append(faults, checkWithin(declared, branch, parent)...)
		faults = append(faults, checkUnique(declared, fieldService, services)...)
		faults = append(faults, checkUnique(declared, fieldTeam, teams)...)
	}
	return resolved, append(faults, t.checkOperators()...)
}

func (t *Tree) checkPaths() Faults {
	var faults Faults
	for i, branch := range t.Branches {
		if i > 0 && t.Branches[i-1].Path == branch.Path {
			faults = append(faults, Fault{Path: branch.Path, Problem: "branch is declared twice"})
		}
		faults = append(faults, checkOrder(branch)...)
		if branch.Path == "" {
			continue
		}
		for _, part := range strings.Split(branch.Path, "/") {
			if !isName(part) {
				faults = append(faults, Fault{
					Path: branch.Path, Value: part, Accepts: acceptedName,
					Problem: fmt.Sprintf("part %q of the path is not a name", part),
				})
			}
		}
	}
	return faults
}

// checkOrder makes sure that lookups by name find each value once.
func checkOrder(branch Branch) Faults {
	for i := 1; i < len(branch.Values); i++ {
		if name := branch.Values[i].Name; branch.Values[i-1].Name >= name {
			return Faults{{Path: branch.Path, Name: name, Problem: fmt.Sprintf("setting %q is out of order or set twice", name)}}
		}
	}
	return nil
}

// checkWithin compares a branch's limits with its parent's; 0 has no bound.
func checkWithin(declared *Branch, branch, parent *cairnbay.Branch) Faults {
	if parent == nil {
		return nil
	}
	var faults Faults
	own, above := branch.Placing.Quota.Values(), parent.Placing.Quota.Values()
	for i, name := range quotaNames {
		text, set := declared.Get(name)
		if !set || above[i] == 0 || own[i] != 0 && own[i] <= above[i] {
			continue
		}
		faults = append(faults, Fault{
			Path: declared.Path, Name: name, Value: text, Accepts: fmt.Sprintf("1 to %d", above[i]),
			Problem: fmt.Sprintf("setting %q has value %q, over the %d of branch %q",
				name, text, above[i], parent.Path),
		})
	}
	return faults
}

// quotaNames are in the order of cairnbay.Resources.Values.
var quotaNames = [cairnbay.Dimensions]string{
	"placing.quota.milli_cpu", "placing.quota.memory_mb", "placing.quota.accelerators",
}

func checkUnique(declared *Branch, name string, seen map[string]string) Faults {
	text, set := declared.Get(name)
	if !set {
		return nil
	}
	first, taken := seen[text]
	if !taken {
		seen[text] = declared.Path
		return nil
	}
	return Faults{{
		Path: declared.Path, Name: name, Value: text, Accepts: "a name that no other branch sets",
		Problem: fmt.Sprintf("%s %q is set by branch %q already", name, text, first),
	}}
}

// tokenHashBytes is the length of a SHA-256.
const tokenHashBytes = 32

func (t *Tree) checkOperators() Faults {
	var faults Faults
	seen := make(map[string]bool)
	fault := func(name, format string, args ...any) {
		faults = append(faults, Fault{Name: "operators", Value: name, Problem: fmt.Sprintf(format, args...)})
	}
	for _, operator := range t.Operators {
		if !isName(operator.Name) || seen[operator.Name] {
			fault(operator.Name, "operator name %q is empty, taken or not a name", operator.Name)
		}
		seen[operator.Name] = true
		hash, err := hex.DecodeString(operator.TokenHash)
		if operator.TokenHash != "" && (err != nil || len(hash) != tokenHashBytes || hex.EncodeToString(hash) != operator.TokenHash) {
			fault(operator.Name, "operator %q: token_hash is not a SHA-256 in lower-case hex", operator.Name)
		}
		if operator.TokenHash == "" && operator.CertName == "" {
			fault(operator.Name, "operator %q has neither token_hash nor cert_name", operator.Name)
		}
	}
	return faults
}

// Warnings lists quotas that exceed all workers together; total is what the
// workers have, and zero where that is not known.
func (t *Tree) Warnings(total cairnbay.Resources) []Fault {
	if total.IsZero() {
		return nil
	}
	settings, err := t.ResolveVersion(VersionInfo{})
	if err != nil {
		return nil
	}
	var warnings []Fault
	have := total.Values()
	for i := range t.Branches {
		declared := &t.Branches[i]
		for d, quota := range settings.Branches[declared.Path].Placing.Quota.Values() {
			text, set := declared.Get(quotaNames[d])
			if !set || quota <= have[d] {
				continue
			}
			warnings = append(warnings, Fault{
				Path: declared.Path, Name: quotaNames[d], Value: text,
				Problem: fmt.Sprintf("setting %q is %d, and all workers together have %d", quotaNames[d], quota, have[d]),
			})
		}
	}
	return warnings
}

// asFaults returns the faults of an error, or one that carries its text.
func asFaults(path string, err error) Faults {
	var faults Faults
	if errors.As(err, &faults) {
		return faults
	}
	return Faults{{Path: path, Problem: err.Error()}}
}
