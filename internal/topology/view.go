package topology

import (
	"sort"
	"strings"
	"sync/atomic"
)

// View is a consistent snapshot of everything that decisions about a request
// depend on.
type View struct {
	*configIndex
	// ZonesOutOfService are the zones whose targets get no new requests.
	ZonesOutOfService map[string]bool

	targets []*Target
	usable  map[string][]*Target
}

// configIndex is a configuration with its lookup tables. Views of the same
// configuration share it.
type configIndex struct {
	// Config is nil until a configuration is known.
	Config *Config

	services map[string]*Service
	hosts    map[string][]*Route // longest prefix first
	keys     map[string]*Account
}

// NewView builds a view and its lookup tables.
func NewView(config *Config, targets []*Target, zonesOut map[string]bool) *View {
	return newView(indexConfig(config), targets, zonesOut)
}

// With returns a view of the same configuration with other targets and zones.
func (v *View) With(targets []*Target, zonesOut map[string]bool) *View {
	return newView(v.configIndex, targets, zonesOut)
}

func newView(index *configIndex, targets []*Target, zonesOut map[string]bool) *View {
	v := &View{configIndex: index, ZonesOutOfService: zonesOut, targets: targets, usable: map[string][]*Target{}}
	for _, t := range targets {
		if !t.Draining && !zonesOut[t.Zone] {
			v.usable[t.Service] = append(v.usable[t.Service], t)
		}
	}
	return v
}

func indexConfig(config *Config) *configIndex {
	v := &configIndex{
		Config: config, services: map[string]*Service{}, hosts: map[string][]*Route{}, keys: map[string]*Account{},
	}
	if config == nil {
		return v
	}
	for i := range v.Config.Services {
		s := &v.Config.Services[i]
		v.services[s.Name] = s
	}
	for i := range v.Config.Routes {
		r := &v.Config.Routes[i]
		v.hosts[r.Host] = append(v.hosts[r.Host], r)
	}
	for _, routes := range v.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	for i := range v.Config.Accounts {
		a := &v.Config.Accounts[i]
		for _, key := range a.Keys {
			v.keys[key] = a
		}
	}
	return v
}

// Route returns the route of a request, or nil. The path is as the caller sent
// it, without the query.
func (v *View) Route(host, path string) *Route {
	for _, r := range v.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that owns a key, or nil.
func (v *View) Account(key string) *Account { return v.keys[key] }

// Service returns a service by name, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// Usable returns the targets of a service that may get new requests.
func (v *View) Usable(service string) []*Target { return v.usable[service] }

// Targets returns all targets, including those that get no new requests.
func (v *View) Targets() []*Target { return v.targets }

// Holder holds the current view.
type Holder struct {
	current atomic.Pointer[View]
}

// NewHolder returns a holder of an empty view.
func NewHolder() *Holder {
	h := &Holder{}
	h.Set(NewView(nil, nil, nil))
	return h
}

// Get returns the current view.
func (h *Holder) Get() *View { return h.current.Load() }

// Set replaces the current view.
func (h *Holder) Set(v *View) { h.current.Store(v) }
