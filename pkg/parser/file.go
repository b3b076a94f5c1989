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
	Objects   []Object
	positions map[string]Position
	Problems  []Problem
}

// Position returns where a field of an object stands, or where the object does.
func (p *Parsed) Position(k Key, field string) Position {
	if pos, ok := p.positions[k.String()+"#"+field]; ok {
		return pos
	}
	return p.positions[k.String()+"#"]
}

// Parse reads all objects of all sources and collects every problem.
func Parse(sources []Source) *Parsed {
	out := &Parsed{positions: map[string]Position{}}
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
	d := &decoder{file: file, positions: map[string]Position{}}
	obj := d.object(doc)
	p.Problems = append(p.Problems, d.problems...)
	if obj == nil {
		return
	}
	id := obj.Key().String()
	if first, twice := p.positions[id+"#"]; twice {
		wrong := fmt.Sprintf("%s is declared twice, first at %s:%d", id, first.File, first.Line)
		p.Problems = append(p.Problems, Problem{Position: d.positions["name"], Field: "name", Wrong: wrong, Want: "another name"})
		return
	}
	for field, pos := range d.positions {
		p.positions[id+"#"+field] = pos
	}
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
