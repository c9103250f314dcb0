// Package prove runs the tests that show the fleet's promises under its faults and reports, for each promise and fault,
// whether it is shown. The index in docs/proofs.json says which test shows what.
package prove

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"

	"github.com/pkg/errors"
)

// Index says which test shows which promise under which fault.
type Index struct {
	Promises []Named `json:"promises"`
	Faults   []Named `json:"faults"`
	Cells    []Cell  `json:"cells"`
}

// Named is a promise or a fault.
type Named struct {
	ID string `json:"id"`
	// Text is a full sentence, Short a heading of a column.
	Text  string `json:"text"`
	Short string `json:"short,omitempty"`
}

// Cell is what is known of one promise under one fault. Either Tests or NotProved is set.
type Cell struct {
	Promise string `json:"promise"`
	Fault   string `json:"fault"`
	Tests   []Test `json:"tests,omitempty"`
	// NotProved is the reason why there is no test.
	NotProved string `json:"not_proved,omitempty"`
}

// Test names one test function.
type Test struct {
	// Package is the folder below the module's root.
	Package string `json:"package"`
	Name    string `json:"name"`
	// Seed is the fixed seed, or a word on why there is none.
	Seed string `json:"seed,omitempty"`
	// Failed and Passed name the commits, or the setting, with which the test failed first and passed then.
	Failed string `json:"failed,omitempty"`
	Passed string `json:"passed,omitempty"`
}

// ReadIndex reads and checks the index file at path.
func ReadIndex(path string) (*Index, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read index of proofs")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var x Index
	if err := dec.Decode(&x); err != nil {
		return nil, errors.Wrapf(err, "index %s", path)
	}
	return &x, errors.Wrapf(x.check(), "index %s", path)
}

func (x *Index) check() error {
	for i := range x.Cells {
		c := &x.Cells[i]
		switch {
		case !has(x.Promises, c.Promise):
			return errors.Errorf("cells[%d]: promise %q does not exist", i, c.Promise)
		case !has(x.Faults, c.Fault):
			return errors.Errorf("cells[%d]: fault %q does not exist", i, c.Fault)
		case (len(c.Tests) == 0) == (c.NotProved == ""):
			return errors.Errorf("cells[%d] (%s, %s): want either tests or not_proved", i, c.Promise, c.Fault)
		case x.Cell(c.Promise, c.Fault) != c:
			return errors.Errorf("cells[%d] (%s, %s): stands twice", i, c.Promise, c.Fault)
		}
	}
	return nil
}

func has(list []Named, id string) bool {
	return slices.ContainsFunc(list, func(n Named) bool { return n.ID == id })
}

// Cell returns the cell of a promise and a fault, or nil.
func (x *Index) Cell(promise, fault string) *Cell {
	for i := range x.Cells {
		if x.Cells[i].Promise == promise && x.Cells[i].Fault == fault {
			return &x.Cells[i]
		}
	}
	return nil
}

// Packages returns the folders of all tests in the index, each once, in order.
func (x *Index) Packages() []string {
	var list []string
	for _, c := range x.Cells {
		for _, t := range c.Tests {
			list = append(list, t.Package)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
