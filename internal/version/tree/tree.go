// Package tree holds one version of the operators' declarations: a tree of
// branches that each set some values and inherit the rest.
//
// Values are inherited one by one; maps (a quota) merge key by key, so a branch
// that sets one dimension inherits the others. Lists are not inherited: the
// operators' grants stand at the root only and each list replaces the former
// one whole.
package tree

import (
	"sort"
	"strings"

	"github.com/juju/errors"

	"cairnbay"
)

// Value is one setting as a branch declares it. Text is in canonical form.
type Value struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Branch is one branch with the values that it sets itself, ordered by name.
type Branch struct {
	// Path is empty for the root.
	Path   string  `json:"path"`
	Values []Value `json:"values,omitempty"`
}

// Get returns the text of a value that the branch sets itself.
func (b *Branch) Get(name string) (text string, ok bool) {
	i := sort.Search(len(b.Values), func(i int) bool { return b.Values[i].Name >= name })
	if i < len(b.Values) && b.Values[i].Name == name {
		return b.Values[i].Text, true
	}
	return "", false
}

// Tree is a set of branches ordered by path; each branch's parent is in it. It
// must not be changed after New.
type Tree struct {
	Branches  []Branch            `json:"branches"`
	Operators []cairnbay.Operator `json:"operators,omitempty"`
	// Drains are set by the drain command, never by declarations.
	Drains []cairnbay.Drain `json:"drains,omitempty"`

	// resolved holds the branches with inheritance applied.
	resolved map[string]*cairnbay.Branch
}

// New returns a valid tree of the branches, or every fault at once. Missing
// parents are added without values. Errors: Faults.
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

// withParents orders the branches and adds the ancestors that are missing.
func withParents(branches []Branch) []Branch {
	known := make(map[string]bool, len(branches)+1)
	for _, branch := range branches {
		known[branch.Path] = true
	}
	all := append([]Branch(nil), branches...)
	for _, branch := range branches {
		for path := branch.Path; path != ""; {
			path = Parent(path)
			if known[path] {
				break
			}
			known[path] = true
			all = append(all, Branch{Path: path})
		}
	}
	if !known[""] {
		all = append(all, Branch{})
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Path < all[j].Path })
	return all
}

// Parent returns the path of the branch above; the root's is the root.
func Parent(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return ""
	}
	return path[:i]
}

// Within says whether path is the branch or below it.
func Within(path, branch string) bool {
	return branch == "" || path == branch || strings.HasPrefix(path, branch+"/")
}

// Find returns the branch of a path, nil where there is none.
func (t *Tree) Find(path string) *Branch {
	i := sort.Search(len(t.Branches), func(i int) bool { return t.Branches[i].Path >= path })
	if i < len(t.Branches) && t.Branches[i].Path == path {
		return &t.Branches[i]
	}
	return nil
}

// Resolve returns the settings with inheritance applied.
func (t *Tree) Resolve(version uint64) (*cairnbay.Settings, error) {
	content, err := t.Encode()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return t.ResolveVersion(VersionInfo{Version: version, Digest: Digest(content)})
}

// VersionInfo names a version.
type VersionInfo struct {
	Version  uint64
	Digest   string
	ChangeID string
}

// ResolveVersion returns the settings of a version whose content is known.
func (t *Tree) ResolveVersion(label VersionInfo) (*cairnbay.Settings, error) {
	if t.resolved == nil {
		return nil, errors.Annotate(cairnbay.ErrInvalid, "tree was not made by New")
	}
	settings := &cairnbay.Settings{
		Version: label.Version, Digest: label.Digest, ChangeID: label.ChangeID,
		Branches:  t.resolved,
		Services:  make(map[string]*cairnbay.Branch),
		Teams:     make(map[string]*cairnbay.Branch),
		Operators: t.Operators,
		Drains:    t.Drains,
	}
	for i := range t.Branches {
		index(settings, &t.Branches[i], t.resolved[t.Branches[i].Path])
	}
	return settings, nil
}

// resolve applies a branch's values to a copy of its parent's; parent is nil
// for the root.
func resolve(declared *Branch, parent *cairnbay.Branch) (*cairnbay.Branch, Faults) {
	resolved := inherited(declared, parent)
	var faults Faults
	for _, value := range declared.Values {
		field, ok := fields[value.Name]
		if !ok {
			faults = append(faults, unknownName(declared.Path, value.Name))
			continue
		}
		if err := field.set(resolved, value.Text); err != nil {
			faults = append(faults, badValue(declared.Path, field, value.Text))
			continue
		}
		resolved.Origins[value.Name] = declared.Path
	}
	return resolved, faults
}

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

func index(settings *cairnbay.Settings, declared *Branch, resolved *cairnbay.Branch) {
	if _, own := declared.Get(fieldService); own {
		settings.Services[resolved.Service] = resolved
	}
	if _, own := declared.Get(fieldTeam); own {
		settings.Teams[resolved.Team] = resolved
	}
}

// EffectiveValue is one value in force on a branch, with where it comes from.
type EffectiveValue struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	// Origin is the path of the branch that set it; it is meaningless where
	// Default is set.
	Origin  string `json:"origin"`
	Default bool   `json:"default,omitempty"`
}

// Explain lists every value in force on a branch, by name. Errors:
// ErrNotFound.
func Explain(settings *cairnbay.Settings, path string) ([]EffectiveValue, error) {
	branch, ok := settings.Branches[path]
	if !ok {
		return nil, errors.Annotatef(cairnbay.ErrNotFound, "branch %q of settings version %d", path, settings.Version)
	}
	list := make([]EffectiveValue, 0, len(schema))
	for _, field := range schema {
		origin, set := branch.Origins[field.Name]
		list = append(list, EffectiveValue{
			Name: field.Name, Value: field.show(branch), Origin: origin, Default: !set,
		})
	}
	return list, nil
}

// Explain resolves the tree and explains a branch. Errors: ErrNotFound.
func (t *Tree) Explain(path string) ([]EffectiveValue, error) {
	settings, err := t.ResolveVersion(VersionInfo{})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return Explain(settings, path)
}
