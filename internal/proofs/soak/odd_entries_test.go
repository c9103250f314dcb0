package soak

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/orioleusher/orioleusher/platform/standin"
)

// oddEntry returns the entry of a server with another JSON value of the field.
func oddEntry(field, value string) string {
	entry := `{"service":"s","address":"127.60.2.9:9000","zone":"z","slots":8,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}`
	at := strings.Index(entry, `"`+field+`":`) + len(field) + 3
	return entry[:at] + value + entry[at+strings.IndexAny(entry[at:], ",}"):]
}

// Guards, with real routers, against odd entries of another writer among those of the servers, one of them in place of a
// good one, after which routers end, no longer follow the store, or lose requests.
func TestOddEntriesAreIgnored(t *testing.T) {
	f := startRun(t, 1, 0)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() { f.publishHeartbeats(stop) })
	var addresses []string
	for n := range routerCount {
		addresses = append(addresses, routerIP(n)+":8080")
	}
	for n := range clientCount {
		wg.Go(func() { f.clients.run(n, addresses, 1, stop) })
	}
	for n, value := range []string{
		strings.Repeat("[", 200_000), oddEntry("zone", strings.Repeat(`{"a":`, 100_000)+"1"+strings.Repeat("}", 100_000)),
		oddEntry("slots", "1e400"), oddEntry("slots", "1e300"), oddEntry("cold_remaining_ms", "1e300"), oddEntry("born", "1e30"),
		oddEntry("address", `"127.60.2.9:70000"`), oddEntry("address", `"127.60.2.9:0"`), oddEntry("address", `"odd.invalid:9000"`), "\xff\xfe",
	} {
		f.store.Change(standin.Item{Key: fmt.Sprintf("servers/odd-%d", n), Value: base64.StdEncoding.EncodeToString([]byte(value))})
	}
	f.store.Change(standin.Item{Key: "servers/odd", Value: "%%"})
	s := f.servers.list[0]
	s.mu.Lock()
	known := "servers/" + s.instance
	s.mu.Unlock()
	f.store.Change(standin.Item{Key: known, Value: "%%"}) // until the server's next heartbeat
	f.drainServer()                                       // must be followed
	close(stop)
	wg.Wait()
	for n, p := range f.routers {
		select {
		case <-p.Exited():
			t.Errorf("router %d has ended", n)
		default:
		}
	}
	for _, c := range f.clients.calls {
		if c.status != http.StatusOK || !c.complete {
			t.Errorf("request %s to %s got status %d, complete %v: %s", c.id, c.path, c.status, c.complete, c.body)
		}
	}
	f.checkResults()
}
