package main

import (
	"fmt"
	"syscall"
)

// zones are those of the machines and of the servers of each service.
var zones = []string{"brum-a", "notts-a", "buxton-a"}

// configuration returns a configuration with three routes for each service, one of each kind, and eight tenants.
func configuration(version int, services []string, syncReplicas int) map[string]any {
	kinds := []string{"primary", "bounded_staleness", "read_your_writes"}
	var routes, list, tenants []map[string]any
	for n, s := range services {
		for k, kind := range kinds {
			routes = append(routes, map[string]any{
				"name": fmt.Sprintf("r-%d-%d", n, k), "host": fmt.Sprintf("db%d-%s", n, kind), "prefix": "/", "kind": kind, "timeoutMs": 2000,
				"latencyGoalMs": 800, "priority": 1, "service": s, "attempts": 2, "maxStalenessMs": 1500, "public": false,
			})
		}
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "connectionCap": 79, "protocol": "h1", "tls": false, "syncReplicas": syncReplicas})
	}
	for n := range 8 {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("t%d", n), "apiKeys": []string{fmt.Sprintf("key%d", n)}, "priority": 1, "ratePerS": 500, "burst": 500})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list, "tenants": tenants,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000, "transactionIdleMs": 3000},
	}
}

// startAll starts an instance in each zone and waits until they are ready. The function ends them.
func startAll(tmp string, st *store, log *recorder) (list []*instance, end func(), err error) {
	end = func() {
		for _, i := range list {
			<-i.signal(syscall.SIGKILL, true)
		}
	}
	for n, z := range zones {
		i, err := newInstance(tmp, fmt.Sprintf("front-%d", n), z, zones, st.address, log)
		if err != nil {
			return list, end, err
		}
		if err := i.start(true); err != nil {
			return list, end, err
		}
		list = append(list, i)
	}
	for _, i := range list {
		if err := i.awaitReady(); err != nil {
			return list, end, err
		}
	}
	return list, end, nil
}
