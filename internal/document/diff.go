package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// ChangeKind is the way in which a field differs between two documents.
type ChangeKind string

// The kinds of change.
const (
	Added     ChangeKind = "added"
	Removed   ChangeKind = "removed"
	Changed   ChangeKind = "changed"
	Reordered ChangeKind = "reordered"
)

// Change is one difference between two documents. Field identifies list elements by name instead of by index, as in
// "teams[mills].burst". Before and After are JSON; Before is empty for added fields and After for removed ones.
type Change struct {
	Field  string     `json:"field"`
	Kind   ChangeKind `json:"kind"`
	Before string     `json:"before,omitempty"`
	After  string     `json:"after,omitempty"`
}

// String formats the change as one line.
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

// Diff returns all differences between before and after. Each level of the document is sorted by field name.
func Diff(before, after *Document) ([]Change, error) {
	a, err := decodeTree(before)
	if err != nil {
		return nil, err
	}
	b, err := decodeTree(after)
	if err != nil {
		return nil, err
	}
	d := &differ{}
	d.compareObjects("", a, b)
	return d.changes, nil
}

// decodeTree converts the document to nested maps and slices, as encoding/json decodes them.
func decodeTree(d *Document) (map[string]any, error) {
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

func (d *differ) compareObjects(parent string, a, b map[string]any) {
	for _, name := range sortedUnion(a, b) {
		field := name
		if parent != "" {
			field = parent + "." + name
		}
		before, inA := a[name]
		after, inB := b[name]
		d.compareValues(field, before, after, inA, inB)
	}
}

func sortedUnion(a, b map[string]any) []string {
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

func (d *differ) compareValues(field string, a, b any, inA, inB bool) {
	switch {
	case !inA:
		d.addChange(Added, field, "", compactJSON(b))
		return
	case !inB:
		d.addChange(Removed, field, compactJSON(a), "")
		return
	}
	objectA, okA := a.(map[string]any)
	objectB, okB := b.(map[string]any)
	if okA && okB {
		d.compareObjects(field, objectA, objectB)
		return
	}
	namesA, elementsA := indexElements(a)
	namesB, elementsB := indexElements(b)
	if elementsA != nil && elementsB != nil {
		d.compareLists(field, namesA, namesB, elementsA, elementsB)
		return
	}
	if before, after := compactJSON(a), compactJSON(b); before != after {
		d.addChange(Changed, field, before, after)
	}
}

// indexElements returns the names of a list's elements in order and the elements by name. The name is the field "name" or
// "id". It returns nil if an element has neither or two elements share a name. A missing list counts as empty.
func indexElements(v any) ([]string, map[string]any) {
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
		if _, duplicate := elements[name]; !ok || duplicate {
			return nil, nil
		}
		names = append(names, name)
		elements[name] = e
	}
	return names, elements
}

func (d *differ) compareLists(field string, namesA, namesB []string, a, b map[string]any) {
	for _, name := range sortedUnion(a, b) {
		before, inA := a[name]
		after, inB := b[name]
		d.compareValues(field+"["+name+"]", before, after, inA, inB)
	}
	commonA := commonNames(namesA, b)
	commonB := commonNames(namesB, a)
	if !slices.Equal(commonA, commonB) {
		d.addChange(Reordered, field, strings.Join(commonA, ", "), strings.Join(commonB, ", "))
	}
}

func commonNames(names []string, other map[string]any) []string {
	var shared []string
	for _, name := range names {
		if _, ok := other[name]; ok {
			shared = append(shared, name)
		}
	}
	return shared
}

func (d *differ) addChange(kind ChangeKind, field, before, after string) {
	d.changes = append(d.changes, Change{Field: field, Kind: kind, Before: before, After: after})
}

func compactJSON(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(raw)
}
