// Package placement compares where a router's settings say that it is with where the document says it is. A difference
// is an operator's mistake that the router serves through as well as it can, so it is reported and never refused.
package placement

import (
	"context"
	"fmt"

	"github.com/rs/zerolog"

	"github.com/orioleusher/orioleusher/internal/config"
	"github.com/orioleusher/orioleusher/internal/document"
)

// Problem returns how the document differs from the host's settings, or "" if they agree or there is no document.
func Problem(snap *document.Snapshot, host, dataCentre string) string {
	if snap == nil {
		return ""
	}
	if !hasDataCentre(snap, dataCentre) {
		return fmt.Sprintf("setting data_centre %q is no data centre of document version %d", dataCentre, snap.Version)
	}
	seat, ok := snap.Host(host)
	switch {
	case !ok:
		return fmt.Sprintf("setting name %q is no host of document version %d, so this host has no part of any rate", host, snap.Version)
	case seat.DataCentre != dataCentre:
		return fmt.Sprintf("document version %d lists host %q under data centre %q, setting data_centre says %q",
			snap.Version, host, seat.DataCentre, dataCentre)
	case seat.Retired:
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

// Watch logs the problem of each document that comes into force until the context ends.
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
