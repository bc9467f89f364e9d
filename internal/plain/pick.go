package plain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
)

// failureBackoff is how long a target that failed is chosen only if no other can take the
// request.
const failureBackoff = 2 * time.Second

// picker chooses targets by the number of requests that this VM has in flight there.
type picker struct {
	share        func(target string, maxRunning int) int
	index        atomic.Pointer[serviceIndex]
	mu           sync.Mutex
	inFlight     map[string]int
	backoffUntil map[string]time.Time // end of the back-off
}

// serviceIndex lists the targets of each service of a configuration that may get new
// requests.
type serviceIndex struct {
	cfg     *config.Config
	targets map[string][]string
}

func newPicker(share func(string, int) int) *picker {
	return &picker{share: share, inFlight: map[string]int{}, backoffUntil: map[string]time.Time{}}
}

// targetsOf returns the targets of a service that may get new requests. The index is built
// once for each configuration.
func (p *picker) targetsOf(cfg *config.Config, service string) []string {
	if i := p.index.Load(); i != nil && i.cfg == cfg {
		return i.targets[service]
	}
	i := &serviceIndex{cfg: cfg, targets: map[string][]string{}}
	for name, t := range cfg.Targets {
		if !t.Leaving && !cfg.Zones[t.Zone].OutOfService {
			i.targets[t.Service] = append(i.targets[t.Service], name)
		}
	}
	p.index.Store(i)
	return i.targets[service]
}

// count returns how many targets of a service may get new requests.
func (p *picker) count(cfg *config.Config, service string) int {
	return len(p.targetsOf(cfg, service))
}

// targetSlot is a slot acquired on a target.
type targetSlot struct {
	picker  *picker
	name    string
	address string
	reason  string
}

// acquire takes a slot of the target with the fewest requests in flight. Targets that failed
// recently come last; ties are broken at random.
func (p *picker) acquire(cfg *config.Config, service string, exclude []string) (*targetSlot, bool) {
	names := p.targetsOf(cfg, service)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestScore, ties, full := "", 0, 0, 0
	for _, name := range names {
		n := p.inFlight[name]
		if slices.Contains(exclude, name) {
			continue
		}
		if n >= p.share(name, cfg.Targets[name].MaxRunning) {
			full++
			continue
		}
		score := n
		if p.inBackoffLocked(name, now) {
			score += 1 << 30 // behind every target that did not fail
		}
		switch {
		case best == "" || score < bestScore:
			best, bestScore, ties = name, score, 1
		case score == bestScore:
			ties++
			if rand.N(ties) == 0 {
				best = name
			}
		}
	}
	if best == "" {
		return nil, false
	}
	p.inFlight[best]++
	reason := fmt.Sprintf("in_flight=%d of=%d full=%d excluded=%d", bestScore&(1<<30-1), len(names), full, len(exclude))
	return &targetSlot{picker: p, name: best, address: cfg.Targets[best].Address, reason: reason}, true
}

func (p *picker) inBackoffLocked(name string, now time.Time) bool {
	until, ok := p.backoffUntil[name]
	if ok && now.After(until) {
		delete(p.backoffUntil, name)
		return false
	}
	return ok
}

// release frees the slot and records whether the target failed.
func (s *targetSlot) release(failed bool) {
	p := s.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[s.name]--
	if p.inFlight[s.name] == 0 {
		delete(p.inFlight, s.name)
	}
	if failed {
		p.backoffUntil[s.name] = time.Now().Add(failureBackoff)
	}
}
