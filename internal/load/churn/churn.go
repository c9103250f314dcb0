// Package churn carries out a scenario's schedule of faults: orders to stand-ins, documents published on the platform,
// and lines in a hook file for faults of processes, which a script outside carries out. It starts and ends no process.
package churn

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/document"
	"github.com/orioleusher/orioleusher/internal/load/scenario"
	"github.com/orioleusher/orioleusher/internal/settings"
	"github.com/orioleusher/orioleusher/internal/standin/server"
)

// callTimeout bounds one order.
const callTimeout = 5 * time.Second

// Schedule carries out faults.
type Schedule struct {
	// StandIns names the admin addresses.
	StandIns *settings.StandIns
	// Fleet is the name under which the platform publishes the document.
	Fleet string
	// Hook takes a line "SIGNAL PROCESS" for each fault of a process; nil makes such a fault an error.
	Hook io.Writer
	// Done is told of each fault after it was carried out, or failed.
	Done func(f scenario.Fault, at time.Time, err error)
}

// Run carries out the faults, each at its time after start, until the last one or the end of the context.
func (s *Schedule) Run(ctx context.Context, start time.Time, list []scenario.Fault) {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b scenario.Fault) int { return int(a.At - b.At) })
	for _, f := range sorted {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(f.At.Std()))):
		}
		at := time.Now()
		s.Done(f, at, s.apply(ctx, f))
	}
}

func (s *Schedule) apply(ctx context.Context, f scenario.Fault) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch f.Act {
	case scenario.ActStandIn:
		return s.order(ctx, f)
	case scenario.ActProcess:
		return s.hook(f)
	default:
		return s.publish(ctx, f)
	}
}

func (s *Schedule) hook(f scenario.Fault) error {
	if s.Hook == nil {
		return errors.Errorf("%s %s: the run has no hook file", f.Signal, f.Target)
	}
	_, err := fmt.Fprintf(s.Hook, "%s %s\n", f.Signal, f.Target)
	return errors.Wrap(err, "write hook")
}

func (s *Schedule) order(ctx context.Context, f scenario.Fault) error {
	address, err := s.adminAddress(f.Target)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(f.Order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	_, err = call(ctx, http.MethodPost, "http://"+address+server.PathFault, raw)
	return errors.Wrapf(err, "order to %s", f.Target)
}

func (s *Schedule) adminAddress(name string) (string, error) {
	if s.StandIns == nil {
		return "", errors.New("the run has no file of stand-ins")
	}
	if name == "platform" {
		return s.StandIns.Platform.AdminAddress, nil
	}
	if e, ok := s.StandIns.Engine(name); ok {
		return e.AdminAddress, nil
	}
	if v, ok := s.StandIns.Service(name); ok {
		return v.AdminAddress, nil
	}
	return "", errors.Errorf("stand-in %q does not exist", name)
}

// publish edits the document that the platform holds and publishes it with the next version.
func (s *Schedule) publish(ctx context.Context, f scenario.Fault) error {
	if s.StandIns == nil {
		return errors.New("the run has no file of stand-ins")
	}
	raw, err := call(ctx, http.MethodGet, "http://"+s.StandIns.Platform.Address+"/v1/config/"+s.Fleet, nil)
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	snap, err := document.Parse(raw)
	if err != nil {
		return err
	}
	edited, err := edit(snap, f)
	if err != nil {
		return err
	}
	_, err = call(ctx, http.MethodPut, "http://"+s.StandIns.Platform.AdminAddress+"/admin/config", edited)
	return errors.Wrap(err, "publish document")
}

// edit returns the next version of the document, with the fault's target in its new state.
func edit(snap *document.Snapshot, f scenario.Fault) ([]byte, error) {
	doc := snap.Document
	doc.Parent = document.Parent{Version: doc.Version, Hash: snap.Hash}
	doc.Version++
	found := false
	for i := range doc.DataCentres {
		if f.Act == scenario.ActDataCentre && doc.DataCentres[i].Name == f.Target {
			doc.DataCentres[i].State = f.State
			found = true
		}
	}
	if u, ok := snap.Upstream(f.Target); ok && f.Act == scenario.ActUpstream {
		u.State = f.State
		found = true
	}
	if !found {
		return nil, errors.Errorf("%s %q does not exist in the document", f.Act, f.Target)
	}
	return doc.Encode()
}

func call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, url)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, errors.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, raw)
	}
	return raw, nil
}
