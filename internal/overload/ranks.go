package overload

import "github.com/oriolefront/oriolefront/internal/topology"

// RanksDiffer reports whether routes of one engine service have different priorities.
func RanksDiffer(config *topology.Config) bool {
	if config == nil {
		return false
	}
	for _, s := range config.Services {
		if top, lowest, ok := ranks(config, s.Name); ok && s.Engine != nil && top != lowest {
			return true
		}
	}
	return false
}

// TopRank returns the highest rank of the routes of a service, 0 if it has none.
func TopRank(config *topology.Config, service string) int {
	top, _, _ := ranks(config, service)
	return top
}

// ranks returns the highest and the lowest priority of the routes of a service.
func ranks(config *topology.Config, service string) (top, lowest int, ok bool) {
	for _, r := range config.Routes {
		for _, share := range r.Shares {
			if share.Service != service {
				continue
			}
			if !ok {
				top, lowest, ok = r.Priority, r.Priority, true
			}
			top, lowest = min(top, r.Priority), max(lowest, r.Priority)
		}
	}
	return top, lowest, ok
}
