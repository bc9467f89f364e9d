package scheduler

import "slices"

// maxScan limits the candidates that one decision examines, to keep it below 5
// microseconds when most targets are full.
const maxScan = 32

// strides are primes larger than any number of candidates, so that stepping by
// one of them visits each position once.
var strides = [...]uint64{1000003, 1299709, 1500450271, 15485863, 32452843, 49979687, 67867967, 86028121}

// decider holds the state of one decision on the stack.
type decider struct {
	snapshot *Snapshot
	policy   *Policy
	request  *Request
	capacity CapacityReader
	list     *candidates
	holders  Holders
	decision Decision
	best     float64
}

// Pick chooses a target for r. It does not allocate.
func Pick(s *Snapshot, p *Policy, r *Request, available CapacityReader, prefixes PrefixIndex) Decision {
	k := decider{snapshot: s, policy: p, request: r, capacity: available, list: s.Index.find(r.Service, r.Model)}
	k.decision.Level = p.LevelOf(r.Class, r.PromptTokens)
	if k.list == nil {
		return k.decision
	}
	k.decision.Candidates = len(k.list.ids)
	if prefixes != nil && len(r.Prefix) > 0 && p.Mode == ModeEstimate {
		k.holders = prefixes.Holders(r.Prefix)
	}
	k.pass(true)
	if !k.decision.OK && k.decision.Rejected[FilterLongFree] > 0 {
		k.pass(false)
	}
	return k.decision
}

// pass examines candidates once. If soft is true, it leaves out the targets that
// are reserved for short prompts.
func (k *decider) pass(soft bool) {
	k.decision.Examined, k.decision.Scored, k.decision.Rejected = 0, 0, [filterCount]int{}
	if k.policy.Mode == ModeRoundRobin {
		k.roundRobin()
		return
	}
	sample := k.policy.Sample
	if k.policy.Mode == ModeLeastInFlight {
		sample = maxScan
	}
	k.considerPrefixHolders(soft)
	k.scan(sample+k.decision.Scored, soft)
}

// scan scores candidates in a random order until enough of them have passed the
// filters.
func (k *decider) scan(sample int, soft bool) {
	n := uint64(len(k.list.ids))
	random := mix(k.request.Seed)
	start := random % n
	stride := strides[(random>>32)%uint64(len(strides))] % n
	if n == 1 {
		stride = 0
	}
	for i := uint64(0); i < min(n, maxScan) && k.decision.Scored < sample; i++ {
		position := int((start + i*stride) % n)
		if id := k.list.ids[position]; k.cached(id) == 0 {
			k.consider(id, position, soft)
		}
	}
}

// considerPrefixHolders scores the targets that hold the prompt's prefix.
func (k *decider) considerPrefixHolders(soft bool) {
	for i := range k.holders.Count {
		id := k.holders.List[i].ID
		if int(id) < len(k.snapshot.Targets) && k.snapshot.Targets[id].Declared.Service == k.request.Service {
			if position := k.position(id); position >= 0 {
				k.consider(id, position, soft)
			}
		}
	}
}

// position returns the position of an id in the candidate list, or -1. It
// searches in hash order.
func (k *decider) position(id uint32) int {
	low, _ := slices.BinarySearch(k.list.hashes, nameHash(k.snapshot.Targets[id].Name))
	if low < len(k.list.ids) && k.list.ids[low] == id {
		return low
	}
	return -1
}

// consider filters and scores one candidate, and keeps the best one.
func (k *decider) consider(id uint32, position int, soft bool) {
	k.decision.Examined++
	if f := k.rejectedBy(id, position, soft); f != passed {
		k.decision.Rejected[f]++
		return
	}
	k.decision.Scored++
	t := &k.snapshot.Targets[id]
	cached := min(k.cached(id), max(0, k.request.PromptTokens-1))
	score := scoreTarget(k.policy, t, k.request, cached)
	value := score.Sum()
	if k.policy.Mode == ModeLeastInFlight {
		value = float64(t.Local.Running.Load())
	}
	if k.decision.OK && value >= k.best {
		return
	}
	k.accept(id, cached, score)
	k.best = value
}

func (k *decider) accept(id uint32, cached int, score Score) {
	d := &k.decision
	d.OK, d.ID, d.Target, d.Cached, d.Score = true, id, &k.snapshot.Targets[id], cached, score
	d.Backlog = score[TermBacklog] * d.Target.PrefillRate
}

func (k *decider) cached(id uint32) int {
	for i := range k.holders.Count {
		if k.holders.List[i].ID == id {
			return k.holders.List[i].Tokens
		}
	}
	return 0
}

// roundRobin takes the next candidate that passes the filters.
func (k *decider) roundRobin() {
	n := len(k.list.ids)
	start := k.list.next.Add(1)
	for i := 0; i < min(n, maxScan) && !k.decision.OK; i++ {
		position := int((start + uint64(i)) % uint64(n))
		k.consider(k.list.ids[position], position, false)
	}
}

// mix spreads the bits of x (splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
