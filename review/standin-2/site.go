//go:build review

package main

// The catalog of a small deployment, with the limits, times and kinds that the pages show.
const (
	host   = "ficu95.example"
	key    = "n2ctnfzs989anu6wsjnb"
	tenant = "hule930"
)

type object = map[string]any

// route of the member desk, with the times of the sheet.
func deskRoute(name, prefix, kind string, attempts int) object {
	return object{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2,
		"service": "member-desk", "max_attempts": attempts, "public": false,
	}
}

func streamRoute(name, prefix, service string) object {
	return object{
		"name": name, "host": host, "prefix": prefix, "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 400, "target_gap_ms": 120,
		"priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": true, "resumable": true,
	}
}

func catalog(version int, routes ...object) object {
	return object{
		"version": version, "routes": routes,
		"services": []object{
			{"name": "member-desk", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
			{"name": "assistant-llm", "health_path": "/healthz", "max_connections": 258, "protocol": "h1", "tls": false},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	}
}
