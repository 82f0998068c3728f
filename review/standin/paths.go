//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["slashes"] = playSlashes }

// rootPrefix is the prefix of a route for all paths of a host.
const rootPrefix = "/"

func plainRoute(name, prefix, service string) route {
	return route{"name": name, "host": routeHost, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
		"priority": 2, "service": service, "max_attempts": 1, "public": false}
}

// changeCatalog adds a route and waits until it must be in force.
func (f *fleet) changeCatalog(routes ...route) {
	if f.trouble {
		last := routes[len(routes)-1]
		f.add("the operator adds route %v: %v%v to %v, version %d", last["name"], last["host"], last["prefix"], last["service"], f.putCatalog(routes))
	}
	time.Sleep(2 * configBound)
}

// playSlashes adds a route for all paths of a host, and sends requests whose paths begin with
// two slashes.
func playSlashes(f *fleet) (string, error) {
	const target = "//desk/order/17?urgent=1"
	if o := f.do(0, call{id: "before-1", method: http.MethodPost, target: target, timeout: 2500 * time.Millisecond}); o.status != http.StatusNotFound {
		return "", fmt.Errorf("a path without a route got %v", o)
	}
	f.changeCatalog(plainRoute("root", rootPrefix, plainService))
	if o := f.do(0, call{id: "plain-1", method: http.MethodPost, target: "/desk/order/16", timeout: 2500 * time.Millisecond}); f.trouble && o.status != http.StatusOK {
		return "", fmt.Errorf("%w: the new route is not served: %v", errNotPlayed, o)
	}
	answers := 0
	for i := range gatewayCount {
		o := f.do(i, call{id: fmt.Sprintf("after-%d", i+1), method: http.MethodPost, target: target, timeout: 2500 * time.Millisecond})
		if o.err == nil && o.status != http.StatusServiceUnavailable {
			answers++
		}
	}
	if answers == 0 {
		return "", fmt.Errorf("%w: no request was answered", errNotPlayed)
	}
	broken := ""
	for _, s := range f.plain {
		for _, r := range s.ran {
			if strings.HasPrefix(r.id, "after") && r.target != target {
				broken += fmt.Sprintf("%s was sent as POST %s (Host: %s) and run as POST %s (host of the target: %s); ", r.id, target, routeHost, r.target, r.host)
			}
		}
	}
	return broken, nil
}
