package parser

import (
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Source is the text of one file of configuration objects.
type Source struct {
	File string `json:"file"`
	Text string `json:"text"`
}

// Parsed is what a group of files holds.
type Parsed struct {
	Objects  []Object
	Problems []Problem
	fields   map[Key]*Fields
}

// Fields returns where the fields of an object stand, or nil for an object that
// the files do not hold.
func (p *Parsed) Fields(k Key) *Fields { return p.fields[k] }

// Parse reads all objects of all sources and collects every problem.
func Parse(sources []Source) *Parsed {
	out := &Parsed{fields: map[Key]*Fields{}}
	for _, src := range sources {
		docs, problems := documents(src.File, []byte(src.Text))
		out.Problems = append(out.Problems, problems...)
		for _, doc := range docs {
			out.add(src.File, doc)
		}
	}
	return out
}

func (p *Parsed) add(file string, doc ast.Node) {
	d := newDecoder(file)
	obj := d.object(doc)
	p.Problems = append(p.Problems, d.problems...)
	if obj == nil {
		return
	}
	if first, twice := p.fields[obj.Key()]; twice {
		at := first.Position("")
		wrong := fmt.Sprintf("%s is declared twice, first at %s:%d", obj.Key(), at.File, at.Line)
		p.Problems = append(p.Problems, Problem{Position: d.Position("name"), Field: "name", Wrong: wrong, Want: "another name"})
		return
	}
	p.fields[obj.Key()] = &d.Fields
	p.Objects = append(p.Objects, obj)
}

// object decodes a document by the kind that it names.
func (d *decoder) object(doc ast.Node) Object {
	for _, pair := range d.pairs(doc, "") {
		if pair.Key.String() != "kind" {
			continue
		}
		text, _ := scalarText(pair.Value)
		obj := New(Kind(text))
		if obj == nil {
			d.fail(pair.Value, "kind", quoted(pair.Value)+" is not a kind", "one of "+fmt.Sprint(Kind("").Values()))
			return nil
		}
		d.decode(doc, reflect.ValueOf(obj).Elem(), "")
		if obj.Key().Name == "" {
			d.fail(doc, "name", "missing", "a name")
			return nil
		}
		return obj
	}
	if len(d.problems) == 0 {
		d.fail(doc, "kind", "missing", "one of "+fmt.Sprint(Kind("").Values()))
	}
	return nil
}

// Format writes an object as a YAML document that Parse reads back.
func Format(obj Object) ([]byte, error) {
	return yaml.MarshalWithOptions(obj, yaml.Indent(2))
}
