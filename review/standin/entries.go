//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["entry"] = playEntry }

// foreignWrites is how often another writer writes over a server's entry.
const foreignWrites = 2

// ordersPrefix is the prefix of the route to the service archive.
const ordersPrefix = "/archive/"

// playEntry has another writer write over the entry of a server of the service desk. What it
// writes lacks fields, and names the service archive.
func playEntry(f *fleet) (string, error) {
	f.putCatalog([]route{plainRoute("archive", ordersPrefix, archiveService)})
	time.Sleep(2 * configBound)
	victim := f.plain[0]
	var writes atomic.Int32
	written := make(chan struct{})
	onBeat := func() {
		n := writes.Add(1)
		if n > foreignWrites {
			return
		}
		if f.trouble {
			f.add("another writer writes servers/%s without version and sequence", victim.id)
			f.store.put("servers", victim.id, entry{
				"service": archiveService, "address": victim.addr.String(), "zone": "z-a", "slots": plainSlots, "state": "ready", "cold_remaining_ms": 0,
			})
		}
		if n == 1 {
			close(written)
		}
	}
	f.store.mu.Lock()
	f.onBeat = onBeat
	f.store.mu.Unlock()
	<-written
	var served atomic.Int32
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for n := range 12 {
				o := f.do(i%gatewayCount, call{id: fmt.Sprintf("order-%d-%d", i+1, n+1), method: http.MethodPost, target: ordersPrefix + "17", timeout: 2500 * time.Millisecond})
				if o.err == nil && o.status == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	foreign := 0
	victim.mu.Lock()
	defer victim.mu.Unlock()
	for _, r := range victim.ran {
		if strings.HasPrefix(r.target, ordersPrefix) {
			foreign++
		}
	}
	if served.Load() == 0 || writes.Load() < foreignWrites {
		return "", fmt.Errorf("%w: %d orders served, %d heartbeats", errNotPlayed, served.Load(), writes.Load())
	}
	if foreign == 0 {
		return "", nil
	}
	return fmt.Sprintf("server %s of the service %s ran %d orders of the route %s, which only goes to %s", victim.id, victim.service, foreign, ordersPrefix, archiveService), nil
}
