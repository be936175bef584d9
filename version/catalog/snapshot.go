package catalog

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Snapshot is the content of the catalog at one moment. It must not be changed
// after it is published.
type Snapshot struct {
	// Config is the current configuration; nil until the first configuration
	// arrives.
	Config *Config
	// ServersKnown reports whether the list of servers has been read at least
	// once.
	ServersKnown bool
	// Servers are the listed backend servers by ID.
	Servers map[string]*Server
	// DataCentresOut contains the names of the data centres that operators have
	// taken out of service.
	DataCentresOut map[string]bool
	// Weights maps each model to the newest declared version of its weights.
	Weights map[string]Weights

	routesByHost     map[string][]*Route
	routesByName     map[string]*Route
	accountsByKey    map[string]*Account
	accountsByName   map[string]*Account
	serversByService map[string][]*Server
}

// Complete reports whether the snapshot has what is needed to handle requests: a
// configuration and the list of servers.
func (s *Snapshot) Complete() bool { return s.Config != nil && s.ServersKnown }

// Route returns the route for host whose Prefix matches path, or nil when there
// is none. If several routes match, it returns the route with the longest Prefix.
// A port in host is ignored.
func (s *Snapshot) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range s.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account with an API key, or nil when there is
// none.
func (s *Snapshot) Account(key string) *Account { return s.accountsByKey[key] }

// RouteNamed returns the route with a name, or nil when there is none.
func (s *Snapshot) RouteNamed(name string) *Route { return s.routesByName[name] }

// AccountNamed returns the client account with a name, or nil when there is none.
func (s *Snapshot) AccountNamed(name string) *Account { return s.accountsByName[name] }

// ServersOf returns the servers of a service, ordered by ID.
func (s *Snapshot) ServersOf(service string) []*Server { return s.serversByService[service] }

// buildIndexes builds the lookup maps. It builds those of routes and accounts only when
// routesByHost is nil, which means that the configuration has changed.
func (s *Snapshot) buildIndexes() {
	s.serversByService = map[string][]*Server{}
	for _, server := range s.Servers {
		s.serversByService[server.Service] = append(s.serversByService[server.Service], server)
	}
	for _, list := range s.serversByService {
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	if s.Config == nil || s.routesByHost != nil {
		return
	}
	s.routesByHost, s.routesByName = map[string][]*Route{}, map[string]*Route{}
	for i := range s.Config.Routes {
		r := &s.Config.Routes[i]
		host := strings.ToLower(r.Host)
		s.routesByHost[host] = append(s.routesByHost[host], r)
		s.routesByName[r.Name] = r
	}
	for _, list := range s.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	s.accountsByKey, s.accountsByName = map[string]*Account{}, map[string]*Account{}
	for i := range s.Config.Accounts {
		a := &s.Config.Accounts[i]
		s.accountsByName[a.Name] = a
		for _, key := range a.Keys {
			s.accountsByKey[key] = a
		}
	}
}

// Origin returns the configured server from which weights are downloaded, or nil
// when there is none.
func (s *Snapshot) Origin() *Origin {
	if s.Config == nil {
		return nil
	}
	for _, service := range s.Config.Services {
		if service.Origin != nil {
			return service.Origin
		}
	}
	return nil
}

// RecentVersions returns the versions that were declared less than maxAge before
// now, for all models, including versions that are no longer the newest. Versions
// whose DeclaredAt is only an estimate are left out.
func (s *Snapshot) RecentVersions(now time.Time, maxAge time.Duration) []Weights {
	var recent []Weights
	for _, newest := range s.Weights {
		for _, w := range append([]Weights{newest}, newest.EarlierVersions...) {
			if !w.DeclaredAtEstimated && now.Sub(w.DeclaredAt) < maxAge {
				recent = append(recent, Weights{Model: w.Model, Version: w.Version, DeclaredAt: w.DeclaredAt})
			}
		}
	}
	return recent
}

// Cold reports whether the server is in its cold period at time now.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// RegionAllowed reports whether regions contains region; an empty list allows every
// region.
func RegionAllowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
