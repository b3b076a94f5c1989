// Package parser reads YAML strictly and reports every problem of a file with
// its line and column, instead of stopping at the first.
package parser

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
)

// MaxFileBytes is the largest file that is read.
const MaxFileBytes = 4 << 20

// Position is a place in a file; lines and columns count from one.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// Problem is one fault of a file: where, what is wrong and what would be right.
type Problem struct {
	Position
	Field string `json:"field,omitempty"`
	Wrong string `json:"wrong"`
	Want  string `json:"want,omitempty"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	b.WriteString(p.Wrong)
	if p.Want != "" {
		fmt.Fprintf(&b, "; expected %s", p.Want)
	}
	return b.String()
}

// Sort orders problems by where they stand; those without a place come last.
func Sort(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(placed(a), placed(b)), cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

func placed(p Problem) int {
	if p.Line > 0 {
		return 0
	}
	return 1
}

// InvalidError reports the problems that make an input unusable.
type InvalidError struct{ Problems []Problem }

// Error returns all problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Decode fills out, a pointer to a struct, from a file of one document, and
// returns where its fields stand and every problem.
func Decode(file string, data []byte, out any) (*Fields, []Problem) {
	d := newDecoder(file)
	docs, problems := documents(file, data)
	switch {
	case len(problems) > 0:
		d.problems = problems
		d.faulty[""] = true
	case len(docs) != 1:
		d.fail(nil, "", fmt.Sprintf("%d documents", len(docs)), "one document")
	default:
		d.decode(docs[0], reflect.ValueOf(out).Elem(), "")
	}
	return &d.Fields, d.problems
}

// documents splits a file into the trees of its non-empty documents.
func documents(file string, data []byte) (docs []ast.Node, problems []Problem) {
	defer func() {
		if r := recover(); r != nil {
			problems = []Problem{{Position: Position{file, 1, 1}, Wrong: "not readable as YAML"}}
		}
	}()
	if len(data) > MaxFileBytes {
		wrong := fmt.Sprintf("%d bytes", len(data))
		return nil, []Problem{{Position: Position{file, 1, 1}, Wrong: wrong, Want: fmt.Sprintf("at most %d", MaxFileBytes)}}
	}
	tree, err := yamlparser.ParseBytes(data, 0, yamlparser.AllowDuplicateMapKey())
	if err != nil {
		return nil, []Problem{syntaxProblem(file, err)}
	}
	for _, doc := range tree.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			docs = append(docs, doc.Body)
		}
	}
	return docs, nil
}

func syntaxProblem(file string, err error) Problem {
	p := Problem{Position: Position{file, 1, 1}, Wrong: "not readable as YAML"}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		p.Wrong = syntax.GetMessage()
		if tk := syntax.GetToken(); tk != nil {
			p.Line, p.Column = tk.Position.Line, tk.Position.Column
		}
	}
	return p
}
