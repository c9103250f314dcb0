package ctl

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
)

// readDocument reads and validates a document file.
func readDocument(path string) (*document.Snapshot, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	snap, problems := document.Inspect(raw)
	if len(problems) > 0 {
		return nil, errors.Wrapf(&document.ValidationError{Problems: problems}, "document %s", path)
	}
	return snap, nil
}

// documentSource holds the options that select the document which lists the routers: a file or a platform.
type documentSource struct {
	Document string `short:"d" long:"document" value-name:"FILE" description:"document file that names the routers"`
	Platform string `long:"platform" value-name:"URL" description:"platform to read the document from, instead of a file"`
	Fleet    string `long:"fleet" value-name:"NAME" description:"name of the document on the platform"`
}

func (s *documentSource) read(c *client) (*document.Snapshot, error) {
	switch {
	case s.Document != "" && s.Platform == "":
		return readDocument(s.Document)
	case s.Document == "" && s.Platform != "" && s.Fleet != "":
		return s.readFromPlatform(c)
	default:
		return nil, errors.New("want either --document FILE or --platform URL with --fleet NAME")
	}
}

func (s *documentSource) readFromPlatform(c *client) (*document.Snapshot, error) {
	raw, err := c.get(s.Platform + "/v1/config/" + url.PathEscape(s.Fleet))
	if err != nil {
		return nil, errors.Wrap(err, "read document from the platform")
	}
	snap, err := document.Parse(raw)
	return snap, errors.Wrap(err, "parse document from the platform")
}

type validateCommand struct {
	app      *app
	Platform string `long:"platform" value-name:"URL" description:"also check that the document follows the one in force on this platform"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// validationResult is the result of the command validate.
type validationResult struct {
	File     string             `json:"file"`
	Valid    bool               `json:"valid"`
	Version  uint64             `json:"version,omitempty"`
	Hash     string             `json:"hash,omitempty"`
	Problems []document.Problem `json:"problems,omitempty"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	raw, err := os.ReadFile(c.Args.File)
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	snap, problems := document.Inspect(raw)
	result := validationResult{File: c.Args.File, Problems: problems}
	if snap != nil {
		result.Version, result.Hash = snap.Version, snap.Hash
		if result.Problems, err = c.checkFollowsInForce(snap); err != nil {
			return err
		}
	}
	result.Valid = len(result.Problems) == 0
	if err := c.app.writeOutput(result, result.writeTable); err != nil {
		return err
	}
	if !result.Valid {
		return errCheckFailed
	}
	return nil
}

// checkFollowsInForce returns the problems that would make publishing the document overwrite another operator's changes.
// It checks nothing if no platform is given.
func (c *validateCommand) checkFollowsInForce(snap *document.Snapshot) ([]document.Problem, error) {
	if c.Platform == "" {
		return nil, nil
	}
	s := documentSource{Platform: c.Platform, Fleet: snap.Fleet}
	current, err := s.readFromPlatform(c.app.client())
	if err != nil {
		return nil, err
	}
	return checkSuccessor(snap, current), nil
}

// checkSuccessor returns the problems that keep next from replacing current: its version is not higher, or its parent is a
// different document.
func checkSuccessor(next, current *document.Snapshot) []document.Problem {
	var problems []document.Problem
	if next.Version <= current.Version {
		problems = append(problems, document.Problem{
			Field: "version", Value: strconv.FormatUint(next.Version, 10),
			Want: fmt.Sprintf("a version above %d, which is in force", current.Version),
		})
	}
	if next.Parent != (document.Parent{Version: current.Version, Hash: current.Hash}) {
		problems = append(problems, document.Problem{
			Field: "parent", Value: fmt.Sprintf("version %d, hash %s", next.Parent.Version, next.Parent.Hash),
			Want: fmt.Sprintf("version %d, hash %s, which is in force; reapply the changes to that version", current.Version, current.Hash),
		})
	}
	return problems
}

func (v *validationResult) writeTable(w io.Writer) {
	if v.Valid {
		fmt.Fprintf(w, "%s: valid, version %d, hash %s\n", v.File, v.Version, v.Hash)
		return
	}
	fmt.Fprintln(w, "FIELD\tVALUE\tWANT")
	for _, p := range v.Problems {
		fmt.Fprintf(w, "%s\t%q\t%s\n", p.Field, p.Value, p.Want)
	}
}

type diffCommand struct {
	app  *app
	Args struct {
		Before string `positional-arg-name:"BEFORE" required:"yes"`
		After  string `positional-arg-name:"AFTER" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	before, err := readDocument(c.Args.Before)
	if err != nil {
		return err
	}
	after, err := readDocument(c.Args.After)
	if err != nil {
		return err
	}
	changes, err := document.Diff(before.Document, after.Document)
	if err != nil {
		return err
	}
	err = c.app.writeOutput(changes, func(w io.Writer) {
		for _, change := range changes {
			fmt.Fprintln(w, change)
		}
	})
	if err == nil && len(changes) > 0 {
		err = errCheckFailed
	}
	return err
}

// client sends requests to routers and the platform.
type client struct {
	http *http.Client
}

func (a *app) client() *client {
	return &client{http: &http.Client{Timeout: a.options.Timeout}}
}

// maxResponseBytes limits the size of a response; a state dump may be larger than a document.
const maxResponseBytes = 16 << 20

func (c *client) get(address string) ([]byte, error) {
	resp, err := c.http.Get(address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", address)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read %s: status %d: %.200s", address, resp.StatusCode, raw)
	}
	return raw, nil
}
