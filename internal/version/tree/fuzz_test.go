package tree_test

import (
	"testing"

	"cairnbay/internal/version/tree"
)

// FuzzLoad loads arbitrary declarations and checks that accepted declarations
// encode and decode without changes.
func FuzzLoad(f *testing.F) {
	f.Add([]byte("request: {timeout: 5s}\n"), []byte("service: quoting\nkind: service\n"))
	f.Add([]byte("operators:\n- name: a\n  cert_name: b\n"), []byte("placing: {quota: {milli_cpu: 1e3}}"))
	f.Add([]byte("a: &x [1,2]\nb: *x\n"), []byte("request: {retry_budget: .nan}"))
	f.Fuzz(func(t *testing.T, root, branch []byte) {
		loaded, err := tree.Load(files("", string(root), "a", string(branch)))
		if err != nil {
			return
		}
		content, err := loaded.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := tree.Decode(content)
		if err != nil {
			t.Fatalf("accepted declarations do not decode: %v", err)
		}
		if changes := tree.Diff(loaded, decoded); len(changes) > 0 {
			t.Fatalf("encoding changed %v", changes)
		}
	})
}

// FuzzDecode decodes arbitrary input as content and as edits, and checks that an
// accepted input resolves.
func FuzzDecode(f *testing.F) {
	small, err := tree.New([]tree.Branch{{Path: "a/b", Values: []tree.Value{{Name: "team", Text: "t"}}}}, nil)
	if err != nil {
		f.Fatal(err)
	}
	content, err := small.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte(`[{"path":"a","name":"team","text":"u"},{"path":"a/b"}]`))
	f.Fuzz(func(t *testing.T, input []byte) {
		if decoded, err := tree.Decode(input); err == nil {
			if _, err := decoded.Resolve(1); err != nil {
				t.Fatalf("accepted content does not resolve: %v", err)
			}
		}
		edits, err := tree.DecodeEdits(input)
		if err != nil {
			return
		}
		if edited, err := small.WithEdits(edits); err == nil {
			if _, err := edited.Resolve(1); err != nil {
				t.Fatalf("accepted edits do not resolve: %v", err)
			}
		}
	})
}
