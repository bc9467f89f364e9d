package admission

import (
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/scheduler"
)

const (
	classes = int(config.ClassBatch) + 1
	// fairnessQuantum is the number of weighted tokens by which an account may be
	// ahead of the least-served one before it has to wait. Within this limit, the
	// earliest deadline decides.
	fairnessQuantum = 50_000
	// classBypassLimit is how many requests of higher classes are served in a row
	// before one of a lower class, so that no class starves.
	classBypassLimit = 16
	// maxBypass is how many requests may overtake one that waits for KV cache.
	// After that, a target is reserved for it.
	maxBypass = 32
	// maxServeScan limits the entries that are tried in one round.
	maxServeScan = 64
	// rateWindow is the window over which the service rate is measured.
	rateWindow = 500 * time.Millisecond
)

// classQueueShare is the fraction of the queue limits that a class may fill, so
// that waiting batch requests leave space for interactive ones.
var classQueueShare = [classes]float64{1, 0.8, 0.5}

// outcome is the result of an entry's wait.
type outcome struct {
	grant *Grant
	err   error
}

// entry is a request in the queue.
type entry struct {
	request          *Request
	class            int
	weight           float64
	arrived          time.Time
	capacityDeadline time.Time // when the wait for available capacity ends
	// usableDeadline is when the wait for a usable target ends; zero if there is
	// one.
	usableDeadline    time.Time
	bypassed          int
	reservedTarget    uint32 // valid if hasReservedTarget
	hasReservedTarget bool
	done              chan outcome // capacity 1
}

// waitUntil returns when the wait ends in the current state.
func (e *entry) waitUntil() time.Time {
	if e.usableDeadline.IsZero() {
		return e.capacityDeadline
	}
	return e.usableDeadline
}

func newEntry(req *Request, contract config.Contract, arrived time.Time) *entry {
	weight := contract.Weight
	if weight <= 0 {
		weight = config.DefaultWeight
	}
	return &entry{
		request: req, class: min(max(int(req.Class), 0), classes-1), weight: weight,
		arrived: arrived, capacityDeadline: req.Deadline, done: make(chan outcome, 1),
	}
}

// cost returns the weighted cost, by which accounts are compared.
func (e *entry) cost() float64 { return float64(max(1, e.request.tokens())) / e.weight }

// accountQueue holds the entries of one account in a class, earliest deadline
// first.
type accountQueue struct {
	served  float64 // weighted tokens served, in the virtual time of the class
	entries []*entry
}

type classQueue struct {
	accounts    map[string]*accountQueue
	virtualTime float64 // least served of the accounts with entries
	size        int
	tokens      [lengths]int
	bypassed    int // grants of higher classes since the last one of this class
}

// queue holds the requests that wait for targets of one service.
type queue struct {
	classes [classes]classQueue
	size    int

	rates [lengths]serviceRate
}

// The service rates of short and long prompts are measured separately, because
// short prompts overtake long ones that wait for KV cache.
const (
	shortPrompts = iota
	longPrompts
	lengths
)

func lengthOf(req *Request) int {
	if req.PromptTokens >= scheduler.LongPromptTokens {
		return longPrompts
	}
	return shortPrompts
}

// serviceRate measures the tokens served per second while requests wait.
type serviceRate struct {
	windowStart time.Time
	tokens      float64
	rate        float64
}

func (r *serviceRate) add(tokens float64, now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	r.tokens += tokens
	elapsed := now.Sub(r.windowStart)
	if elapsed < rateWindow {
		return
	}
	sample := r.tokens / elapsed.Seconds()
	if r.rate == 0 {
		r.rate = sample
	}
	r.rate += 0.3 * (sample - r.rate)
	r.windowStart, r.tokens = now, 0
}

// resetWindow ends the window when no requests wait any more.
func (r *serviceRate) resetWindow() { r.windowStart, r.tokens = time.Time{}, 0 }

// wait estimates the time to serve the given tokens; it returns 0 while the rate
// is unknown. A long time without service lowers the rate.
func (r *serviceRate) wait(ahead int, now time.Time) time.Duration {
	if r.rate <= 0 || ahead == 0 {
		return 0
	}
	rate := r.rate
	if idle := now.Sub(r.windowStart); !r.windowStart.IsZero() && idle > 2*rateWindow {
		rate = min(rate, (r.tokens+1)/idle.Seconds())
	}
	return time.Duration(min(float64(ahead)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

func newQueue() *queue {
	q := &queue{}
	for i := range q.classes {
		q.classes[i].accounts = map[string]*accountQueue{}
	}
	return q
}

func (q *queue) push(e *entry) {
	k := &q.classes[e.class]
	a := k.accounts[e.request.Account]
	if a == nil {
		a = &accountQueue{}
		k.accounts[e.request.Account] = a
	}
	if len(a.entries) == 0 {
		// Idle time earns no credit.
		a.served = max(a.served, k.virtualTime)
	}
	at, _ := slices.BinarySearchFunc(a.entries, e, func(x, y *entry) int {
		if c := x.request.Deadline.Compare(y.request.Deadline); c != 0 {
			return c
		}
		return -1 // equal deadlines are served in order of arrival
	})
	a.entries = slices.Insert(a.entries, at, e)
	k.size++
	k.tokens[lengthOf(e.request)] += e.request.tokens()
	q.size++
}

// remove removes an entry and reports whether it was in the queue.
func (q *queue) remove(e *entry) bool {
	k := &q.classes[e.class]
	a := k.accounts[e.request.Account]
	if a == nil {
		return false
	}
	i := slices.Index(a.entries, e)
	if i < 0 {
		return false
	}
	a.entries = slices.Delete(a.entries, i, i+1)
	k.size--
	k.tokens[lengthOf(e.request)] -= e.request.tokens()
	q.size--
	k.advanceVirtualTime()
	if k.size == 0 {
		k.bypassed = 0
	}
	return true
}

// advanceVirtualTime advances the virtual time of the class, and deletes accounts
// that have no entries and are not ahead of it.
func (k *classQueue) advanceVirtualTime() {
	least, found := 0.0, false
	for _, a := range k.accounts {
		if len(a.entries) > 0 && (!found || a.served < least) {
			least, found = a.served, true
		}
	}
	if found {
		k.virtualTime = max(k.virtualTime, least)
	}
	for name, a := range k.accounts {
		if len(a.entries) == 0 && (k.size == 0 || a.served <= k.virtualTime) {
			delete(k.accounts, name)
		}
	}
}

// granted counts an entry as served and removes it.
func (q *queue) granted(e *entry, now time.Time) {
	if a := q.classes[e.class].accounts[e.request.Account]; a != nil {
		a.served += e.cost()
	}
	for i := e.class + 1; i < classes; i++ {
		if q.classes[i].size > 0 {
			q.classes[i].bypassed++
		}
	}
	q.classes[e.class].bypassed = 0
	q.remove(e)
	length := lengthOf(e.request)
	if q.tokensAhead(classes-1, length) == 0 {
		q.rates[length].resetWindow()
		return
	}
	q.rates[length].add(float64(e.request.tokens()), now)
}

// tokensAhead returns the waiting tokens of a class and of the higher ones.
func (q *queue) tokensAhead(class, length int) int {
	ahead := 0
	for i := range class + 1 {
		ahead += q.classes[i].tokens[length]
	}
	return ahead
}

// waitFor estimates the wait of a new request. A long prompt also waits for short
// ones, but not the reverse.
func (q *queue) waitFor(req *Request, now time.Time) time.Duration {
	class := min(max(int(req.Class), 0), classes-1)
	wait := q.rates[shortPrompts].wait(q.tokensAhead(class, shortPrompts), now)
	if lengthOf(req) == longPrompts {
		wait = max(wait, q.rates[longPrompts].wait(q.tokensAhead(class, longPrompts), now))
	}
	return wait
}

// mayBypass reports whether a new entry may be placed without queueing: no
// request of its class or a higher one waits, and no lower class has reached its
// bypass limit.
func (q *queue) mayBypass(e *entry) bool {
	for i := range q.classes {
		if i <= e.class && q.classes[i].size > 0 {
			return false
		}
		if i > e.class && q.classes[i].size > 0 && q.classes[i].bypassed >= classBypassLimit {
			return false
		}
	}
	return true
}

// serviceOrder returns up to limit entries in the order in which they are to be
// served.
func (q *queue) serviceOrder(limit int) []*entry {
	out := make([]*entry, 0, min(limit, q.size))
	for i := classes - 1; i > 0; i-- { // classes that reached their bypass limit
		if k := &q.classes[i]; k.size > 0 && k.bypassed >= classBypassLimit {
			out = k.appendOrdered(out, len(out)+1)
		}
	}
	due := len(out)
	for i := range q.classes {
		before := len(out)
		out = q.classes[i].appendOrdered(out, limit)
		for _, e := range out[:due] {
			if at := slices.Index(out[before:], e); at >= 0 {
				out = slices.Delete(out, before+at, before+at+1)
			}
		}
	}
	return out
}

// cursor iterates over the entries of an account with a copy of its served
// tokens.
type cursor struct {
	account *accountQueue
	next    int
	served  float64
}

// appendOrdered appends the entries of the class until out has limit entries.
func (k *classQueue) appendOrdered(out []*entry, limit int) []*entry {
	cursors := make([]cursor, 0, len(k.accounts))
	for _, a := range k.accounts {
		if len(a.entries) > 0 {
			cursors = append(cursors, cursor{account: a, served: a.served})
		}
	}
	for len(out) < limit {
		best := nextCursor(cursors)
		if best == nil {
			break
		}
		e := best.account.entries[best.next]
		best.next++
		best.served += e.cost()
		out = append(out, e)
	}
	return out
}

// nextCursor returns the account with the earliest deadline among those that are
// not too far ahead of the least-served one.
func nextCursor(cursors []cursor) *cursor {
	least, found := 0.0, false
	for i := range cursors {
		c := &cursors[i]
		if c.next < len(c.account.entries) && (!found || c.served < least) {
			least, found = c.served, true
		}
	}
	var best *cursor
	for i := range cursors {
		c := &cursors[i]
		if c.next >= len(c.account.entries) || c.served > least+fairnessQuantum {
			continue
		}
		if best == nil || before(c, best) {
			best = c
		}
	}
	return best
}

func before(a, b *cursor) bool {
	x, y := a.account.entries[a.next], b.account.entries[b.next]
	if c := x.request.Deadline.Compare(y.request.Deadline); c != 0 {
		return c < 0
	}
	return x.arrived.Before(y.arrived)
}

// reservedTargets returns the targets reserved for entries other than e of the
// same class or a higher one.
func (q *queue) reservedTargets(e *entry) []uint32 {
	var out []uint32
	for i := range q.classes {
		for _, a := range q.classes[i].accounts {
			for _, x := range a.entries {
				if x.hasReservedTarget && x != e && x.class <= e.class {
					out = append(out, x.reservedTarget)
				}
			}
		}
	}
	return out
}
