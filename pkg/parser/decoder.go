package parser

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Scalar is a value that reads itself from text and can say what it expects.
type Scalar interface {
	ParseScalar(text string) error
	Expected() string
}

// Enumeration is a string type with a closed list of values.
type Enumeration interface {
	Values() []string
}

// Fields says where the fields of a decoded value stand, by dotted path, and
// which of them could not be read.
type Fields struct {
	file      string
	positions map[string]Position
	faulty    map[string]bool
}

// Position returns where a field stands, or else the nearest one around it.
func (f *Fields) Position(path string) Position {
	for {
		if pos, ok := f.positions[path]; ok {
			return pos
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			break
		}
		path = path[:i]
	}
	if pos, ok := f.positions[""]; ok {
		return pos
	}
	return Position{File: f.file, Line: 1, Column: 1}
}

// Faulty reports whether a field, or one inside it, could not be read. What a
// later check says about it would only repeat that.
func (f *Fields) Faulty(path string) bool {
	for p := range f.faulty {
		if p == path || strings.HasPrefix(p, path+".") || strings.HasPrefix(path, p+".") {
			return true
		}
	}
	return false
}

// decoder fills a Go value from a YAML tree and keeps every problem it meets.
type decoder struct {
	Fields
	problems []Problem
}

func newDecoder(file string) *decoder {
	return &decoder{Fields: Fields{file: file, positions: map[string]Position{}, faulty: map[string]bool{}}}
}

// decode fills v from node; path is the dotted path of the field so far.
func (d *decoder) decode(node ast.Node, v reflect.Value, path string) {
	d.positions[path] = d.position(node)
	if scalar, ok := v.Addr().Interface().(Scalar); ok {
		d.decodeScalar(node, scalar, path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decode(node, v.Elem(), path)
	case reflect.Struct:
		d.decodeStruct(node, v, path)
	case reflect.Slice:
		d.decodeSlice(node, v, path)
	case reflect.String:
		d.decodeString(node, v, path)
	case reflect.Bool:
		d.decodeBool(node, v, path)
	case reflect.Int, reflect.Int64:
		d.decodeInt(node, v, path)
	default:
		d.fail(node, path, "unsupported field", "")
	}
}

func (d *decoder) decodeScalar(node ast.Node, scalar Scalar, path string) {
	text, ok := scalarText(node)
	if ok && scalar.ParseScalar(text) == nil {
		return
	}
	d.fail(node, path, fmt.Sprintf("%s is not valid", quoted(node)), scalar.Expected())
}

func (d *decoder) decodeStruct(node ast.Node, v reflect.Value, path string) {
	fields := fieldsOf(v)
	seen := map[string]bool{}
	for _, pair := range d.pairs(node, path) {
		key := pair.Key.String()
		field, known := fields[key]
		switch {
		case !known:
			d.unknownKey(pair.Key, path, fields)
		case seen[key]:
			d.fail(pair.Key, join(path, key), fmt.Sprintf("key %q stands twice", key), "one value")
		default:
			seen[key] = true
			d.decode(pair.Value, field, join(path, key))
		}
	}
}

// unknownKey reports a key that no field has. The field that was probably meant
// counts as faulty.
func (d *decoder) unknownKey(key ast.MapKeyNode, path string, fields map[string]reflect.Value) {
	name := key.String()
	want := closest(name, fields)
	d.problems = append(d.problems, Problem{Position: d.position(key), Field: path, Wrong: fmt.Sprintf("unknown key %q", name)})
	last := &d.problems[len(d.problems)-1]
	if want == "" {
		last.Want = "one of " + strings.Join(sortedNames(fields), ", ")
		return
	}
	last.Want = want
	d.faulty[join(path, want)] = true
}

func (d *decoder) pairs(node ast.Node, path string) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	case *ast.NullNode:
		return nil
	default:
		d.fail(node, path, "not a mapping", "key: value lines")
		return nil
	}
}

func (d *decoder) decodeSlice(node ast.Node, v reflect.Value, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.fail(node, path, "not a list", "a list such as [a, b]")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values))
	for i, item := range list.Values {
		d.decode(item, out.Index(i), join(path, strconv.Itoa(i)))
	}
	v.Set(out)
}

func (d *decoder) decodeString(node ast.Node, v reflect.Value, path string) {
	text, ok := scalarText(node)
	if !ok {
		d.fail(node, path, "not a text", "a text")
		return
	}
	if enum, ok := v.Interface().(Enumeration); ok && !contains(enum.Values(), text) {
		d.fail(node, path, fmt.Sprintf("%q is not one of the values", text), strings.Join(enum.Values(), " or "))
		return
	}
	v.SetString(text)
}

func (d *decoder) decodeBool(node ast.Node, v reflect.Value, path string) {
	b, ok := node.(*ast.BoolNode)
	if !ok {
		d.fail(node, path, fmt.Sprintf("%s is not valid", quoted(node)), "true or false")
		return
	}
	v.SetBool(b.Value)
}

func (d *decoder) decodeInt(node ast.Node, v reflect.Value, path string) {
	text, _ := scalarText(node)
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v.OverflowInt(n) || n < 0 {
		d.fail(node, path, fmt.Sprintf("%s is not valid", quoted(node)), "a whole number of zero or more")
		return
	}
	v.SetInt(n)
}

func (d *decoder) fail(node ast.Node, path, wrong, want string) {
	d.faulty[path] = true
	d.problems = append(d.problems, Problem{Position: d.position(node), Field: path, Wrong: wrong, Want: want})
}

func (d *decoder) position(node ast.Node) Position {
	if node == nil || node.GetToken() == nil {
		return Position{File: d.file, Line: 1, Column: 1}
	}
	tk := node.GetToken()
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		tk = m.Values[0].Key.GetToken()
	}
	if m, ok := node.(*ast.MappingValueNode); ok {
		tk = m.Key.GetToken()
	}
	return Position{File: d.file, Line: tk.Position.Line, Column: tk.Position.Column}
}

func fieldsOf(v reflect.Value) map[string]reflect.Value {
	out := map[string]reflect.Value{}
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag.Get("yaml")
		name, _, _ := strings.Cut(tag, ",")
		if name != "" && name != "-" {
			out[name] = v.Field(i)
		}
	}
	return out
}

func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	default:
		return "", false
	}
}

func quoted(node ast.Node) string {
	if text, ok := scalarText(node); ok {
		return strconv.Quote(text)
	}
	return "this value"
}

func sortedNames(fields map[string]reflect.Value) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// closest names the field that is at most two edits from key, if any.
func closest(key string, fields map[string]reflect.Value) string {
	best, distance := "", 3
	for _, name := range sortedNames(fields) {
		if d := editDistance(key, name); d < distance {
			best, distance = name, d
		}
	}
	return best
}

func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
