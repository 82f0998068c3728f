//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["escaped"] = playEscaped
	cases["slashes"] = playSlashes
}

// Prefixes of the routes of these cases.
const (
	filesPrefix   = "/files/"
	archivePrefix = "/files/archive/"
	rootPrefix    = "/"
)

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

// playEscaped adds a route whose prefix begins the path of a request only once its escaped
// slash is decoded.
func playEscaped(f *fleet) (string, error) {
	files, archive := plainRoute("files", filesPrefix, plainService), plainRoute("archive", archivePrefix, archiveService)
	f.putCatalog([]route{files})
	time.Sleep(2 * configBound)
	targets := []string{filesPrefix + "archive%2F17", filesPrefix + "18"}
	for i, target := range targets {
		o := f.do(i, call{id: fmt.Sprintf("before-%d", i+1), method: http.MethodPost, target: target, timeout: 2500 * time.Millisecond})
		if o.status != http.StatusOK || o.err != nil {
			return "", fmt.Errorf("the fleet does not serve: %v", o)
		}
	}
	f.changeCatalog(files, archive)
	for i := range gatewayCount {
		for j, target := range targets {
			f.do(i, call{id: fmt.Sprintf("after-%d-%d", i+1, j+1), method: http.MethodPost, target: target, timeout: 2500 * time.Millisecond})
		}
	}
	broken := ""
	for _, s := range f.plain {
		for _, r := range s.ran {
			if s.service == archiveService && !strings.HasPrefix(r.target, archivePrefix) {
				broken += fmt.Sprintf("%s with path %s was run by service %s, whose only prefix is %s; ", r.id, r.target, s.service, archivePrefix)
			}
		}
	}
	return broken, nil
}

// playSlashes adds a route for all paths of a host, and sends requests whose paths begin with
// two slashes.
func playSlashes(f *fleet) (string, error) {
	const target = "//desk/order/17?urgent=1"
	if o := f.do(0, call{id: "before-1", method: http.MethodPost, target: target, timeout: 2500 * time.Millisecond}); o.status != http.StatusNotFound {
		return "", fmt.Errorf("a path without a route got %v", o)
	}
	f.changeCatalog(plainRoute("root", rootPrefix, plainService))
	for i := range gatewayCount {
		f.do(i, call{id: fmt.Sprintf("after-%d", i+1), method: http.MethodPost, target: target, timeout: 2500 * time.Millisecond})
	}
	broken := ""
	for _, s := range f.plain {
		for _, r := range s.ran {
			if r.target != target {
				broken += fmt.Sprintf("%s was sent as POST %s (Host: %s) and run as POST %s (host of the target: %s); ", r.id, target, routeHost, r.target, r.host)
			}
		}
	}
	return broken, nil
}
