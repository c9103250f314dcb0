// Package settings reads and checks the JSON settings file that each process is started with.
package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
)

// Duration is a time.Duration that JSON holds as text such as "1.5s".
type Duration time.Duration

// UnmarshalJSON parses text such as "250ms".
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Errorf("duration %s: want text such as \"1.5s\"", raw)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("duration %q: want text such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON returns the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal(time.Duration(d).String())
	return raw, errors.Wrap(err, "encode duration")
}

// Std returns the standard library's form.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Problem is one fault of a settings file: where it is, what was found and what would be right.
type Problem = document.Problem

// Error lists every problem of one file.
type Error struct {
	File     string
	Problems []Problem
}

// Error returns all problems on one line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "settings file " + e.File + ": " + strings.Join(lines, "; ")
}

// Checker is implemented by each process's settings: it fills in defaults and reports problems.
type Checker interface {
	Check() []Problem
}

// Load decodes the file at path into v, which holds nothing yet, and checks it. Unknown fields are errors.
func Load(path string, v Checker) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.Wrapf(err, "settings file %s", path)
	}
	if problems := v.Check(); len(problems) > 0 {
		return &Error{File: path, Problems: problems}
	}
	return nil
}

// Log selects how much a process logs.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}
