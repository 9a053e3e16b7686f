package toucanbackend

import "time"

const (
	// originHalvingInterval is the interval at which the counts of origins are
	// halved.
	originHalvingInterval = 5 * time.Second
	// originMinCalls is the number of counted calls of a route below which the
	// route is not taken for one of calls between backend servers.
	originMinCalls = 20
	// originMinServices is the number of services that calls must come from before
	// routes can be told apart.
	originMinServices = 3
)

// origins counts the services that the calls of each route come from, to tell the
// routes that callers use from those for calls between backend servers. Callers
// send their requests to nodes of all services alike. The calls of a backend server
// come only from the nodes of its own service. The zero value is ready to use.
type origins struct {
	routes   map[string]map[string]int // number of calls, by route and by service of the VM that they come from
	services map[string]struct{}       // services that occur in routes
	halvedAt time.Time
}

// countCall counts a call and reports whether its route carries calls that backend
// servers make: whether the calls of the route come from at most half of the
// services that any calls come from.
func (o *origins) countCall(route, service string, now time.Time) bool {
	if now.Sub(o.halvedAt) >= originHalvingInterval {
		o.halveCounts()
		o.halvedAt = now
	}
	counts := o.routes[route]
	if counts == nil {
		if o.routes == nil {
			o.routes, o.services = make(map[string]map[string]int), make(map[string]struct{})
		}
		counts = make(map[string]int)
		o.routes[route] = counts
	}
	counts[service]++
	o.services[service] = struct{}{}
	total := 0
	for _, n := range counts {
		total += n
	}
	serviceCount := len(o.services)
	return total >= originMinCalls && serviceCount >= originMinServices && 2*len(counts) <= serviceCount
}

// halveCounts halves all counts and removes those that become 0.
func (o *origins) halveCounts() {
	clear(o.services)
	for route, counts := range o.routes {
		for service := range counts {
			if counts[service] /= 2; counts[service] == 0 {
				delete(counts, service)
			} else {
				o.services[service] = struct{}{}
			}
		}
		if len(counts) == 0 {
			delete(o.routes, route)
		}
	}
}
