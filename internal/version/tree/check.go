package tree

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"cairnbay"
)

// Fault is an error in the declarations.
type Fault struct {
	// File and Line are set for declarations that were read from files; Line
	// counts from 1 and is 0 if unknown.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Path is the branch; Name is the setting, or "operators" for a fault of an
	// operator, whose name is then in Value.
	Path string `json:"path"`
	Name string `json:"name,omitempty"`
	// Value is the rejected value; Accepts describes the accepted values.
	Value   string `json:"value,omitempty"`
	Accepts string `json:"accepts,omitempty"`
	Problem string `json:"problem"`
}

// String returns one line: the place, the problem and the accepted values.
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

// Faults lists every fault of a set of declarations; errors.Is matches it to
// cairnbay.ErrInvalid.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is cairnbay.ErrInvalid.
func (f Faults) Is(target error) bool {
	return target == cairnbay.ErrInvalid
}

func unknownSetting(path, name string) Fault {
	return Fault{
		Path: path, Name: name, Problem: fmt.Sprintf("setting %q does not exist", name),
		Accepts: alternativeSettings(name),
	}
}

func invalidValue(path string, field Field, text string) Fault {
	return Fault{
		Path: path, Name: field.Name, Value: text, Accepts: field.Accepts,
		Problem: fmt.Sprintf("setting %q has value %q", field.Name, text),
	}
}

// alternativeSettings lists the accepted names in place of an unknown one: those
// of the same group, or all if no setting is in its group.
func alternativeSettings(name string) string {
	group := ""
	if i := strings.LastIndexByte(name, '.'); i >= 0 {
		group = name[:i+1]
	}
	var sameGroup, all []string
	for _, field := range schema {
		all = append(all, field.Name)
		if group != "" && strings.HasPrefix(field.Name, group) {
			sameGroup = append(sameGroup, field.Name)
		}
	}
	if len(sameGroup) > 0 {
		return strings.Join(sameGroup, ", ")
	}
	return strings.Join(all, ", ")
}

// check resolves the tree and returns every fault.
func (t *Tree) check() (map[string]*cairnbay.Branch, Faults) {
	faults := t.checkPaths()
	resolved := make(map[string]*cairnbay.Branch, len(t.Branches))
	services, teams := make(map[string]string), make(map[string]string)
	for i := range t.Branches {
		declared := &t.Branches[i]
		parent := resolved[Parent(declared.Path)]
		branch, branchFaults := resolve(declared, parent)
		resolved[declared.Path] = branch
		faults = append(faults, branchFaults...)
		faults = append(faults, checkParentBounds(declared, branch, parent)...)
		faults = append(faults, checkUnique(declared, settingService, services)...)
		faults = append(faults, checkUnique(declared, settingTeam, teams)...)
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
		for _, element := range strings.Split(branch.Path, "/") {
			if !isValidName(element) {
				faults = append(faults, Fault{
					Path: branch.Path, Value: element, Accepts: acceptedName,
					Problem: fmt.Sprintf("part %q of the path is not a valid name", element),
				})
			}
		}
	}
	return faults
}

// checkOrder reports values that are not in strict order of name, which the
// binary search in Branch.Get needs.
func checkOrder(branch Branch) Faults {
	for i := 1; i < len(branch.Values); i++ {
		if name := branch.Values[i].Name; branch.Values[i-1].Name >= name {
			return Faults{{Path: branch.Path, Name: name, Problem: fmt.Sprintf("setting %q is out of order or set twice", name)}}
		}
	}
	return nil
}

// checkParentBounds reports quotas that the branch sets above its parent's. A quota
// of 0 has no bound: it exceeds every other, and no quota exceeds it.
func checkParentBounds(declared *Branch, branch, parent *cairnbay.Branch) Faults {
	if parent == nil {
		return nil
	}
	var faults Faults
	values, parentValues := branch.Placing.Quota.Values(), parent.Placing.Quota.Values()
	for i, name := range quotaNames {
		text, set := declared.Get(name)
		if !set || parentValues[i] == 0 || values[i] != 0 && values[i] <= parentValues[i] {
			continue
		}
		faults = append(faults, Fault{
			Path: declared.Path, Name: name, Value: text, Accepts: fmt.Sprintf("1 to %d", parentValues[i]),
			Problem: fmt.Sprintf("setting %q has value %q, but %d is the limit of branch %q",
				name, text, parentValues[i], parent.Path),
		})
	}
	return faults
}

// quotaNames lists the quota settings in the order of cairnbay.Resources.Values.
var quotaNames = [cairnbay.Dimensions]string{
	"placing.quota.milli_cpu", "placing.quota.memory_mb", "placing.quota.accelerators",
}

// checkUnique reports a value that another branch sets too; seen maps each value
// to the path of the first branch that sets it.
func checkUnique(declared *Branch, name string, seen map[string]string) Faults {
	text, set := declared.Get(name)
	if !set {
		return nil
	}
	owner, taken := seen[text]
	if !taken {
		seen[text] = declared.Path
		return nil
	}
	return Faults{{
		Path: declared.Path, Name: name, Value: text, Accepts: "a name that no other branch sets",
		Problem: fmt.Sprintf("%s %q is already set by branch %q", name, text, owner),
	}}
}

// tokenHashBytes is the length of a SHA-256 digest.
const tokenHashBytes = 32

func (t *Tree) checkOperators() Faults {
	var faults Faults
	seen := make(map[string]bool)
	add := func(name, format string, args ...any) {
		faults = append(faults, Fault{Name: "operators", Value: name, Problem: fmt.Sprintf(format, args...)})
	}
	for _, operator := range t.Operators {
		if !isValidName(operator.Name) || seen[operator.Name] {
			add(operator.Name, "operator name %q is empty, already taken or not a valid name", operator.Name)
		}
		seen[operator.Name] = true
		hash, err := hex.DecodeString(operator.TokenHash)
		if operator.TokenHash != "" && (err != nil || len(hash) != tokenHashBytes || hex.EncodeToString(hash) != operator.TokenHash) {
			add(operator.Name, "operator %q: token_hash is not a SHA-256 in lower-case hex", operator.Name)
		}
		if operator.TokenHash == "" && operator.CertName == "" {
			add(operator.Name, "operator %q has neither token_hash nor cert_name", operator.Name)
		}
	}
	return faults
}

// Warnings lists declared quotas that exceed the total resources of all workers.
// It returns nil if total is zero, which means unknown, or if the tree was not
// built by New.
func (t *Tree) Warnings(total cairnbay.Resources) []Fault {
	if total.IsZero() {
		return nil
	}
	settings, err := t.ResolveVersion(VersionInfo{})
	if err != nil {
		return nil
	}
	var warnings []Fault
	totals := total.Values()
	for i := range t.Branches {
		declared := &t.Branches[i]
		for d, quota := range settings.Branches[declared.Path].Placing.Quota.Values() {
			text, set := declared.Get(quotaNames[d])
			if !set || quota <= totals[d] {
				continue
			}
			warnings = append(warnings, Fault{
				Path: declared.Path, Name: quotaNames[d], Value: text,
				Problem: fmt.Sprintf("setting %q is %d, but all workers together have %d", quotaNames[d], quota, totals[d]),
			})
		}
	}
	return warnings
}

// asFaults returns the faults that err wraps, or a single fault with its text.
func asFaults(path string, err error) Faults {
	var faults Faults
	if errors.As(err, &faults) {
		return faults
	}
	return Faults{{Path: path, Problem: err.Error()}}
}
