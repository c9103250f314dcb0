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
	source
	Args struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" description:"as in the section quarantine of a dump"`
	} `positional-args:"yes" required:"yes"`
}

// liftResult is what one router did.
type liftResult struct {
	Router string `json:"router"`
	Error  string `json:"error,omitempty"`
}

// Execute implements flags.Commander. Every running router is told, since strikes travel between them.
func (c *liftCommand) Execute([]string) error {
	fingerprint, err := strconv.ParseUint(c.Args.Fingerprint, 10, 64)
	if err != nil {
		message := fmt.Sprintf("fingerprint %q: want a decimal number as in a dump", c.Args.Fingerprint)
		return &flags.Error{Type: flags.ErrMarshal, Message: message}
	}
	client := c.app.client()
	snap, err := c.read(client)
	if err != nil {
		return err
	}
	var results []liftResult
	failed := false
	for _, seat := range runningSeats(snap) {
		result := liftResult{Router: seat.Name}
		if err := client.lift(seat, fingerprint); err != nil {
			result.Error = err.Error()
			failed = true
		}
		results = append(results, result)
	}
	if err := c.app.show(results, func(w io.Writer) { writeLifted(w, results) }); err != nil {
		return err
	}
	if failed {
		return errFinding
	}
	return nil
}

func (c *client) lift(seat document.SeatHost, fingerprint uint64) error {
	address := fmt.Sprintf("http://%s%s?%s=%s", seat.AdminAddress, admin.PathLift, admin.ParamFingerprint,
		strconv.FormatUint(fingerprint, 10))
	resp, err := c.http.Post(address, "", nil)
	if err != nil {
		return errors.Wrapf(err, "lift on %s", seat.Name)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("lift on %s: status %d", seat.Name, resp.StatusCode)
	}
	return nil
}

func writeLifted(w io.Writer, results []liftResult) {
	fmt.Fprintln(w, "ROUTER\tLIFTED")
	for _, r := range results {
		lifted := "yes"
		if r.Error != "" {
			lifted = r.Error
		}
		fmt.Fprintf(w, "%s\t%s\n", r.Router, lifted)
	}
}
