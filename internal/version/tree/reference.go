package tree

import (
	"bytes"
	"fmt"
)

// Reference returns the Markdown page that documents every setting.
func Reference() []byte {
	var page bytes.Buffer
	page.WriteString(referenceHead)
	root := Defaults()
	for _, field := range schema {
		defaultText := field.format(&root)
		if defaultText == "" {
			defaultText = "(none)"
		}
		doc := field.Doc
		if field.BoundedByParent {
			doc += " A branch may not exceed the branch above."
		}
		fmt.Fprintf(&page, "| `%s` | %s | `%s` | %s |\n", field.Name, field.Accepts, defaultText, doc)
	}
	page.WriteString(referenceTail)
	return page.Bytes()
}

const referenceHead = `# Settings

Each directory with a ` + "`" + FileName + "`" + ` is a branch; its path is the directory's.
A branch inherits every value that it does not set, one by one. Maps merge key
by key: a branch that sets one dimension of a quota inherits the others. Dotted
names are written nested or with the last parts in braces:

    service: quoting
    kind: service
    request: {timeout: 5s}
    placing:
      quota: {milli_cpu: 64000}

This page is generated from the schema in ` + "`internal/version/tree`" + `; a test
compares the two.

| setting | accepted | default | meaning |
| --- | --- | --- | --- |
`

const referenceTail = `
## Operators

The root's file may list ` + "`operators`" + `. Each has ` + "`name`" + `, and ` + "`token_hash`" + ` (SHA-256
of a bearer token in lower-case hex) or ` + "`cert_name`" + ` (common name of a client
certificate) or both. ` + "`read`, `change` and `drain`" + ` list branches; a grant covers
the branch and all below it, and ` + "`\"\"`" + ` covers the tree. ` + "`change`" + ` includes
` + "`read`" + `. Lists are not merged: a list replaces the former one whole.
`
