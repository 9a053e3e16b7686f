package main

import (
	"encoding/json"
	"fmt"
)

// host is the host of all routes.
const host = "hulo84.example"

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutS, targetS           float64
	priority                    int
}

// writeConfig writes a configuration as the operator does.
func (d *deployment) writeConfig(version int, services []string, routes ...route) {
	resources := []map[string]any{}
	for _, r := range routes {
		resources = append(resources, map[string]any{"type": "routes", "metadata": map[string]any{"name": r.name}, "spec": map[string]any{
			"host": host, "prefix": r.prefix, "routeType": r.kind, "timeoutS": r.timeoutS, "targetLatencyS": r.targetS,
			"priority": r.priority, "attempts": 2, "service": r.service,
		}})
	}
	for _, s := range services {
		resources = append(resources, map[string]any{"type": "services", "metadata": map[string]any{"name": s}, "spec": map[string]any{"healthPath": "/healthz", "maxConnections": 1588}})
	}
	resources = append(resources, map[string]any{"type": "limits", "metadata": map[string]any{"name": "limits"}, "spec": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 2.0, "idleTimeoutS": 15.0,
	}})
	data, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources})
	if err != nil {
		panic(err) // every value can be encoded
	}
	d.store.write("op/config", data)
	d.rec.printf("operator: configuration %d confirmed", version)
}
