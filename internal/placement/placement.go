// Package placement compares the name and data centre in a router's settings with those in the document. A difference is
// an operator error. The router continues to serve as well as it can, so the difference is reported and nothing is
// refused.
package placement

import (
	"context"
	"fmt"

	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/document"
)

// Problem describes how the document differs from the host's settings. It returns "" if they agree or if there is no
// document.
func Problem(snap *document.Snapshot, host, dataCentre string) string {
	if snap == nil {
		return ""
	}
	if !hasDataCentre(snap, dataCentre) {
		return fmt.Sprintf("setting data_centre %q is not a data centre of document version %d", dataCentre, snap.Version)
	}
	entryHost, ok := snap.Host(host)
	switch {
	case !ok:
		return fmt.Sprintf("setting name %q is not a host of document version %d, so this host has no share of any rate", host, snap.Version)
	case entryHost.DataCentre != dataCentre:
		return fmt.Sprintf("document version %d lists host %q under data centre %q, setting data_centre says %q",
			snap.Version, host, entryHost.DataCentre, dataCentre)
	case entryHost.Retired:
		return fmt.Sprintf("document version %d marks host %q as retired, but it runs", snap.Version, host)
	default:
		return ""
	}
}

func hasDataCentre(snap *document.Snapshot, name string) bool {
	for _, dc := range snap.DataCentres {
		if dc.Name == name {
			return true
		}
	}
	return false
}

// Watch logs the problem of each document that becomes active, until the context is cancelled.
func Watch(ctx context.Context, store *config.Store, host, dataCentre string, log zerolog.Logger) {
	for {
		changed := store.Changed()
		if problem := Problem(store.Current(), host, dataCentre); problem != "" {
			log.Error().Str("event", "placement-wrong").Str("problem", problem).Send()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
