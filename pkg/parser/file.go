package parser

import (
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Source is a file of configuration objects and its text.
type Source struct {
	File string `json:"file"`
	Text string `json:"text"`
}

// Parsed holds the objects of a group of files and all problems found in them.
type Parsed struct {
	Objects  []Object
	Problems []Problem
	fields   map[Key]*Fields
}

// Fields returns the field positions of an object, or nil if the files do not hold the object.
func (p *Parsed) Fields(k Key) *Fields { return p.fields[k] }

// Parse decodes the objects of all sources and collects every problem. Objects that could be
// decoded at least in part are returned too.
func Parse(sources []Source) *Parsed {
	out := &Parsed{fields: map[Key]*Fields{}}
	for _, src := range sources {
		docs, problems := splitDocuments(src.File, []byte(src.Text))
		out.Problems = append(out.Problems, problems...)
		for _, doc := range docs {
			out.addDocument(src.File, doc)
		}
	}
	return out
}

// addDocument decodes a document and adds its object, unless one with the same key has already been
// added.
func (p *Parsed) addDocument(file string, doc ast.Node) {
	d := newDecoder(file)
	obj := d.decodeObject(doc)
	p.Problems = append(p.Problems, d.problems...)
	if obj == nil {
		return
	}
	if first, duplicate := p.fields[obj.Key()]; duplicate {
		firstPos := first.Position("")
		wrong := fmt.Sprintf("%s is declared twice, first at %s:%d", obj.Key(), firstPos.File, firstPos.Line)
		p.Problems = append(p.Problems, Problem{Position: d.Position("name"), Field: "name", Wrong: wrong, Want: "another name"})
		return
	}
	p.fields[obj.Key()] = &d.Fields
	p.Objects = append(p.Objects, obj)
}

// decodeObject decodes a document into an object of the kind that the document names. It returns
// nil if there is no valid kind or no name.
func (d *decoder) decodeObject(doc ast.Node) Object {
	for _, pair := range d.mappingPairs(doc, "") {
		if pair.Key.String() != "kind" {
			continue
		}
		text, _ := scalarText(pair.Value)
		obj := New(Kind(text))
		if obj == nil {
			d.addProblem(pair.Value, "kind", quoteScalar(pair.Value)+" is not a kind", "one of "+fmt.Sprint(Kind("").Values()))
			return nil
		}
		d.decode(doc, reflect.ValueOf(obj).Elem(), "")
		if obj.Key().Name == "" {
			d.addProblem(doc, "name", "missing", "a name")
			return nil
		}
		return obj
	}
	if len(d.problems) == 0 {
		d.addProblem(doc, "kind", "missing", "one of "+fmt.Sprint(Kind("").Values()))
	}
	return nil
}

// Format encodes an object as a YAML document that Parse accepts.
func Format(obj Object) ([]byte, error) {
	return yaml.MarshalWithOptions(obj, yaml.Indent(2))
}
