// Package churn executes a scenario's schedule of faults: it sends orders to stand-ins, publishes documents on the
// platform, and writes faults of processes to a hook file, which an external script executes. It starts and stops no
// process itself.
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

// faultTimeout is the timeout for executing one fault.
const faultTimeout = 5 * time.Second

// Schedule executes faults.
type Schedule struct {
	// StandIns provides the admin addresses of the stand-ins.
	StandIns *settings.StandIns
	// Fleet is the name under which the platform publishes the document.
	Fleet string
	// Hook receives a line "SIGNAL PROCESS" for each fault of a process. If it is nil, such faults are errors.
	Hook io.Writer
	// OnFault is called after each fault, with the error if the fault failed or the run ended before it.
	OnFault func(f scenario.Fault, at time.Time, err error)
}

// Run executes the faults, each at its time after start, until the last one or until the context ends.
func (s *Schedule) Run(ctx context.Context, start time.Time, faults []scenario.Fault) {
	sorted := slices.Clone(faults)
	slices.SortStableFunc(sorted, func(a, b scenario.Fault) int { return int(a.At - b.At) })
	for i, f := range sorted {
		select {
		case <-ctx.Done():
			for _, left := range sorted[i:] {
				s.OnFault(left, time.Now(), errors.Wrap(ctx.Err(), "the run ended before"))
			}
			return
		case <-time.After(time.Until(start.Add(f.At.Std()))):
		}
		at := time.Now()
		s.OnFault(f, at, s.execute(ctx, f))
	}
}

func (s *Schedule) execute(ctx context.Context, f scenario.Fault) error {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	switch f.Kind {
	case scenario.FaultStandIn:
		return s.sendOrder(ctx, f)
	case scenario.FaultProcess:
		return s.writeHook(f)
	default:
		return s.publishState(ctx, f)
	}
}

func (s *Schedule) writeHook(f scenario.Fault) error {
	if s.Hook == nil {
		return errors.Errorf("%s %s: the run has no hook file", f.Signal, f.Target)
	}
	_, err := fmt.Fprintf(s.Hook, "%s %s\n", f.Signal, f.Target)
	return errors.Wrap(err, "write hook file")
}

func (s *Schedule) sendOrder(ctx context.Context, f scenario.Fault) error {
	address, err := s.adminAddress(f.Target)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(f.Order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	_, err = doRequest(ctx, http.MethodPost, "http://"+address+server.PathFault, raw)
	return errors.Wrapf(err, "send order to %s", f.Target)
}

func (s *Schedule) adminAddress(name string) (string, error) {
	if s.StandIns == nil {
		return "", errors.New("the run has no settings file of the stand-ins")
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

// publishState reads the current document from the platform, edits it and publishes the next version.
func (s *Schedule) publishState(ctx context.Context, f scenario.Fault) error {
	if s.StandIns == nil {
		return errors.New("the run has no settings file of the stand-ins")
	}
	raw, err := doRequest(ctx, http.MethodGet, "http://"+s.StandIns.Platform.Address+"/v1/config/"+s.Fleet, nil)
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	snap, err := document.Parse(raw)
	if err != nil {
		return err
	}
	edited, err := editDocument(snap, f)
	if err != nil {
		return err
	}
	_, err = doRequest(ctx, http.MethodPut, "http://"+s.StandIns.Platform.AdminAddress+"/admin/config", edited)
	return errors.Wrap(err, "publish document")
}

// editDocument returns the next version of the document, with the target of the fault set to its new state.
func editDocument(snap *document.Snapshot, f scenario.Fault) ([]byte, error) {
	doc := snap.Document
	doc.Parent = document.Parent{Version: doc.Version, Hash: snap.Hash}
	doc.Version++
	found := false
	for i := range doc.DataCentres {
		if f.Kind == scenario.FaultDataCentre && doc.DataCentres[i].Name == f.Target {
			doc.DataCentres[i].State = f.State
			found = true
		}
	}
	if u, ok := snap.Upstream(f.Target); ok && f.Kind == scenario.FaultUpstream {
		u.State = f.State
		found = true
	}
	if !found {
		return nil, errors.Errorf("%s %q does not exist in the document", f.Kind, f.Target)
	}
	return doc.Encode()
}

func doRequest(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
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
