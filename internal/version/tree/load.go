package tree

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"maps"
	"path"
	"runtime"
	"slices"
	"sort"
	"strings"

	"golang.org/x/sync/errgroup"
	"sigs.k8s.io/yaml"

	"cairnbay"
)

// FileName is the name of the file that declares its directory as a branch.
const FileName = "settings.yaml"

// Limits on one declaration file.
const (
	maxFileBytes = 1 << 20
	// maxExpansionRatio bounds the JSON form of a file, in which aliases are
	// expanded, in bytes per byte of YAML.
	maxExpansionRatio = 16
)

// operatorsKey is the key of the operators' grants in the root's file.
const operatorsKey = "operators"

// file is a declaration file with its parsed content and its faults.
type file struct {
	path      string
	content   []byte
	branch    Branch
	operators []cairnbay.Operator
	faults    Faults
}

// Load reads a folder of declarations: each directory with a settings.yaml is a
// branch. Other files and hidden directories are ignored. Errors: Faults, which
// lists every fault, including unreadable files and files over 1 MiB.
func Load(fsys fs.FS) (*Tree, error) {
	files, err := findFiles(fsys)
	if err != nil {
		return nil, asFaults("", err)
	}
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for _, source := range files {
		group.Go(func() error {
			source.read(fsys)
			return nil
		})
	}
	_ = group.Wait()
	return buildTree(files)
}

func findFiles(fsys fs.FS) ([]*file, error) {
	var files []*file
	err := fs.WalkDir(fsys, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && name != "." && strings.HasPrefix(entry.Name(), ".") {
			return fs.SkipDir
		}
		if !entry.IsDir() && entry.Name() == FileName {
			files = append(files, &file{path: name, branch: Branch{Path: branchPath(name)}})
		}
		return nil
	})
	return files, err
}

func branchPath(name string) string {
	dir := path.Dir(name)
	if dir == "." {
		return ""
	}
	return dir
}

func buildTree(files []*file) (*Tree, error) {
	var faults Faults
	var branches []Branch
	var operators []cairnbay.Operator
	for _, source := range files {
		faults = append(faults, source.faults...)
		branches = append(branches, source.branch)
		operators = append(operators, source.operators...)
	}
	built, err := New(branches, operators)
	if err == nil && len(faults) == 0 {
		return built, nil
	}
	if err != nil {
		faults = append(faults, locateFaults(files, asFaults("", err))...)
	}
	return nil, faults
}

// locateFaults adds the file and line to faults that the check of the whole tree
// found.
func locateFaults(files []*file, faults Faults) Faults {
	byPath := make(map[string]*file, len(files))
	for _, source := range files {
		byPath[source.branch.Path] = source
	}
	for i := range faults {
		if source, ok := byPath[faults[i].Path]; ok {
			faults[i].File = source.path
			faults[i].Line = lineOf(source.content, faults[i].Name)
		}
	}
	return faults
}

func (f *file) read(fsys fs.FS) {
	content, err := fs.ReadFile(fsys, f.path)
	if err != nil {
		f.addProblem("", err.Error())
		return
	}
	f.content = content
	f.parse()
}

func (f *file) parse() {
	if len(f.content) > maxFileBytes {
		f.addProblem("", fmt.Sprintf("file has %d bytes, the limit is %d", len(f.content), maxFileBytes))
		return
	}
	converted, err := yaml.YAMLToJSONStrict(f.content)
	if err != nil {
		f.addProblem("", err.Error())
		return
	}
	if len(converted) > maxExpansionRatio*len(f.content)+maxExpansionRatio {
		f.addProblem("", "file is too large with its aliases expanded")
		return
	}
	f.readGroup("", converted)
	sort.Slice(f.branch.Values, func(i, j int) bool { return f.branch.Values[i].Name < f.branch.Values[j].Name })
}

// readGroup reads a JSON object whose keys are settings or groups of settings;
// group is the dotted prefix of their names.
func (f *file) readGroup(group string, object []byte) {
	var entries map[string]json.RawMessage
	if err := json.Unmarshal(object, &entries); err != nil {
		f.addProblem(strings.TrimSuffix(group, "."), fmt.Sprintf("%s is not a map of settings", truncate(object)))
		return
	}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		name, raw := group+key, entries[key]
		switch {
		case name == operatorsKey:
			f.readOperators(raw)
		case isGroup(name):
			f.readGroup(name+".", raw)
		default:
			f.readValue(name, raw)
		}
	}
}

// isGroup reports whether the name is a prefix of dotted setting names.
func isGroup(name string) bool {
	return groups[name]
}

var groups = func() map[string]bool {
	prefixes := make(map[string]bool)
	for _, field := range schema {
		for name := field.Name; strings.Contains(name, "."); {
			name = name[:strings.LastIndexByte(name, '.')]
			prefixes[name] = true
		}
	}
	return prefixes
}()

// readValue validates a value and adds it to the branch in canonical form.
func (f *file) readValue(name string, raw json.RawMessage) {
	field, ok := fields[name]
	if !ok {
		f.addFault(unknownSetting(f.branch.Path, name))
		return
	}
	text, ok := scalar(raw)
	if !ok {
		f.addFault(invalidValue(f.branch.Path, field, truncate(raw)))
		return
	}
	var scratch cairnbay.Branch
	if err := field.set(&scratch, text); err != nil {
		f.addFault(invalidValue(f.branch.Path, field, text))
		return
	}
	f.branch.Values = append(f.branch.Values, Value{Name: name, Text: field.format(&scratch)})
}

// scalar returns the text of a JSON string, number or boolean, and false for any
// other JSON value.
func scalar(raw json.RawMessage) (string, bool) {
	switch raw[0] {
	case '"':
		var text string
		err := json.Unmarshal(raw, &text)
		return text, err == nil
	case '{', '[', 'n':
		return "", false
	default:
		return string(raw), true
	}
}

func (f *file) readOperators(raw json.RawMessage) {
	if f.branch.Path != "" {
		f.addProblem(operatorsKey, "operators may be declared at the root only")
		return
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f.operators); err != nil {
		f.addProblem(operatorsKey, "operators: "+err.Error())
	}
}

func (f *file) addProblem(name, problem string) {
	f.addFault(Fault{Path: f.branch.Path, Name: name, Problem: problem})
}

func (f *file) addFault(fault Fault) {
	fault.File = f.path
	fault.Line = lineOf(f.content, fault.Name)
	f.faults = append(f.faults, fault)
}

// lineOf estimates the line, counted from 1, that declares a dotted name in YAML
// block style. It searches for each part of the name in turn and ignores
// indentation; it returns 0 if a part is missing.
func lineOf(content []byte, name string) int {
	if name == "" {
		return 0
	}
	remaining := strings.Split(name, ".")
	for i, line := range strings.Split(string(content), "\n") {
		key, _, found := strings.Cut(strings.TrimSpace(line), ":")
		if !found || strings.Trim(key, `"'`) != remaining[0] {
			continue
		}
		if remaining = remaining[1:]; len(remaining) == 0 {
			return i + 1
		}
	}
	return 0
}

// maxShownBytes bounds the part of an invalid value that a fault shows.
const maxShownBytes = 60

func truncate(raw []byte) string {
	if len(raw) > maxShownBytes {
		return string(raw[:maxShownBytes]) + "..."
	}
	return string(raw)
}
