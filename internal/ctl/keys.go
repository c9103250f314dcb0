package ctl

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/outcome"
)

type keyCommand struct {
	New keyNewCommand `command:"new" description:"make a caller's key and its entry in the document"`
}

type keyNewCommand struct {
	app      *app
	ID       string        `long:"id" required:"yes" description:"identifier of the key in its team's list"`
	ValidFor time.Duration `long:"valid-for" value-name:"DURATION" description:"lifetime of the key, such as 720h; none means no end"`
}

// createdKey is the result of the command "key new".
type createdKey struct {
	// Key is the secret, which is not stored anywhere.
	Key string `json:"key"`
	// Entry is to be added to the team's list "keys" in the document.
	Entry document.Key `json:"entry"`
}

// Execute implements flags.Commander.
func (c *keyNewCommand) Execute([]string) error {
	if !document.ValidName(c.ID) {
		return errors.Errorf("--id %q: want 1 to %d letters, digits, dots, hyphens and underscores", c.ID, document.MaxNameLength)
	}
	var notAfter *time.Time
	if c.ValidFor > 0 {
		end := time.Now().Add(c.ValidFor).UTC().Truncate(time.Second)
		notAfter = &end
	}
	secret, entry, err := document.NewKey(c.ID, notAfter)
	if err != nil {
		return err
	}
	return c.app.writeOutput(createdKey{Key: secret, Entry: entry}, func(w io.Writer) {
		fmt.Fprintf(w, "key, shown only here:\t%s\n", secret)
		fmt.Fprintf(w, "id:\t%s\nsha256:\t%s\n", entry.ID, entry.SHA256)
		if notAfter != nil {
			fmt.Fprintf(w, "not_after:\t%s\n", notAfter.Format(time.RFC3339))
		}
	})
}

// keyVariable is the environment variable that holds the API key. It is not a command-line option because other users of
// the machine can see command lines.
const keyVariable = "ORIOLE_KEY"

type idempotencyKeyCommand struct {
	Issue issueCommand `command:"issue" description:"ask a router for an idempotency key"`
}

type issueCommand struct {
	app    *app
	Router string `long:"address" required:"yes" value-name:"IP:PORT" description:"caller address of a router"`
	Path   string `long:"path" required:"yes" description:"path of a route that may not be repeated"`
	Method string `long:"method" default:"POST" description:"method of the route"`
}

// issuedKey is the result of the command "idempotency-key issue".
type issuedKey struct {
	IdempotencyKey string `json:"idempotency_key"`
}

// Execute implements flags.Commander. The request has no idempotency key, so the router rejects it with status 428 and a
// new key instead of executing it.
func (c *issueCommand) Execute([]string) error {
	key := os.Getenv(keyVariable)
	if key == "" {
		return errors.Errorf("environment variable %s: want the caller's key", keyVariable)
	}
	req, err := http.NewRequest(c.Method, "http://"+c.Router+c.Path, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.app.client().http.Do(req)
	if err != nil {
		return errors.Wrap(err, "request idempotency key")
	}
	defer resp.Body.Close()
	issued := resp.Header.Get(outcome.HeaderIdempotencyKey)
	if resp.StatusCode != http.StatusPreconditionRequired || issued == "" {
		const shownBytes = 500
		text, _ := io.ReadAll(io.LimitReader(resp.Body, shownBytes))
		return errors.Errorf("%s %s: status %d, want 428: %s", c.Method, c.Path, resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return c.app.writeOutput(issuedKey{IdempotencyKey: issued}, func(w io.Writer) { fmt.Fprintln(w, issued) })
}
