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
	documentSource
}

// fleetStatus is the result of the command "status".
type fleetStatus struct {
	Fleet string `json:"fleet"`
	// Version and Hash identify the document that the command read; routers may have a newer one.
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
	// Live is the number of hosts that the router considers live, including its own.
	Live int `json:"live_members"`
	// InFlight is the number of requests in progress at the upstreams that the router owns.
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
	status := client.fleetStatus(snap)
	if err := c.app.writeOutput(status, status.writeTable); err != nil {
		return err
	}
	if status.Problems > 0 {
		return errCheckFailed
	}
	return nil
}

// fleetStatus queries all routers of the document concurrently.
func (c *client) fleetStatus(snap *document.Snapshot) *fleetStatus {
	status := &fleetStatus{Fleet: snap.Fleet, Version: snap.Version, Hash: snap.Hash}
	for _, dc := range snap.DataCentres {
		status.DataCentres = append(status.DataCentres, dataCentreStatus{Name: dc.Name, State: dc.State})
	}
	hosts := activeHosts(snap)
	status.Routers = make([]routerStatus, len(hosts))
	var wg sync.WaitGroup
	for i, host := range hosts {
		wg.Go(func() { status.Routers[i] = c.routerStatus(host, len(hosts)) })
	}
	wg.Wait()
	status.checkVersions()
	return status
}

// activeHosts returns the hosts on which a router should be running: all that are not retired.
func activeHosts(snap *document.Snapshot) []document.EntryHost {
	var hosts []document.EntryHost
	for _, host := range snap.EntryHosts() {
		if !host.Retired {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (c *client) routerStatus(host document.EntryHost, expectedHosts int) routerStatus {
	status := routerStatus{Name: host.Name, DataCentre: host.DataCentre}
	state, err := c.fetchState(host)
	if err != nil {
		status.addProblem("unreachable: %v", errors.Cause(err))
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
	status.checkState(host, state, expectedHosts)
	return status
}

func (c *client) fetchState(host document.EntryHost) (*router.State, error) {
	raw, err := c.get("http://" + host.AdminAddress + admin.PathState)
	if err != nil {
		return nil, err
	}
	var state router.State
	return &state, errors.Wrapf(json.Unmarshal(raw, &state), "decode state of router %s", host.Name)
}

func (r *routerStatus) addProblem(format string, args ...any) {
	r.Problems = append(r.Problems, fmt.Sprintf(format, args...))
}

// checkState records the problems that the state of one router shows by itself.
func (r *routerStatus) checkState(host document.EntryHost, state *router.State, expectedHosts int) {
	if state.Name != host.Name {
		r.addProblem("reports the name %q", state.Name)
	}
	if !r.Ready {
		r.addProblem("not ready: %s", state.NotReady)
	}
	if state.Placement != "" {
		r.addProblem("%s", state.Placement)
	}
	if r.Live < expectedHosts {
		r.addProblem("sees %d of %d hosts live", r.Live, expectedHosts)
	}
	if state.Platform.LastError != "" {
		r.addProblem("platform: %s", state.Platform.LastError)
	}
}

// checkVersions records routers whose document is older than or differs from the newest one, and counts all problems.
func (s *fleetStatus) checkVersions() {
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
			r.addProblem("has document version %d, the newest is %d", r.Version, newest)
		case r.Hash != hash:
			r.addProblem("has different content for document version %d", newest)
		}
		s.Problems += len(r.Problems)
	}
}

func (s *fleetStatus) writeTable(w io.Writer) {
	fmt.Fprintf(w, "fleet %s, document version %d, hash %.12s\n", s.Fleet, s.Version, s.Hash)
	var dataCentres []string
	for _, dc := range s.DataCentres {
		dataCentres = append(dataCentres, dc.Name+" "+string(dc.State))
	}
	fmt.Fprintf(w, "data centres: %s\n\n", strings.Join(dataCentres, ", "))
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
