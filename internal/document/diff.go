package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// ChangeKind says how a field differs between two documents.
type ChangeKind string

// The kinds of change.
const (
	Added     ChangeKind = "added"
	Removed   ChangeKind = "removed"
	Changed   ChangeKind = "changed"
	Reordered ChangeKind = "reordered"
)

// Change is one difference between two documents. Elements of lists are named, not numbered, in Field, such as
// "teams[mills].burst". Before and After are JSON; Before is empty for added fields and After for removed ones.
type Change struct {
	Field  string     `json:"field"`
	Kind   ChangeKind `json:"kind"`
	Before string     `json:"before,omitempty"`
	After  string     `json:"after,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Field, c.After)
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Field, c.Before)
	case Reordered:
		return fmt.Sprintf("~ %s: order %s -> %s", c.Field, c.Before, c.After)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Before, c.After)
	}
}

// Diff returns every difference from before to after, sorted by field name.
func Diff(before, after *Document) ([]Change, error) {
	a, err := toTree(before)
	if err != nil {
		return nil, err
	}
	b, err := toTree(after)
	if err != nil {
		return nil, err
	}
	d := &differ{}
	d.objects("", a, b)
	return d.changes, nil
}

// toTree returns the document as nested maps and slices.
func toTree(d *Document) (map[string]any, error) {
	raw, err := d.Encode()
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree map[string]any
	return tree, errors.Wrap(dec.Decode(&tree), "decode document")
}

type differ struct {
	changes []Change
}

func (d *differ) objects(at string, a, b map[string]any) {
	for _, name := range sortedNames(a, b) {
		field := name
		if at != "" {
			field = at + "." + name
		}
		before, inA := a[name]
		after, inB := b[name]
		d.values(field, before, after, inA, inB)
	}
}

func sortedNames(a, b map[string]any) []string {
	var names []string
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, both := a[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (d *differ) values(field string, a, b any, inA, inB bool) {
	switch {
	case !inA:
		d.add(Added, field, "", compact(b))
		return
	case !inB:
		d.add(Removed, field, compact(a), "")
		return
	}
	objectA, okA := a.(map[string]any)
	objectB, okB := b.(map[string]any)
	if okA && okB {
		d.objects(field, objectA, objectB)
		return
	}
	namesA, elementsA := namedElements(a)
	namesB, elementsB := namedElements(b)
	if elementsA != nil && elementsB != nil {
		d.lists(field, namesA, namesB, elementsA, elementsB)
		return
	}
	if before, after := compact(a), compact(b); before != after {
		d.add(Changed, field, before, after)
	}
}

// namedElements returns a list's elements by name and the names in order, or nil if they have no names of their own.
func namedElements(v any) ([]string, map[string]any) {
	if v == nil {
		return nil, map[string]any{}
	}
	list, ok := v.([]any)
	if !ok {
		return nil, nil
	}
	var names []string
	elements := map[string]any{}
	for _, e := range list {
		object, _ := e.(map[string]any)
		name, ok := object["name"].(string)
		if !ok {
			name, ok = object["id"].(string)
		}
		if _, twice := elements[name]; !ok || twice {
			return nil, nil
		}
		names = append(names, name)
		elements[name] = e
	}
	return names, elements
}

func (d *differ) lists(field string, namesA, namesB []string, a, b map[string]any) {
	for _, name := range sortedNames(a, b) {
		before, inA := a[name]
		after, inB := b[name]
		d.values(field+"["+name+"]", before, after, inA, inB)
	}
	commonA := common(namesA, b)
	commonB := common(namesB, a)
	if !slices.Equal(commonA, commonB) {
		d.add(Reordered, field, strings.Join(commonA, ", "), strings.Join(commonB, ", "))
	}
}

func common(names []string, other map[string]any) []string {
	var kept []string
	for _, name := range names {
		if _, ok := other[name]; ok {
			kept = append(kept, name)
		}
	}
	return kept
}

func (d *differ) add(kind ChangeKind, field, before, after string) {
	d.changes = append(d.changes, Change{Field: field, Kind: kind, Before: before, After: after})
}

func compact(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(raw)
}
