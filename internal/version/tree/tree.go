// Package tree loads, validates, compares and encodes the operators' settings:
// a tree of branches, each of which sets some values and inherits the rest.
//
// Each value is inherited separately; maps (a quota) merge key by key, so a
// branch that sets one dimension inherits the others. Lists are not inherited:
// the operators' grants are declared at the root only, and a new list replaces
// the whole former list.
package tree

import (
	"sort"
	"strings"

	"github.com/juju/errors"

	"cairnbay"
)

// Value is a setting that a branch declares, with its text in canonical form.
type Value struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Branch holds the values that a branch itself sets, ordered by name.
type Branch struct {
	// Path is empty for the root.
	Path   string  `json:"path"`
	Values []Value `json:"values,omitempty"`
}

// Get returns the text of a value; ok is false if the branch does not set it
// itself.
func (b *Branch) Get(name string) (text string, ok bool) {
	i := sort.Search(len(b.Values), func(i int) bool { return b.Values[i].Name >= name })
	if i < len(b.Values) && b.Values[i].Name == name {
		return b.Values[i].Text, true
	}
	return "", false
}

// Tree is a set of branches ordered by path that contains the parent of each
// branch. It must not be changed after New.
type Tree struct {
	Branches  []Branch            `json:"branches"`
	Operators []cairnbay.Operator `json:"operators,omitempty"`
	// Drains are set by the drain command, never by declaration files.
	Drains []cairnbay.Drain `json:"drains,omitempty"`

	// resolved maps each path to the branch with inheritance applied.
	resolved map[string]*cairnbay.Branch
}

// New builds and validates a tree. Missing parents are added without values.
// Errors: Faults, which lists every fault.
func New(branches []Branch, operators []cairnbay.Operator) (*Tree, error) {
	operators = append([]cairnbay.Operator(nil), operators...)
	sort.SliceStable(operators, func(i, j int) bool { return operators[i].Name < operators[j].Name })
	built := &Tree{Branches: withParents(branches), Operators: operators}
	resolved, faults := built.check()
	if len(faults) > 0 {
		return nil, faults
	}
	built.resolved = resolved
	return built, nil
}

// withParents returns the branches ordered by path, with missing ancestors added.
func withParents(branches []Branch) []Branch {
	seen := make(map[string]bool, len(branches)+1)
	for _, branch := range branches {
		seen[branch.Path] = true
	}
	all := append([]Branch(nil), branches...)
	for _, branch := range branches {
		for path := branch.Path; path != ""; {
			path = Parent(path)
			if seen[path] {
				break
			}
			seen[path] = true
			all = append(all, Branch{Path: path})
		}
	}
	if !seen[""] {
		all = append(all, Branch{})
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Path < all[j].Path })
	return all
}

// Parent returns the path of a branch's parent; the root is its own parent.
func Parent(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return ""
	}
	return path[:i]
}

// Within reports whether path is the branch or one of its descendants.
func Within(path, branch string) bool {
	return branch == "" || path == branch || strings.HasPrefix(path, branch+"/")
}

// Find returns the branch at a path, or nil if the tree has none there.
func (t *Tree) Find(path string) *Branch {
	i := sort.Search(len(t.Branches), func(i int) bool { return t.Branches[i].Path >= path })
	if i < len(t.Branches) && t.Branches[i].Path == path {
		return &t.Branches[i]
	}
	return nil
}

// Resolve returns the settings of the tree as the given version, with inheritance
// applied; it encodes the tree to compute the digest. Errors: ErrInvalid if the
// tree was not built by New; errors of Encode.
func (t *Tree) Resolve(version uint64) (*cairnbay.Settings, error) {
	content, err := t.Encode()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return t.ResolveVersion(VersionInfo{Version: version, Digest: Digest(content)})
}

// VersionInfo identifies a settings version. Digest is the hex SHA-256 of the
// encoded tree.
type VersionInfo struct {
	Version  uint64
	Digest   string
	ChangeID string
}

// ResolveVersion returns the settings of a version whose digest is already
// computed. Errors: ErrInvalid if the tree was not built by New.
func (t *Tree) ResolveVersion(info VersionInfo) (*cairnbay.Settings, error) {
	if t.resolved == nil {
		return nil, errors.Annotate(cairnbay.ErrInvalid, "tree was not built by New")
	}
	settings := &cairnbay.Settings{
		Version: info.Version, Digest: info.Digest, ChangeID: info.ChangeID,
		Branches:  t.resolved,
		Services:  make(map[string]*cairnbay.Branch),
		Teams:     make(map[string]*cairnbay.Branch),
		Operators: t.Operators,
		Drains:    t.Drains,
	}
	for i := range t.Branches {
		indexBranch(settings, &t.Branches[i], t.resolved[t.Branches[i].Path])
	}
	return settings, nil
}

// resolve applies a branch's values to a copy of its resolved parent; parent is
// nil for the root.
func resolve(declared *Branch, parent *cairnbay.Branch) (*cairnbay.Branch, Faults) {
	resolved := inherited(declared, parent)
	var faults Faults
	for _, value := range declared.Values {
		field, ok := fields[value.Name]
		if !ok {
			faults = append(faults, unknownSetting(declared.Path, value.Name))
			continue
		}
		if err := field.set(resolved, value.Text); err != nil {
			faults = append(faults, invalidValue(declared.Path, field, value.Text))
			continue
		}
		resolved.Origins[value.Name] = declared.Path
	}
	return resolved, faults
}

// inherited returns a copy of the resolved parent, or the defaults for the root.
// Branches that set no values share the parent's Origins.
func inherited(declared *Branch, parent *cairnbay.Branch) *cairnbay.Branch {
	if parent == nil {
		root := Defaults()
		root.Origins = make(map[string]string, len(declared.Values))
		return &root
	}
	resolved := *parent
	resolved.Path = declared.Path
	if len(declared.Values) == 0 {
		return &resolved
	}
	resolved.Origins = make(map[string]string, len(parent.Origins)+len(declared.Values))
	for name, origin := range parent.Origins {
		resolved.Origins[name] = origin
	}
	return &resolved
}

// indexBranch adds a branch under the service and the team that it declares.
func indexBranch(settings *cairnbay.Settings, declared *Branch, resolved *cairnbay.Branch) {
	if _, set := declared.Get(settingService); set {
		settings.Services[resolved.Service] = resolved
	}
	if _, set := declared.Get(settingTeam); set {
		settings.Teams[resolved.Team] = resolved
	}
}

// EffectiveValue is the value of a setting on a branch after inheritance, with its
// origin.
type EffectiveValue struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	// Origin is the path of the branch that sets the value. It is empty if the
	// root sets the value, and also if Default is true.
	Origin string `json:"origin"`
	// Default is true if neither the branch nor an ancestor sets the value.
	Default bool `json:"default,omitempty"`
}

// Explain lists every effective value of a branch, ordered by name. Errors:
// ErrNotFound.
func Explain(settings *cairnbay.Settings, path string) ([]EffectiveValue, error) {
	branch, ok := settings.Branches[path]
	if !ok {
		return nil, errors.Annotatef(cairnbay.ErrNotFound, "branch %q of settings version %d", path, settings.Version)
	}
	values := make([]EffectiveValue, 0, len(schema))
	for _, field := range schema {
		origin, set := branch.Origins[field.Name]
		values = append(values, EffectiveValue{
			Name: field.Name, Value: field.format(branch), Origin: origin, Default: !set,
		})
	}
	return values, nil
}

// Explain resolves the tree and lists every effective value of a branch, ordered
// by name. Errors: ErrNotFound; ErrInvalid if the tree was not built by New.
func (t *Tree) Explain(path string) ([]EffectiveValue, error) {
	settings, err := t.ResolveVersion(VersionInfo{})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return Explain(settings, path)
}
