package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/orioleusher/orioleusher/internal/admin"
	"github.com/orioleusher/orioleusher/internal/document"
)

type dumpCommand struct {
	app *app
	source
	Args struct {
		Routers []string `positional-arg-name:"ROUTER" description:"names of routers; none means all"`
	} `positional-args:"yes"`
}

// routerDump is the state dump of one router, or the error that kept it from being read.
type routerDump struct {
	Router string          `json:"router"`
	Error  string          `json:"error,omitempty"`
	State  json.RawMessage `json:"state,omitempty"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	client := c.app.client()
	snap, err := c.read(client)
	if err != nil {
		return err
	}
	seats, err := chooseSeats(snap, c.Args.Routers)
	if err != nil {
		return err
	}
	dumps := make([]routerDump, 0, len(seats))
	failed := false
	for _, seat := range seats {
		d := client.dump(seat)
		failed = failed || d.Error != ""
		dumps = append(dumps, d)
	}
	if err := c.app.show(dumps, func(w io.Writer) { writeDumps(w, dumps) }); err != nil {
		return err
	}
	if failed {
		return errFinding
	}
	return nil
}

func chooseSeats(snap *document.Snapshot, names []string) ([]document.SeatHost, error) {
	if len(names) == 0 {
		return runningSeats(snap), nil
	}
	var seats []document.SeatHost
	for _, name := range names {
		seat, ok := snap.Host(name)
		if !ok {
			return nil, errors.Errorf("router %q is not in document version %d", name, snap.Version)
		}
		seats = append(seats, seat)
	}
	return seats, nil
}

func (c *client) dump(seat document.SeatHost) routerDump {
	d := routerDump{Router: seat.Name}
	raw, err := c.get("http://" + seat.AdminAddress + admin.PathState)
	switch {
	case err != nil:
		d.Error = errors.Cause(err).Error()
	case !json.Valid(raw):
		d.Error = "the state dump is not JSON"
	default:
		d.State = raw
	}
	return d
}

func writeDumps(w io.Writer, dumps []routerDump) {
	for i, d := range dumps {
		if i > 0 {
			fmt.Fprintln(w)
		}
		fmt.Fprintf(w, "== %s\n", d.Router)
		if d.Error != "" {
			fmt.Fprintf(w, "unreachable: %s\n", d.Error)
			continue
		}
		writeState(w, d.State)
	}
}

// writeState writes scalars as "field value" lines and each list of objects as a table of its own. It knows nothing of
// the state's fields, so that it shows whatever a router's version has.
func writeState(w io.Writer, raw json.RawMessage) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var state map[string]any
	if err := dec.Decode(&state); err != nil {
		fmt.Fprintln(w, err)
		return
	}
	tables := map[string][]any{}
	writeScalars(w, "", state, tables)
	for _, name := range sortedKeys(tables) {
		writeTable(w, name, tables[name])
	}
}

func writeScalars(w io.Writer, at string, object map[string]any, tables map[string][]any) {
	for _, name := range sortedKeys(object) {
		field := at + name
		switch v := object[name].(type) {
		case map[string]any:
			writeScalars(w, field+".", v, tables)
		case []any:
			tables[field] = v
		default:
			fmt.Fprintf(w, "%s\t%v\n", field, v)
		}
	}
}

func writeTable(w io.Writer, name string, rows []any) {
	fmt.Fprintf(w, "\n-- %s: %d\n", name, len(rows))
	columns := tableColumns(rows)
	if len(columns) == 0 {
		for _, row := range rows {
			fmt.Fprintln(w, cell(row))
		}
		return
	}
	fmt.Fprintln(w, strings.ToUpper(strings.ReplaceAll(strings.Join(columns, "\t"), "_", " ")))
	for _, row := range rows {
		object, _ := row.(map[string]any)
		cells := make([]string, len(columns))
		for i, column := range columns {
			cells[i] = cell(object[column])
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
}

// leading columns come first, since they name the row.
var leading = []string{"name", "host", "team", "upstream", "version"}

func tableColumns(rows []any) []string {
	seen := map[string]bool{}
	for _, row := range rows {
		object, _ := row.(map[string]any)
		for name := range object {
			seen[name] = true
		}
	}
	var columns []string
	for _, name := range leading {
		if seen[name] {
			columns = append(columns, name)
			delete(seen, name)
		}
	}
	return append(columns, sortedKeys(seen)...)
}

func cell(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case map[string]any, []any:
		raw, err := json.Marshal(v)
		if err != nil {
			return fmt.Sprint(v)
		}
		return string(raw)
	default:
		return fmt.Sprint(v)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
