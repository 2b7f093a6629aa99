package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"damaskpick.example/damaskpick/platform/platformtest"
)

// paths splits a route: the new one is anonymous and has the longer prefix. Callers ask for a document whose name has an encoded slash, so that its path
// begins with the shorter prefix only.
const (
	pathsHost     = "desk.example"
	pathsKey      = "key-of-crew-1"
	pathsTenant   = "crew-1"
	oldService    = "documents"
	newService    = "public-documents"
	oldPrefix     = "/files/"
	newPrefix     = "/files/public/"
	configApply   = 2 * time.Second
	pathsRequests = 40
)

func pathsConfiguration(version int, split bool) []byte {
	route := func(name, prefix, service string, anonymous bool) map[string]any {
		return map[string]any{
			"name": name, "host": pathsHost, "pathPrefix": prefix, "kind": "safe", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2,
			"service": service, "maxAttempts": 2, "anonymous": anonymous,
		}
	}
	routes := []map[string]any{route("files", oldPrefix, oldService, false)}
	if split {
		routes = append(routes, route("public", newPrefix, newService, true))
	}
	services := make([]map[string]any, 0, 2)
	for _, name := range []string{oldService, newService} {
		services = append(services, map[string]any{"name": name, "healthCheck": "/health", "maxConnections": 100, "coldStartS": 0.0, "coldPerS": 0.0})
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": pathsTenant, "apiKeys": []string{pathsKey}}},
	})
	if err != nil {
		panic(err) // cannot happen: the value holds only strings, numbers and booleans
	}
	return value
}

// plainServer is a sound engine of a plain service.
type plainServer struct {
	rig         *rig
	id, service string

	mu sync.Mutex
	// runs holds the tenant by the id of each request that ran.
	runs map[string]string
}

func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	tenant := r.Header.Get("Tenant-Id")
	s.mu.Lock()
	s.runs[id] = tenant
	s.mu.Unlock()
	s.rig.log("server %s of %s ran %s %s tenant=%q", s.id, s.service, id, r.RequestURI, tenant)
	w.Header().Set("Response-Signature", s.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s answers %s", s.service, id)
}

// startPlain starts two servers of each service and writes their entries.
func startPlain(r *rig, services ...string) ([]*plainServer, error) {
	var servers []*plainServer
	for _, service := range services {
		for i := range 2 {
			s := &plainServer{rig: r, id: fmt.Sprintf("i-%s-%d", service, i), service: service, runs: map[string]string{}}
			address, err := r.serve("127.0.0.1:0", s)
			if err != nil {
				return nil, err
			}
			entry := platformtest.Endpoint{ID: s.id, Service: service, DataCentre: "zone-a", Slots: 6}
			r.store.Put("keyed.servers", s.id, entry.Entry(address, "ready"))
			servers = append(servers, s)
		}
	}
	return servers, nil
}

// paths counts the requests that were run by a service to which no configuration allows them to go.
func paths(r *rig) (int, error) {
	servers, err := startPlain(r, oldService, newService)
	if err != nil {
		return exitNotRun, err
	}
	r.store.Put("keyed.op", "config", pathsConfiguration(3, false))
	for i := range 3 {
		if err := r.startNode(fmt.Sprintf("front-%d", i), "zone-a"); err != nil {
			return exitNotRun, err
		}
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return exitNotRun, err
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.store.Put("keyed.op", "config", pathsConfiguration(7, true))
		r.log("the store has accepted version 7, which splits %s off %s", newPrefix, oldPrefix)
	}
	time.Sleep(configApply + 3*time.Second)
	type sent struct{ target, key string }
	requests := map[string]sent{}
	for i := range pathsRequests {
		for _, s := range []sent{
			{fmt.Sprintf("/files/%d", i), pathsKey},
			{fmt.Sprintf("/files/public%%2F%d", i), pathsKey},
			{fmt.Sprintf("/files/public%%2F%d", i), "key-of-nobody"},
			{fmt.Sprintf("/files/%d", i), "key-of-nobody"},
		} {
			id := fmt.Sprintf("%016x", 1000+len(requests))
			requests[id] = s
			n := r.nodes[i%len(r.nodes)]
			got := send(r.ctx, n.callers, fmt.Sprintf(
				"GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 1000\r\nKey: %s\r\nConnection: close\r\n\r\n", s.target, pathsHost, id, s.key,
			), 2*time.Second)
			r.log("client sent %s GET %s key=%s to %s: %d %q %v", id, s.target, s.key, n.name, got.status, got.body, got.err)
			if got.status == http.StatusOK && got.err != nil {
				return exitNotRun, got.err
			}
		}
	}
	return judgePaths(r, servers, func(id string) (string, string) { return requests[id].target, requests[id].key }), nil
}

// judgePaths applies the rule ROUTE: the configurations that were sent allow a path to go to the service of the longest prefix that begins it.
func judgePaths(r *rig, servers []*plainServer, request func(id string) (target, key string)) int {
	byOther, byUnknownKey, ran := 0, 0, 0
	for _, s := range servers {
		s.mu.Lock()
		for id := range s.runs {
			target, key := request(id)
			ran++
			allowed := strings.HasPrefix(target, oldPrefix) && s.service == oldService || strings.HasPrefix(target, newPrefix) && s.service == newService
			if !allowed {
				byOther++
				r.log("ROUTE broken: %s, %s, was run by %s", id, target, s.service)
			}
			if key != pathsKey && !strings.HasPrefix(target, newPrefix) {
				byUnknownKey++
				r.log("ROUTE broken: %s, %s, was run with the key %s, which no configuration ever held", id, target, key)
			}
		}
		s.mu.Unlock()
	}
	r.log("%d requests ran; %d at a service to which no configuration allows them to go, %d with a key that none ever held", ran, byOther, byUnknownKey)
	if ran == 0 {
		return exitNotRun
	}
	if byOther+byUnknownKey > 0 {
		return exitBroken
	}
	return exitHeld
}
