package inflight

import "time"

// Each calls f for each request in flight of each VM, with the name of the VM that reported it, ""
// for this one. f must not use the registry.
func (reg *Registry) Each(f func(vm string, s RequestState)) {
	now := time.Now()
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for r := range reg.local {
		f("", r.state(now))
	}
	for name, requests := range reg.peers {
		for _, r := range requests {
			if !r.Ended {
				f(name, r.at(now))
			}
		}
	}
}

// at returns the state of a request at a later time than that of its report.
func (r peerRequest) at(now time.Time) RequestState {
	s, age := r.RequestState, now.Sub(r.reportedAt)
	s.Age += age
	if s.Decoding {
		s.DecodingFor += age
	}
	return s
}
