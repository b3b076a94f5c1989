// Package parser decodes YAML strictly and defines the configuration objects. It reports every
// problem of a file with its line and column instead of stopping at the first.
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

// MaxFileBytes is the size limit of a file.
const MaxFileBytes = 4 << 20

// Position is a location in a file; lines and columns count from one.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// Problem is a mistake in an input: where it is, what is wrong and what is expected instead.
type Problem struct {
	Position
	Field string `json:"field,omitempty"`
	Wrong string `json:"wrong"`
	Want  string `json:"want,omitempty"`
}

// String formats the problem as one line.
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

// Sort sorts problems by file, line and column; those without a position come last.
func Sort(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(positionRank(a), positionRank(b)), cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

func positionRank(p Problem) int {
	if p.Line > 0 {
		return 0
	}
	return 1
}

// InvalidError is the error of an input that has problems.
type InvalidError struct{ Problems []Problem }

// Error returns all problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Decode decodes a file of exactly one document into out, a pointer to a struct. It returns the
// positions of the fields and every problem.
func Decode(file string, data []byte, out any) (*Fields, []Problem) {
	d := newDecoder(file)
	docs, problems := splitDocuments(file, data)
	switch {
	case len(problems) > 0:
		d.problems = problems
		d.faulty[""] = true
	case len(docs) != 1:
		d.addProblem(nil, "", fmt.Sprintf("%d documents", len(docs)), "one document")
	default:
		d.decode(docs[0], reflect.ValueOf(out).Elem(), "")
	}
	return &d.Fields, d.problems
}

// splitDocuments parses a file into the syntax trees of its non-empty documents. A panic of the
// YAML library is reported as a problem of the file.
func splitDocuments(file string, data []byte) (docs []ast.Node, problems []Problem) {
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
		return nil, []Problem{newSyntaxProblem(file, err)}
	}
	for _, doc := range tree.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			docs = append(docs, doc.Body)
		}
	}
	return docs, nil
}

func newSyntaxProblem(file string, err error) Problem {
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
