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
	documentSource
	Admin []string `short:"a" long:"admin" value-name:"IP:PORT" description:"admin address of a router that sends directly, which no document names; may be repeated"`
	Args  struct {
		Routers []string `positional-arg-name:"ROUTER" description:"names of routers; none means all"`
	} `positional-args:"yes"`
}

// routerDump is the state dump of one router, or the error that occurred while it was read.
type routerDump struct {
	Router string          `json:"router"`
	Error  string          `json:"error,omitempty"`
	State  json.RawMessage `json:"state,omitempty"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	client := c.app.client()
	hosts, err := c.hosts(client)
	if err != nil {
		return err
	}
	dumps := make([]routerDump, 0, len(hosts))
	failed := false
	for _, host := range hosts {
		d := client.fetchDump(host)
		failed = failed || d.Error != ""
		dumps = append(dumps, d)
	}
	if err := c.app.writeOutput(dumps, func(w io.Writer) { writeDumps(w, dumps) }); err != nil {
		return err
	}
	if failed {
		return errCheckFailed
	}
	return nil
}

// hosts returns the routers at the admin addresses, or else those of the document.
func (c *dumpCommand) hosts(client *client) ([]document.EntryHost, error) {
	if len(c.Admin) == 0 {
		snap, err := c.read(client)
		if err != nil {
			return nil, err
		}
		return selectHosts(snap, c.Args.Routers)
	}
	if c.documentSource != (documentSource{}) || len(c.Args.Routers) > 0 {
		return nil, errors.New("want either --admin or routers of a document")
	}
	hosts := make([]document.EntryHost, len(c.Admin))
	for i, address := range c.Admin {
		hosts[i] = document.EntryHost{Host: document.Host{Name: address, AdminAddress: address}}
	}
	return hosts, nil
}

func selectHosts(snap *document.Snapshot, names []string) ([]document.EntryHost, error) {
	if len(names) == 0 {
		return activeHosts(snap), nil
	}
	var hosts []document.EntryHost
	for _, name := range names {
		host, ok := snap.Host(name)
		if !ok {
			return nil, errors.Errorf("router %q is not in document version %d", name, snap.Version)
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

func (c *client) fetchDump(host document.EntryHost) routerDump {
	d := routerDump{Router: host.Name}
	raw, err := c.get("http://" + host.AdminAddress + admin.PathState)
	switch {
	case err != nil:
		d.Error = errors.Cause(err).Error()
	case !json.Valid(raw):
		d.Error = "the state dump is not valid JSON"
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

// writeState writes scalars as "field value" lines and each list as a separate table. It does not depend on specific
// fields, so that it can show the state of a router of any version.
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

func writeScalars(w io.Writer, prefix string, object map[string]any, tables map[string][]any) {
	for _, name := range sortedKeys(object) {
		field := prefix + name
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
			fmt.Fprintln(w, formatCell(row))
		}
		return
	}
	fmt.Fprintln(w, strings.ToUpper(strings.ReplaceAll(strings.Join(columns, "\t"), "_", " ")))
	for _, row := range rows {
		object, _ := row.(map[string]any)
		cells := make([]string, len(columns))
		for i, column := range columns {
			cells[i] = formatCell(object[column])
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
}

// leadingColumns are shown first because they identify the row.
var leadingColumns = []string{"name", "host", "team", "upstream", "version"}

func tableColumns(rows []any) []string {
	remaining := map[string]bool{}
	for _, row := range rows {
		object, _ := row.(map[string]any)
		for name := range object {
			remaining[name] = true
		}
	}
	var columns []string
	for _, name := range leadingColumns {
		if remaining[name] {
			columns = append(columns, name)
			delete(remaining, name)
		}
	}
	return append(columns, sortedKeys(remaining)...)
}

func formatCell(v any) string {
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
