package tree

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"cairnbay"
)

// itemKey identifies an item, the unit in which trees are compared and merged.
// path is that of a branch; name is a setting of the branch, or empty for the
// branch itself. At the root, name may also be operators.NAME for an operator's
// grants or drains.KIND/ID for a drain.
type itemKey struct{ path, name string }

// declaredText is the text of an item without a value: a branch or a drain. It
// appears in differences and in the edits sent to other members.
const declaredText = "declared"

// items returns the text of every item of the tree.
func (t *Tree) items() map[itemKey]string {
	items := make(map[itemKey]string)
	for _, branch := range t.Branches {
		items[itemKey{path: branch.Path}] = declaredText
		for _, value := range branch.Values {
			items[itemKey{branch.Path, value.Name}] = value.Text
		}
	}
	for _, operator := range t.Operators {
		encoded, _ := json.Marshal(operator)
		items[itemKey{"", operatorPrefix + operator.Name}] = string(encoded)
	}
	for _, drain := range t.Drains {
		items[itemKey{"", drainName(drain)}] = declaredText
	}
	return items
}

const operatorPrefix = operatorsKey + "."

// fromItems builds a tree from its items. Errors: Faults; ErrInvalid for a drain
// with an unknown kind or no ID.
func fromItems(items map[itemKey]string) (*Tree, error) {
	byPath := make(map[string]*Branch)
	var operators []cairnbay.Operator
	var drains []cairnbay.Drain
	for key, text := range items {
		if strings.HasPrefix(key.name, operatorPrefix) {
			var operator cairnbay.Operator
			if err := json.Unmarshal([]byte(text), &operator); err != nil {
				return nil, asFaults("", err)
			}
			operators = append(operators, operator)
			continue
		}
		if drain, ok := parseDrainName(key.name); ok {
			drains = append(drains, drain)
			continue
		}
		branch, ok := byPath[key.path]
		if !ok {
			branch = &Branch{Path: key.path}
			byPath[key.path] = branch
		}
		if key.name != "" {
			branch.Values = append(branch.Values, Value{key.name, text})
		}
	}
	branches := make([]Branch, 0, len(byPath))
	for _, branch := range byPath {
		sort.Slice(branch.Values, func(i, j int) bool { return branch.Values[i].Name < branch.Values[j].Name })
		branches = append(branches, *branch)
	}
	sort.Slice(operators, func(i, j int) bool { return operators[i].Name < operators[j].Name })
	built, err := New(branches, operators)
	if err != nil {
		return nil, err
	}
	return built.WithDrains(drains)
}

// Change is an item that differs between two trees: a branch, a setting, an
// operator's grants or a drain. Old is empty if the old tree does not contain the
// item, New is empty if the new tree does not.
type Change struct {
	Path string `json:"path"`
	// Name is empty if the branch itself is added or removed.
	Name string `json:"name,omitempty"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns one line that starts with + (added), - (removed) or ~ (changed).
func (c Change) String() string {
	subject := fmt.Sprintf("branch %q", c.Path)
	if c.Name != "" {
		subject += " " + c.Name
	}
	switch {
	case c.Name == "" && c.Old == "":
		return "+ " + subject
	case c.Name == "":
		return "- " + subject
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", subject, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", subject, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", subject, c.Old, c.New)
	}
}

// Diff lists the changes from old to new, ordered by path and name. Old and New
// do not contain token hashes.
func Diff(old, new *Tree) []Change {
	before, after := old.items(), new.items()
	var changes []Change
	for _, key := range sortedKeys(before, after) {
		if before[key] == after[key] {
			continue
		}
		changes = append(changes, Change{
			Path: key.path, Name: key.name, Old: redact(key, before[key]), New: redact(key, after[key]),
		})
	}
	return changes
}

// sortedKeys returns the distinct keys of all sets, ordered by path and name.
func sortedKeys(itemSets ...map[itemKey]string) []itemKey {
	seen := make(map[itemKey]bool)
	var keys []itemKey
	for _, items := range itemSets {
		for key := range items {
			if !seen[key] {
				seen[key] = true
				keys = append(keys, key)
			}
		}
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].path != keys[j].path {
			return keys[i].path < keys[j].path
		}
		return keys[i].name < keys[j].name
	})
	return keys
}

// redact returns the text of an item without the token hash.
func redact(key itemKey, text string) string {
	if text == "" || !strings.HasPrefix(key.name, operatorPrefix) {
		return text
	}
	var operator cairnbay.Operator
	if err := json.Unmarshal([]byte(text), &operator); err != nil {
		return "(unreadable)"
	}
	token := "no token"
	if operator.TokenHash != "" {
		token = "token set"
	}
	return fmt.Sprintf("%s, cert %q, read %q, change %q, drain %q",
		token, operator.CertName, operator.Read, operator.Change, operator.Drain)
}

// Conflict is an item that both sides of a merge changed differently, or a setting
// that one side added to a branch that the other side removed. Base, Mine and
// Theirs are its texts in the three trees, without token hashes, and empty if the
// tree does not contain it.
type Conflict struct {
	Path   string `json:"path"`
	Name   string `json:"name,omitempty"`
	Base   string `json:"base,omitempty"`
	Mine   string `json:"mine,omitempty"`
	Theirs string `json:"theirs,omitempty"`
}

// String returns one line with the base value and both changes.
func (c Conflict) String() string {
	return fmt.Sprintf("branch %q %s: was %q, yours is %q, theirs is %q", c.Path, c.Name, c.Base, c.Mine, c.Theirs)
}

// Conflicts lists every conflict of a merge; errors.Is matches it to
// cairnbay.ErrConflict.
type Conflicts []Conflict

// Error returns one line per conflict.
func (c Conflicts) Error() string {
	lines := make([]string, 0, len(c))
	for _, conflict := range c {
		lines = append(lines, conflict.String())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is cairnbay.ErrConflict.
func (c Conflicts) Is(target error) bool {
	return target == cairnbay.ErrConflict
}

// Merge applies the changes from base, the common ancestor, to mine on top of
// theirs. Errors: Conflicts; Faults if the merged tree is not valid; ErrInvalid
// for a drain with an unknown kind or no ID.
func Merge(base, mine, theirs *Tree) (*Tree, error) {
	baseItems, mineItems, theirItems := base.items(), mine.items(), theirs.items()
	merged := make(map[itemKey]string, len(theirItems))
	var conflicts Conflicts
	for _, key := range sortedKeys(baseItems, mineItems, theirItems) {
		text, ok := mergeText(baseItems[key], mineItems[key], theirItems[key])
		if !ok {
			conflicts = append(conflicts, Conflict{
				key.path, key.name, redact(key, baseItems[key]), redact(key, mineItems[key]), redact(key, theirItems[key]),
			})
		}
		if text != "" {
			merged[key] = text
		}
	}
	conflicts = append(conflicts, orphanedSettings(merged, baseItems, mineItems, theirItems)...)
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	return fromItems(merged)
}

// mergeText returns the merged text of an item; an empty text means that the tree
// does not contain the item. ok is false on a conflict.
func mergeText(base, mine, theirs string) (text string, ok bool) {
	switch {
	case mine == base, mine == theirs:
		return theirs, true
	case theirs == base:
		return mine, true
	default:
		return "", false
	}
}

// orphanedSettings returns a conflict for each merged setting whose branch is not
// among the merged items: one side removed the branch while the other added the
// setting. A setting that the other side changed is a conflict in mergeText.
func orphanedSettings(merged, base, mine, theirs map[itemKey]string) Conflicts {
	var conflicts Conflicts
	for _, key := range sortedKeys(merged) {
		if key.name == "" || isRootList(key.name) || merged[itemKey{path: key.path}] != "" {
			continue
		}
		conflicts = append(conflicts, Conflict{key.path, key.name, base[key], mine[key], theirs[key]})
	}
	return conflicts
}

// Effect lists the branches whose effective values differ between two settings,
// with their services and teams. Operators and drains are not compared.
type Effect struct {
	Branches []string `json:"branches,omitempty"`
	Services []string `json:"services,omitempty"`
	Teams    []string `json:"teams,omitempty"`
}

// EffectOf returns the branches, services and teams whose effective values differ,
// each sorted without duplicates. Added and removed branches are included.
func EffectOf(old, new *cairnbay.Settings) Effect {
	var effect Effect
	for path, branch := range new.Branches {
		if before, ok := old.Branches[path]; !ok || !sameValues(before, branch) {
			effect.add(branch)
		}
	}
	for path, branch := range old.Branches {
		if _, ok := new.Branches[path]; !ok {
			effect.add(branch)
		}
	}
	effect.Branches, effect.Services, effect.Teams = unique(effect.Branches), unique(effect.Services), unique(effect.Teams)
	return effect
}

// add adds a branch with its service and team.
func (e *Effect) add(branch *cairnbay.Branch) {
	e.Branches = append(e.Branches, branch.Path)
	if branch.Service != "" {
		e.Services = append(e.Services, branch.Service)
	}
	if branch.Team != "" {
		e.Teams = append(e.Teams, branch.Team)
	}
}

func sameValues(a, b *cairnbay.Branch) bool {
	return a.Kind == b.Kind && a.Team == b.Team && a.Service == b.Service &&
		a.Request == b.Request && a.Placing == b.Placing
}

// unique sorts names in place and removes duplicates.
func unique(names []string) []string {
	sort.Strings(names)
	distinct := names[:0]
	for i, name := range names {
		if i == 0 || names[i-1] != name {
			distinct = append(distinct, name)
		}
	}
	return distinct
}
