package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/router"
)

type statusCommand struct {
	app *app
	source
}

// fleetStatus is the result of the command status.
type fleetStatus struct {
	Fleet string `json:"fleet"`
	// Version and Hash are those of the document that was read; routers may be ahead of it.
	Version     uint64             `json:"version"`
	Hash        string             `json:"hash"`
	DataCentres []dataCentreStatus `json:"data_centres"`
	Routers     []routerStatus     `json:"routers"`
	Problems    int                `json:"problems"`
}

type dataCentreStatus struct {
	Name  string         `json:"name"`
	State document.State `json:"state"`
}

type routerStatus struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	Ready       bool   `json:"ready"`
	Version     uint64 `json:"version"`
	Hash        string `json:"hash"`
	Incarnation string `json:"incarnation"`
	// Live is the number of hosts that the router believes live, itself included.
	Live int `json:"live_members"`
	// InFlight is the number of requests at the upstreams that the router owns.
	InFlight int      `json:"in_flight"`
	Problems []string `json:"problems,omitempty"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client := c.app.client()
	snap, err := c.read(client)
	if err != nil {
		return err
	}
	status := client.fleet(snap)
	if err := c.app.show(status, status.table); err != nil {
		return err
	}
	if status.Problems > 0 {
		return errFinding
	}
	return nil
}

// fleet asks every router of the document at once.
func (c *client) fleet(snap *document.Snapshot) *fleetStatus {
	status := &fleetStatus{Fleet: snap.Fleet, Version: snap.Version, Hash: snap.Hash}
	for _, dc := range snap.DataCentres {
		status.DataCentres = append(status.DataCentres, dataCentreStatus{Name: dc.Name, State: dc.State})
	}
	seats := runningSeats(snap)
	status.Routers = make([]routerStatus, len(seats))
	var wg sync.WaitGroup
	for i, seat := range seats {
		wg.Go(func() { status.Routers[i] = c.router(seat, len(seats)) })
	}
	wg.Wait()
	status.compare()
	return status
}

// runningSeats returns the seats whose process should run.
func runningSeats(snap *document.Snapshot) []document.SeatHost {
	var seats []document.SeatHost
	for _, seat := range snap.Seats() {
		if !seat.Retired {
			seats = append(seats, seat)
		}
	}
	return seats
}

func (c *client) router(seat document.SeatHost, expected int) routerStatus {
	status := routerStatus{Name: seat.Name, DataCentre: seat.DataCentre}
	state, err := c.state(seat)
	if err != nil {
		status.add("unreachable: %v", errors.Cause(err))
		return status
	}
	status.Ready = state.NotReady == ""
	status.Version, status.Hash = state.Config.Version, state.Config.Hash
	status.Incarnation = strconv.FormatUint(state.Incarnation, 10)
	for _, m := range state.Members {
		if m.Live {
			status.Live++
		}
	}
	for _, u := range state.Upstreams {
		status.InFlight += u.InFlight
	}
	status.judge(seat, state, expected)
	return status
}

func (c *client) state(seat document.SeatHost) (*router.State, error) {
	raw, err := c.get("http://" + seat.AdminAddress + admin.PathState)
	if err != nil {
		return nil, err
	}
	var state router.State
	return &state, errors.Wrapf(json.Unmarshal(raw, &state), "state of router %s", seat.Name)
}

func (r *routerStatus) add(format string, args ...any) {
	r.Problems = append(r.Problems, fmt.Sprintf(format, args...))
}

// judge adds what is wrong with one router by itself.
func (r *routerStatus) judge(seat document.SeatHost, state *router.State, expected int) {
	if state.Name != seat.Name {
		r.add("calls itself %q", state.Name)
	}
	if !r.Ready {
		r.add("not ready: %s", state.NotReady)
	}
	if state.Placement != "" {
		r.add("%s", state.Placement)
	}
	if r.Live < expected {
		r.add("sees %d of %d hosts live", r.Live, expected)
	}
	if state.Platform.LastError != "" {
		r.add("platform: %s", state.Platform.LastError)
	}
}

// compare adds what is wrong between routers, and counts all problems.
func (s *fleetStatus) compare() {
	newest, hash := s.Version, s.Hash
	for _, r := range s.Routers {
		if r.Version > newest || r.Version == newest && r.Hash > hash {
			newest, hash = r.Version, r.Hash
		}
	}
	for i := range s.Routers {
		r := &s.Routers[i]
		switch {
		case r.Incarnation == "":
		case r.Version < newest:
			r.add("has version %d, newest is %d", r.Version, newest)
		case r.Hash != hash:
			r.add("has other content for version %d", newest)
		}
		s.Problems += len(r.Problems)
	}
}

func (s *fleetStatus) table(w io.Writer) {
	fmt.Fprintf(w, "fleet %s, document version %d, hash %.12s\n", s.Fleet, s.Version, s.Hash)
	var centres []string
	for _, dc := range s.DataCentres {
		centres = append(centres, dc.Name+" "+string(dc.State))
	}
	fmt.Fprintf(w, "data centres: %s\n\n", strings.Join(centres, ", "))
	fmt.Fprintln(w, "ROUTER\tDATA CENTRE\tREADY\tVERSION\tINCARNATION\tLIVE\tIN FLIGHT\tPROBLEMS")
	for _, r := range s.Routers {
		if r.Incarnation == "" {
			fmt.Fprintf(w, "%s\t%s\tno\t-\t-\t-\t-\t%s\n", r.Name, r.DataCentre, strings.Join(r.Problems, "; "))
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d/%d\t%d\t%s\n", r.Name, r.DataCentre, yesNo(r.Ready), r.Version, r.Incarnation,
			r.Live, len(s.Routers), r.InFlight, strings.Join(r.Problems, "; "))
	}
	fmt.Fprintf(w, "\n%d problems\n", s.Problems)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
