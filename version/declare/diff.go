package declare

import (
	"fmt"
	"reflect"
	"strings"
)

// Action is the effect of a change on an object.
type Action string

// The actions of a change.
const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
	ActionChange Action = "change"
)

// FieldChange is a field of an object whose value differs between two sets.
type FieldChange struct {
	// Field is the field's name in the document.
	Field string `json:"field"`
	// Old is the old value as text; an empty string or list gives "".
	Old string `json:"old"`
	// New is the new value as text; an empty string or list gives "".
	New string `json:"new"`
}

// Change describes how one object differs between an old and a new set.
type Change struct {
	// Action is the effect on the object.
	Action Action `json:"action"`
	// Ref identifies the object.
	Ref
	// Fields lists the fields that differ; it is empty if the object is added
	// or removed.
	Fields []FieldChange `json:"fields,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	parts := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		parts[i] = fmt.Sprintf("%s %s -> %s", f.Field, textOrDash(f.Old), textOrDash(f.New))
	}
	line := fmt.Sprintf("%s %s", c.Action, c.Ref)
	if len(parts) == 0 {
		return line
	}
	return line + ": " + strings.Join(parts, ", ")
}

// textOrDash returns s, or a dash if s is empty.
func textOrDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Diff returns the changes that turn old into new. They are ordered by kind.
// Within a kind, removed objects come before the others, and both groups are
// ordered by name.
func Diff(old, new *Set) []Change {
	var changes []Change
	for _, c := range collections {
		changes = append(changes, diffKind(c, old, new)...)
	}
	return changes
}

// diffKind returns the changes to the objects of one kind.
func diffKind(c collection, old, new *Set) []Change {
	var changes []Change
	for _, name := range c.names(old) {
		if c.get(new, name) == nil {
			changes = append(changes, Change{Action: ActionRemove, Ref: Ref{Kind: c.kind, Name: name}})
		}
	}
	for _, name := range c.names(new) {
		ref := Ref{Kind: c.kind, Name: name}
		before := c.get(old, name)
		if before == nil {
			changes = append(changes, Change{Action: ActionAdd, Ref: ref})
			continue
		}
		if fields := diffFields(before, c.get(new, name)); len(fields) > 0 {
			changes = append(changes, Change{Action: ActionChange, Ref: ref, Fields: fields})
		}
	}
	return changes
}

// diffFields returns the fields that differ between two objects, which are
// pointers to structs of the same type.
func diffFields(old, new any) []FieldChange {
	if old == new {
		return nil
	}
	oldStruct, newStruct := reflect.ValueOf(old).Elem(), reflect.ValueOf(new).Elem()
	var fields []FieldChange
	for i := range oldStruct.NumField() {
		oldText, newText := fieldText(oldStruct.Field(i)), fieldText(newStruct.Field(i))
		if oldText == newText {
			continue
		}
		name, _, _ := strings.Cut(oldStruct.Type().Field(i).Tag.Get("yaml"), ",")
		fields = append(fields, FieldChange{Field: name, Old: oldText, New: newText})
	}
	return fields
}

// fieldText returns the value of a field as text; an empty list or string gives "".
func fieldText(v reflect.Value) string {
	if v.Kind() == reflect.Slice {
		items := make([]string, v.Len())
		for i := range items {
			items[i] = fmt.Sprintf("%+v", v.Index(i).Interface())
		}
		return strings.Join(items, " ")
	}
	return fmt.Sprint(v.Interface())
}

// nameOf returns the name of an object, or "" if the object is a nil pointer.
func nameOf(object any) string {
	v := reflect.ValueOf(object)
	if v.IsNil() {
		return ""
	}
	return v.Elem().FieldByName("Name").String()
}
