package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// FuzzDecode looks for settings that are accepted and cannot be used, or change when they are written and read again.
func FuzzDecode(f *testing.F) {
	kinds := []func() Checker{
		func() Checker { return &Direct{} }, func() Checker { return &Router{} }, func() Checker { return &Console{} }, func() Checker { return &StandIns{} },
	}
	files, err := filepath.Glob("../../deploy/lobue/*.json")
	if err != nil || len(files) == 0 {
		f.Fatalf("no settings to begin with: %v", err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		for kind := range kinds {
			f.Add(uint8(kind), raw)
		}
	}
	f.Add(uint8(0), []byte(`{"name":"r","data_centre":"z","data_centres":["z"],"caller_address":"10.0.0.1:1","ready_address":"10.0.0.1:2","peer_address":"10.0.0.1:3",`+
		`"admin_address":"10.0.0.1:4","store_address":"10.0.0.2:1","memory_mb":184,"retry":{"ratio":0.2,"slack":60},"cold":{"overage":1.5,"slack":5}}`))
	f.Fuzz(func(t *testing.T, kind uint8, raw []byte) {
		create := kinds[int(kind)%len(kinds)]
		first := create()
		if len(decode(raw, first)) > 0 {
			return
		}
		if d, ok := first.(*Direct); ok && (d.MemoryMB <= 0 || d.Timeouts.MaxStaleness() <= 0 || d.Timeouts.Stop < d.Timeouts.Drain || d.MaxCallerConns < 0) {
			t.Fatalf("settings %q cannot be used", raw)
		}
		again, err := json.Marshal(first)
		if err != nil {
			t.Fatalf("settings %q cannot be written: %v", raw, err)
		}
		second := create()
		if problems := decode(again, second); len(problems) > 0 || !reflect.DeepEqual(first, second) {
			t.Fatalf("settings %q, written as %q, are read as %+v, problems %v", raw, again, second, problems)
		}
	})
}
