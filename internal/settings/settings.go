// Package settings reads and checks the JSON settings file that each process is started with.
package settings

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/strictjson"
)

// Duration is a time.Duration that is encoded in JSON as text such as "1.5s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler for text such as "250ms".
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Errorf("duration %s: want %s", raw, d.AcceptedValues())
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("duration %q: want %s", text, d.AcceptedValues())
	}
	*d = Duration(v)
	return nil
}

// AcceptedValues implements strictjson.ValueDescriber.
func (d *Duration) AcceptedValues() string { return `a duration such as "250ms" or "1.5s"` }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal(time.Duration(d).String())
	return raw, errors.Wrap(err, "encode duration")
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Problem is one fault of a settings file: the field, the value found and the values accepted.
type Problem = document.Problem

// Error holds all problems of one file.
type Error struct {
	File     string
	Problems []Problem
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = "settings file " + e.File + ": " + p.String()
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by each process's settings. Check fills in defaults and reports problems.
type Checker interface {
	Check() []Problem
}

// Load decodes the file at path into v, which must be empty, and checks it. Unknown fields, duplicate fields, wrong
// types and trailing data are also reported as problems. The error is an *Error with all problems, unless the file
// cannot be read.
func Load(path string, v Checker) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if problems := decode(raw, v); len(problems) > 0 {
		return &Error{File: path, Problems: problems}
	}
	return nil
}

// decode returns the problems of the JSON text, and those that Check finds in the fields that could be decoded.
func decode(raw []byte, v Checker) []Problem {
	problems := strictjson.Decode(raw, v)
	found := map[string]bool{}
	for _, p := range problems {
		found[p.Field] = true
	}
	for _, p := range v.Check() {
		if !found[p.Field] {
			problems = append(problems, p)
		}
	}
	return problems
}

// Log configures the logging of a process.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}
