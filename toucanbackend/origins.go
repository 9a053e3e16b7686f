package toucanbackend

import "time"

const (
	// originTime is the time after which the counts of origins are halved.
	originTime = 5 * time.Second
	// originMin is the number of calls from which the origins of a route are
	// judged.
	originMin = 20
	// originServices is the least number of services that calls must come from
	// before routes can be told apart.
	originServices = 3
)

// origins counts where the calls of each route come from. Callers send their
// requests to the nodes of all services alike; calls that backend servers make
// come from the nodes of their own services only. Its zero value is ready to
// use.
type origins struct {
	routes   map[string]map[string]int // calls by route and service of the VM they come from
	services map[string]struct{}       // services in routes
	halved   time.Time
}

// note counts a call and reports whether its route carries calls of backend
// servers: whether it comes from at most half of the services that calls come
// from.
func (o *origins) note(route, service string, now time.Time) bool {
	if now.Sub(o.halved) >= originTime {
		o.halve()
		o.halved = now
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
	all := len(o.services)
	return total >= originMin && all >= originServices && 2*len(counts) <= all
}

func (o *origins) halve() {
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
