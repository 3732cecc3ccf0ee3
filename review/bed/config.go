package main

// hostName is the host of all routes.
const hostName = "ficu95.example"

// route returns a route of the configuration.
func route(name, prefix, kind, service string, attempts, timeoutMS, targetMS int) map[string]any {
	r := map[string]any{"name": name, "host": hostName, "prefix": prefix, "kind": kind, "service": service, "maxAttempts": attempts,
		"timeoutMs": timeoutMS, "targetLatencyMs": targetMS, "priority": 1}
	if kind == "stream" {
		r["gapTargetMs"], r["sticky"] = 300, true
	}
	return r
}

// configuration returns a configuration of the size of the site crdf-preorder.
func configuration(version int64, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "preorder-api", "healthPath": "/healthz", "maxConnections": 110},
			map[string]any{"name": "manifest-llm", "healthPath": "/healthz", "maxConnections": 370, "engine": map[string]any{
				"slots": 64, "kvTokens": 89659, "stride": stride, "kvTtlS": 0.5, "switchS": 6, "holdMs": 2000, "moves": false,
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
