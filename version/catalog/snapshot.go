package catalog

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Snapshot is all that is known at one moment. It is not changed once it is
// published.
type Snapshot struct {
	// Config is the configuration in force; nil before the first.
	Config *Config
	// ServersKnown says that the list of servers has been read once.
	ServersKnown bool
	// Servers are the listed servers by ID.
	Servers map[string]*Server
	// Out are the data centres that operators have taken out.
	Out map[string]bool
	// Weights are the newest declared weights by model.
	Weights map[string]Weights

	hosts    map[string][]*Route
	accounts map[string]*Account
	services map[string][]*Server
}

// Complete reports whether requests can be judged by the snapshot.
func (s *Snapshot) Complete() bool { return s.Config != nil && s.ServersKnown }

// Route returns the route of the longest prefix for a host and path, nil when
// there is none.
func (s *Snapshot) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range s.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds a key, nil when there is none.
func (s *Snapshot) Account(key string) *Account { return s.accounts[key] }

// ServersOf returns the servers of a service, ordered by ID.
func (s *Snapshot) ServersOf(service string) []*Server { return s.services[service] }

// index builds the lookups.
func (s *Snapshot) index() {
	s.services = map[string][]*Server{}
	for _, v := range s.Servers {
		s.services[v.Service] = append(s.services[v.Service], v)
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	if s.Config == nil || s.hosts != nil {
		return
	}
	s.hosts = map[string][]*Route{}
	for i := range s.Config.Routes {
		r := &s.Config.Routes[i]
		host := strings.ToLower(r.Host)
		s.hosts[host] = append(s.hosts[host], r)
	}
	for _, list := range s.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	s.accounts = map[string]*Account{}
	for i := range s.Config.Accounts {
		a := &s.Config.Accounts[i]
		for _, key := range a.Keys {
			s.accounts[key] = a
		}
	}
}

// Origin returns the source of weights that the configuration names; nil when
// there is none.
func (s *Snapshot) Origin() *Origin {
	if s.Config == nil {
		return nil
	}
	for _, v := range s.Config.Services {
		if v.Origin != nil {
			return v.Origin
		}
	}
	return nil
}

// Declared returns the versions of all models that became known within the
// last while, oldest and newest alike.
func (s *Snapshot) Declared(now time.Time, within time.Duration) []Weights {
	var all []Weights
	for _, w := range s.Weights {
		for _, v := range append([]Weights{w}, w.Before...) {
			if !v.Guessed && now.Sub(v.Known) < within {
				all = append(all, Weights{Model: v.Model, Version: v.Version, Known: v.Known})
			}
		}
	}
	return all
}

// Cold reports whether a server is cold at a time.
func (v *Server) Cold(now time.Time) bool { return now.Before(v.ColdUntil) }

// Allowed reports whether a list of regions admits one; an empty list admits
// all.
func Allowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
