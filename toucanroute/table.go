// Package toucanroute maps requests to services by versioned routes.
package toucanroute

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Share is one service of a route with its weight among the services of the route.
type Share struct {
	Service string
	Weight  int
}

// Route maps the requests of one host and path prefix to services and sets their
// timeout, latency objective, priority and retry rules.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Repeatable bool   // a request may run more than once
	Timeout    time.Duration
	Target     time.Duration // latency objective
	Priority   int           // 0 is served first
	MaxServers int           // limit on the attempts in which a backend server may have run the request
	Shares     []Share
}

// Limits bounds the size of a caller's request, the time that it takes to send its
// header, and the time that its connection is idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version uint64
	Routes  []Route
	Limits  Limits
	byHost  map[string][]*Route // longest prefix first
	health  map[string]string   // path of the health check by service
}

// maxWeight bounds the weight of a service, so that sums of weights do not overflow.
const maxWeight = 1_000_000_000

// DefaultLimits returns the limits that hold while no configuration is known, and for the
// fields of one that are 0.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// withDefaults returns the limits with DefaultLimits in place of 0.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	return Limits{
		HeaderBytes: cmp.Or(l.HeaderBytes, d.HeaderBytes), BodyBytes: cmp.Or(l.BodyBytes, d.BodyBytes),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, d.HeaderTimeout), IdleTimeout: cmp.Or(l.IdleTimeout, d.IdleTimeout),
	}
}

// validate returns an error if a limit is negative.
func (l Limits) validate() error {
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return fmt.Errorf("limits %+v are out of range", l)
	}
	return nil
}

// RouteError describes what is invalid in a route.
type RouteError struct {
	Name   string
	Reason string
}

func (e *RouteError) Error() string { return fmt.Sprintf("route %q: %s", e.Name, e.Reason) }

// NewTable validates and indexes the routes, whose services must be among the given
// ones. An invalid route is reported as a *RouteError.
func NewTable(version uint64, routes []Route, services []string, limits Limits) (*Table, error) {
	if err := limits.validate(); err != nil {
		return nil, err
	}
	t := &Table{Version: version, Routes: routes, Limits: limits.withDefaults(), byHost: make(map[string][]*Route)}
	known := make(map[string]bool, len(services))
	for _, s := range services {
		known[s] = true
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(known); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

func (r *Route) validate(services map[string]bool) error {
	invalid := func(format string, args ...any) error {
		return &RouteError{Name: r.Name, Reason: fmt.Sprintf(format, args...)}
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		return invalid("timeout %v is not positive", r.Timeout)
	}
	if r.Target <= 0 {
		return invalid("latency objective %v is not positive", r.Target)
	}
	if r.MaxServers < 1 {
		return invalid("at most %d backend servers per request, want at least 1", r.MaxServers)
	}
	total := 0
	for _, s := range r.Shares {
		if !services[s.Service] {
			return invalid("unknown service %q", s.Service)
		}
		if s.Weight < 0 || s.Weight > maxWeight {
			return invalid("weight %d of service %q, want 0 to %d", s.Weight, s.Service, maxWeight)
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid("no service with a weight")
	}
	return nil
}

// WithHealthPaths returns the table with the paths of the health checks of services. A path
// that does not begin with a slash is left out.
func (t *Table) WithHealthPaths(paths map[string]string) *Table {
	with := *t
	with.health = maps.Clone(paths)
	maps.DeleteFunc(with.health, func(_, path string) bool { return !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " \r\n") })
	return &with
}

// HealthPath returns the path of the health check of a service, or "" if that is unknown.
func (t *Table) HealthPath(service string) string { return t.health[service] }

// Match returns the route of the host with the longest prefix that matches the path,
// or nil if there is none. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
