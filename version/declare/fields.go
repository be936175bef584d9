package declare

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// objectDecoder decodes the fields of one object and collects every problem. A field
// that is unknown or given twice is a problem.
type objectDecoder struct {
	file string
	ref  Ref
	// lines maps the name of each field to the number of its line.
	lines    map[string]int
	problems []Problem
}

// addProblem adds a problem with a field of the object.
func (d *objectDecoder) addProblem(line int, field, message string) {
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    line,
		Kind:    d.ref.Kind,
		Name:    shorten(d.ref.Name),
		Field:   field,
		Message: message,
	})
}

// decodeMapping decodes a mapping into the struct that target points to. In problems,
// prefix is put before the names of the fields. isDocument is true for the mapping of
// the document itself, the only mapping that may have a field named "kind".
func (d *objectDecoder) decodeMapping(node *yaml.Node, target any, prefix string, isDocument bool) {
	if node.Kind != yaml.MappingNode {
		d.addProblem(node.Line, strings.TrimSuffix(prefix, "."), "want fields, got "+describeNode(node))
		return
	}
	value := reflect.ValueOf(target).Elem()
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, content := node.Content[i], node.Content[i+1]
		name := prefix + shorten(key.Value)
		if seen[key.Value] {
			d.addProblem(key.Line, name, "given twice")
			continue
		}
		seen[key.Value] = true
		if isDocument && key.Value == "kind" {
			continue
		}
		d.lines[name] = key.Line
		field, ok := fieldByTag(value, key.Value)
		if !ok {
			d.addProblem(key.Line, name, "unknown field")
			continue
		}
		d.decodeValue(content, field, name)
	}
}

// decodeValue decodes one value into field. name is the name of the field in
// problems.
func (d *objectDecoder) decodeValue(node *yaml.Node, field reflect.Value, name string) {
	switch field.Kind() {
	case reflect.Slice:
		d.decodeList(node, field, name)
	case reflect.Struct:
		d.decodeMapping(node, field.Addr().Interface(), name+".", false)
	default:
		d.decodeScalar(node, field, name)
	}
}

// decodeList decodes a sequence into the slice field.
func (d *objectDecoder) decodeList(node *yaml.Node, field reflect.Value, name string) {
	if node.Kind != yaml.SequenceNode {
		d.addProblem(node.Line, name, "want a list, got "+describeNode(node))
		return
	}
	list := reflect.MakeSlice(field.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		itemName := name + "[" + strconv.Itoa(i) + "]"
		d.lines[itemName] = item.Line
		d.decodeValue(item, list.Index(i), itemName)
	}
	if len(node.Content) > 0 {
		field.Set(list)
	}
}

// decodeScalar decodes a string, integer or boolean into field.
func (d *objectDecoder) decodeScalar(node *yaml.Node, field reflect.Value, name string) {
	want, tag := expectedType(field.Kind())
	if node.Kind != yaml.ScalarNode {
		d.addProblem(node.Line, name, "want "+want+", got "+describeNode(node))
		return
	}
	got := node.ShortTag()
	if got != tag && (tag != "!!str" || got == "!!null" || got == "!!binary") {
		d.addProblem(node.Line, name, fmt.Sprintf("want %s, got %s", want, describeNode(node)))
		return
	}
	if tag == "!!str" {
		field.SetString(node.Value)
		return
	}
	if err := node.Decode(field.Addr().Interface()); err != nil {
		d.addProblem(node.Line, name, fmt.Sprintf("want %s, got %s", want, describeNode(node)))
	}
}

// expectedType returns a description of the values of the given kind, for use in
// problems, and the YAML tag of such values.
func expectedType(kind reflect.Kind) (description, tag string) {
	switch kind {
	case reflect.Bool:
		return "true or false", "!!bool"
	case reflect.Int, reflect.Int64:
		return "a whole number", "!!int"
	default:
		return "a text", "!!str"
	}
}

// describeNode returns a description of the value of a node, for use in problems.
func describeNode(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "fields"
	case yaml.SequenceNode:
		return "a list"
	default:
		return strconv.Quote(shorten(node.Value))
	}
}

// fieldByTag returns the field of a struct whose YAML tag has the given name, and
// whether there is such a field.
func fieldByTag(value reflect.Value, name string) (reflect.Value, bool) {
	for i := range value.NumField() {
		tag, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("yaml"), ",")
		if tag == name {
			return value.Field(i), true
		}
	}
	return reflect.Value{}, false
}
