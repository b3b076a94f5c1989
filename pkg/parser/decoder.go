package parser

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Scalar is a type that parses itself from the text of a YAML scalar. Expected describes the
// accepted text for error messages.
type Scalar interface {
	ParseScalar(text string) error
	Expected() string
}

// Enumeration is a string type with a fixed set of values.
type Enumeration interface {
	Values() []string
}

// Fields holds the file positions of the fields of a decoded value, by dotted path, and which of
// the fields could not be decoded.
type Fields struct {
	file      string
	positions map[string]Position
	faulty    map[string]bool
}

// Position returns the position of a field, or that of the nearest enclosing field if the file
// does not hold it.
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

// Faulty reports whether a field, or one that contains it or is part of it, could not be decoded.
// Later checks skip such fields, since the mistake has already been reported.
func (f *Fields) Faulty(path string) bool {
	for p := range f.faulty {
		if p == path || strings.HasPrefix(p, path+".") || strings.HasPrefix(path, p+".") {
			return true
		}
	}
	return false
}

// decoder fills a Go value from a YAML tree and collects all problems.
type decoder struct {
	Fields
	problems []Problem
}

func newDecoder(file string) *decoder {
	return &decoder{Fields: Fields{file: file, positions: map[string]Position{}, faulty: map[string]bool{}}}
}

// decode fills v from node; path is the dotted path of the field that v holds.
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
		d.addProblem(node, path, "unsupported field", "")
	}
}

func (d *decoder) decodeScalar(node ast.Node, scalar Scalar, path string) {
	text, ok := scalarText(node)
	if ok && scalar.ParseScalar(text) == nil {
		return
	}
	d.addProblem(node, path, fmt.Sprintf("%s is not valid", quoteScalar(node)), scalar.Expected())
}

func (d *decoder) decodeStruct(node ast.Node, v reflect.Value, path string) {
	fields := fieldsByYAMLName(v)
	seen := map[string]bool{}
	for _, pair := range d.mappingPairs(node, path) {
		key := pair.Key.String()
		field, known := fields[key]
		switch {
		case !known:
			d.reportUnknownKey(pair.Key, path, fields)
		case seen[key]:
			d.addProblem(pair.Key, joinPath(path, key), fmt.Sprintf("key %q stands twice", key), "one value")
		default:
			seen[key] = true
			d.decode(pair.Value, field, joinPath(path, key))
		}
	}
}

// reportUnknownKey reports a key that matches no field. The field with a similar name, if any, is
// marked as faulty, so that it is not reported as missing as well.
func (d *decoder) reportUnknownKey(key ast.MapKeyNode, path string, fields map[string]reflect.Value) {
	name := key.String()
	want := closestFieldName(name, fields)
	d.problems = append(d.problems, Problem{Position: d.position(key), Field: path, Wrong: fmt.Sprintf("unknown key %q", name)})
	last := &d.problems[len(d.problems)-1]
	if want == "" {
		last.Want = "one of " + strings.Join(sortedFieldNames(fields), ", ")
		return
	}
	last.Want = want
	d.faulty[joinPath(path, want)] = true
}

// mappingPairs returns the pairs of a mapping; null counts as an empty mapping.
func (d *decoder) mappingPairs(node ast.Node, path string) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	case *ast.NullNode:
		return nil
	default:
		d.addProblem(node, path, "not a mapping", "key: value lines")
		return nil
	}
}

func (d *decoder) decodeSlice(node ast.Node, v reflect.Value, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addProblem(node, path, "not a list", "a list such as [a, b]")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values))
	for i, item := range list.Values {
		d.decode(item, out.Index(i), joinPath(path, strconv.Itoa(i)))
	}
	v.Set(out)
}

func (d *decoder) decodeString(node ast.Node, v reflect.Value, path string) {
	text, ok := scalarText(node)
	if !ok {
		d.addProblem(node, path, "not a text", "a text")
		return
	}
	if enum, ok := v.Interface().(Enumeration); ok && !contains(enum.Values(), text) {
		d.addProblem(node, path, fmt.Sprintf("%q is not one of the values", text), strings.Join(enum.Values(), " or "))
		return
	}
	v.SetString(text)
}

func (d *decoder) decodeBool(node ast.Node, v reflect.Value, path string) {
	b, ok := node.(*ast.BoolNode)
	if !ok {
		d.addProblem(node, path, fmt.Sprintf("%s is not valid", quoteScalar(node)), "true or false")
		return
	}
	v.SetBool(b.Value)
}

func (d *decoder) decodeInt(node ast.Node, v reflect.Value, path string) {
	text, _ := scalarText(node)
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v.OverflowInt(n) || n < 0 {
		d.addProblem(node, path, fmt.Sprintf("%s is not valid", quoteScalar(node)), "a whole number of zero or more")
		return
	}
	v.SetInt(n)
}

// addProblem records a problem at the position of node and marks the field as faulty.
func (d *decoder) addProblem(node ast.Node, path, wrong, want string) {
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

// fieldsByYAMLName returns the fields of a struct by the names in their yaml tags.
func fieldsByYAMLName(v reflect.Value) map[string]reflect.Value {
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

// scalarText returns the text of a scalar as it is written in the file; ok is false for other
// nodes.
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

func quoteScalar(node ast.Node) string {
	if text, ok := scalarText(node); ok {
		return strconv.Quote(text)
	}
	return "this value"
}

func sortedFieldNames(fields map[string]reflect.Value) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// closestFieldName returns the field name that is closest to key, within an edit distance of two,
// or "" if there is none.
func closestFieldName(key string, fields map[string]reflect.Value) string {
	best, bestDistance := "", 3
	for _, name := range sortedFieldNames(fields) {
		if d := editDistance(key, name); d < bestDistance {
			best, bestDistance = name, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b, in bytes.
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

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
