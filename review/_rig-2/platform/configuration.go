package main

// route returns a route of a configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 17000, "target_latency_ms": 2500, "priority": 1,
		"service": service, "max_attempts": 2,
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// configuration returns a configuration with the routes of the cases: safe and unsafe ones to a plain service, streams to engines.
func configuration(version int, models map[string]float64) []byte {
	list := []map[string]any{}
	for name, weights := range models {
		list = append(list, map[string]any{
			"name": name, "weights_mb": weights, "load_s": 6.0, "adapters": 0, "adapter_mb": 40.0, "warm_s": 0.38, "disk_s": 0.76,
		})
	}
	stream := map[string]any{"gap_target_ms": 400, "sticky": true, "resumable": false}
	resumable := map[string]any{"gap_target_ms": 400, "sticky": true, "resumable": true}
	short := map[string]any{"timeout_ms": 1200, "target_latency_ms": 200}
	routes := []map[string]any{
		route("safe", "/safe/", "safe", "ledger", short), route("unsafe", "/unsafe/", "unsafe", "ledger", short),
		route("stream", "/stream/", "streaming", "engines", stream), route("resumable", "/resumable/", "streaming", "engines", resumable),
	}
	return encode(map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "ledger", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "engines", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 232000, "kv_token_bytes": 327680, "link_mbps": 1100000.0, "moves": false, "backups": false,
				"weights_mb": 140000.0, "adapter_slots": 8, "loads_per_s": 4.2,
				"models": list,
			}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
