package ctl

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/document"
)

type liftCommand struct {
	app *app
	documentSource
	Args struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" description:"as in the section quarantine of a dump"`
	} `positional-args:"yes" required:"yes"`
}

// liftResult is the outcome on one router.
type liftResult struct {
	Router string `json:"router"`
	Error  string `json:"error,omitempty"`
}

// Execute implements flags.Commander. It lifts the quarantine on every router that should be running, because routers share
// their crash records.
func (c *liftCommand) Execute([]string) error {
	fingerprint, err := strconv.ParseUint(c.Args.Fingerprint, 10, 64)
	if err != nil {
		message := fmt.Sprintf("fingerprint %q: want a decimal number, as in a dump", c.Args.Fingerprint)
		return &flags.Error{Type: flags.ErrMarshal, Message: message}
	}
	client := c.app.client()
	snap, err := c.read(client)
	if err != nil {
		return err
	}
	var results []liftResult
	failed := false
	for _, host := range activeHosts(snap) {
		result := liftResult{Router: host.Name}
		if err := client.liftQuarantine(host, fingerprint); err != nil {
			result.Error = err.Error()
			failed = true
		}
		results = append(results, result)
	}
	if err := c.app.writeOutput(results, func(w io.Writer) { writeLiftResults(w, results) }); err != nil {
		return err
	}
	if failed {
		return errCheckFailed
	}
	return nil
}

func (c *client) liftQuarantine(host document.EntryHost, fingerprint uint64) error {
	address := fmt.Sprintf("http://%s%s?%s=%s", host.AdminAddress, admin.PathLift, admin.ParamFingerprint,
		strconv.FormatUint(fingerprint, 10))
	resp, err := c.http.Post(address, "", nil)
	if err != nil {
		return errors.Wrapf(err, "lift quarantine on router %s", host.Name)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("lift quarantine on router %s: status %d", host.Name, resp.StatusCode)
	}
	return nil
}

func writeLiftResults(w io.Writer, results []liftResult) {
	fmt.Fprintln(w, "ROUTER\tLIFTED")
	for _, r := range results {
		lifted := "yes"
		if r.Error != "" {
			lifted = r.Error
		}
		fmt.Fprintf(w, "%s\t%s\n", r.Router, lifted)
	}
}
