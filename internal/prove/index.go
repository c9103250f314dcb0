// Package prove runs the tests of the guarantees of the fleet (its promises) under faults, and reports for each promise
// and fault whether the tests pass. The index docs/proofs.json maps tests to promises and faults.
package prove

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"

	"github.com/pkg/errors"
)

// Index maps each promise and fault to the tests that check this promise under this fault.
type Index struct {
	Promises []Definition `json:"promises"`
	Faults   []Definition `json:"faults"`
	Cells    []Cell       `json:"cells"`
}

// Definition defines a promise or a fault.
type Definition struct {
	ID string `json:"id"`
	// Text is a full sentence, Short a column heading.
	Text  string `json:"text"`
	Short string `json:"short,omitempty"`
}

// Cell lists the tests of one promise under one fault. Exactly one of Tests and NotProved is set.
type Cell struct {
	Promise string `json:"promise"`
	Fault   string `json:"fault"`
	Tests   []Test `json:"tests,omitempty"`
	// NotProved is the reason why there is no test.
	NotProved string `json:"not_proved,omitempty"`
}

// Test identifies a test function.
type Test struct {
	// Package is the directory of the package, relative to the root of the module.
	Package string `json:"package"`
	Name    string `json:"name"`
	// Seed is the fixed seed, or a note why there is none.
	Seed string `json:"seed,omitempty"`
	// FailedWith is the commit or the setting with which the test failed, PassedWith the one with which it passes.
	FailedWith string `json:"failed,omitempty"`
	PassedWith string `json:"passed,omitempty"`
}

// ReadIndex reads and validates the index file at path.
func ReadIndex(path string) (*Index, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read index of tests")
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
		case !hasID(x.Promises, c.Promise):
			return errors.Errorf("cells[%d]: promise %q does not exist", i, c.Promise)
		case !hasID(x.Faults, c.Fault):
			return errors.Errorf("cells[%d]: fault %q does not exist", i, c.Fault)
		case (len(c.Tests) == 0) == (c.NotProved == ""):
			return errors.Errorf("cells[%d] (%s, %s): must have either tests or not_proved", i, c.Promise, c.Fault)
		case x.Cell(c.Promise, c.Fault) != c:
			return errors.Errorf("cells[%d] (%s, %s): duplicate cell", i, c.Promise, c.Fault)
		}
	}
	return nil
}

func hasID(list []Definition, id string) bool {
	return slices.ContainsFunc(list, func(n Definition) bool { return n.ID == id })
}

// Cell returns the cell of a promise and a fault, or nil if there is none.
func (x *Index) Cell(promise, fault string) *Cell {
	for i := range x.Cells {
		if x.Cells[i].Promise == promise && x.Cells[i].Fault == fault {
			return &x.Cells[i]
		}
	}
	return nil
}

// Packages returns the package directories of all tests in the index, sorted and without duplicates.
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
