package admission

import (
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/scheduler"
)

const (
	classes = int(config.ClassBatch) + 1
	// fairnessQuantum is the lead in weighted tokens that an account may have
	// over the one served least before it has to wait. Within it the earliest
	// deadline decides.
	fairnessQuantum = 50_000
	// classBypassLimit is how many requests of higher classes are served in a
	// row before one of a lower class, so that no class starves.
	classBypassLimit = 16
	// maxBypass is how many requests may pass one that waits for memory. Then
	// a target is kept free for it.
	maxBypass = 32
	// maxServeScan bounds the entries that are tried in one round.
	maxServeScan = 64
	// rateWindow is the window over which the service rate is measured.
	rateWindow = 500 * time.Millisecond
)

// queueShare is the part of the queue's bounds that a class may fill, so that
// waiting batch work leaves space for interactive work.
var queueShare = [classes]float64{1, 0.8, 0.5}

// outcome ends the wait of an entry.
type outcome struct {
	grant *Grant
	err   error
}

// entry is a request in the queue.
type entry struct {
	work    *Request
	class   int
	weight  float64
	arrived time.Time
	latest  time.Time // when the wait for room ends
	// unavailable is when the wait for a usable target ends, zero if there is one.
	unavailable time.Time
	bypassed    int
	earmark     uint32 // target kept free, valid if blocked
	blocked     bool
	done        chan outcome // of capacity 1
}

// waitUntil returns when the wait ends as things are.
func (e *entry) waitUntil() time.Time {
	if e.unavailable.IsZero() {
		return e.latest
	}
	return e.unavailable
}

func newEntry(w *Request, contract config.Contract, arrived time.Time) *entry {
	weight := contract.Weight
	if weight <= 0 {
		weight = config.DefaultWeight
	}
	return &entry{
		work: w, class: min(max(int(w.Class), 0), classes-1), weight: weight,
		arrived: arrived, latest: w.Deadline, done: make(chan outcome, 1),
	}
}

// cost is the weighted cost by which accounts are compared.
func (e *entry) cost() float64 { return float64(max(1, e.work.tokens())) / e.weight }

// accountQueue holds the entries of one account in a class, the earliest
// deadline first.
type accountQueue struct {
	served  float64 // weighted tokens served, on the virtual clock of the class
	entries []*entry
}

type classQueue struct {
	accounts map[string]*accountQueue
	virtual  float64 // least served of the accounts that wait
	size     int
	tokens   [lengths]int
	bypassed int // grants of higher classes since the last of this one
}

// queue holds the requests that wait for targets of one service.
type queue struct {
	classes [classes]classQueue
	size    int

	rates [lengths]serviceRate
}

// Short and long prompts are served at their own rates, because short ones
// pass long ones that wait for memory.
const (
	shortPrompts = iota
	longPrompts
	lengths
)

func lengthOf(w *Request) int {
	if w.PromptTokens >= scheduler.LongPromptTokens {
		return longPrompts
	}
	return shortPrompts
}

// serviceRate measures the tokens per second that are served while requests
// wait.
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

// pause ends the window when nothing waits any more.
func (r *serviceRate) pause() { r.windowStart, r.tokens = time.Time{}, 0 }

// wait estimates how long it takes to serve some tokens; it is 0 while the rate
// is not known. A long time without service lowers the rate.
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
	a := k.accounts[e.work.Account]
	if a == nil {
		a = &accountQueue{}
		k.accounts[e.work.Account] = a
	}
	if len(a.entries) == 0 {
		// Time without requests earns no credit.
		a.served = max(a.served, k.virtual)
	}
	at, _ := slices.BinarySearchFunc(a.entries, e, func(x, y *entry) int {
		if c := x.work.Deadline.Compare(y.work.Deadline); c != 0 {
			return c
		}
		return -1 // equal deadlines are served in order of arrival
	})
	a.entries = slices.Insert(a.entries, at, e)
	k.size++
	k.tokens[lengthOf(e.work)] += e.work.tokens()
	q.size++
}

// remove takes an entry out and reports whether it was there.
func (q *queue) remove(e *entry) bool {
	k := &q.classes[e.class]
	a := k.accounts[e.work.Account]
	if a == nil {
		return false
	}
	i := slices.Index(a.entries, e)
	if i < 0 {
		return false
	}
	a.entries = slices.Delete(a.entries, i, i+1)
	k.size--
	k.tokens[lengthOf(e.work)] -= e.work.tokens()
	q.size--
	k.tidy()
	if k.size == 0 {
		k.bypassed = 0
	}
	return true
}

// tidy advances the virtual clock and forgets accounts without entries that
// are not ahead of it.
func (k *classQueue) tidy() {
	least, any := 0.0, false
	for _, a := range k.accounts {
		if len(a.entries) > 0 && (!any || a.served < least) {
			least, any = a.served, true
		}
	}
	if any {
		k.virtual = max(k.virtual, least)
	}
	for name, a := range k.accounts {
		if len(a.entries) == 0 && (k.size == 0 || a.served <= k.virtual) {
			delete(k.accounts, name)
		}
	}
}

// granted counts an entry as served and takes it out.
func (q *queue) granted(e *entry, now time.Time) {
	if a := q.classes[e.class].accounts[e.work.Account]; a != nil {
		a.served += e.cost()
	}
	for i := e.class + 1; i < classes; i++ {
		if q.classes[i].size > 0 {
			q.classes[i].bypassed++
		}
	}
	q.classes[e.class].bypassed = 0
	q.remove(e)
	length := lengthOf(e.work)
	if q.tokensAhead(classes-1, length) == 0 {
		q.rates[length].pause()
		return
	}
	q.rates[length].add(float64(e.work.tokens()), now)
}

// tokensAhead sums the waiting tokens of a class and the higher ones.
func (q *queue) tokensAhead(class, length int) int {
	ahead := 0
	for i := range class + 1 {
		ahead += q.classes[i].tokens[length]
	}
	return ahead
}

// waitFor estimates the wait of a new request. A long prompt waits for short
// ones too, and not the other way round.
func (q *queue) waitFor(w *Request, now time.Time) time.Duration {
	class := min(max(int(w.Class), 0), classes-1)
	wait := q.rates[shortPrompts].wait(q.tokensAhead(class, shortPrompts), now)
	if lengthOf(w) == longPrompts {
		wait = max(wait, q.rates[longPrompts].wait(q.tokensAhead(class, longPrompts), now))
	}
	return wait
}

// passes reports whether a new entry may be tried before the queue: nothing of
// its class or a higher one waits, and no lower class is due.
func (q *queue) passes(e *entry) bool {
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

// order returns up to limit entries in the order of service.
func (q *queue) order(limit int) []*entry {
	out := make([]*entry, 0, min(limit, q.size))
	for i := classes - 1; i > 0; i-- { // classes that were passed too often
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

// cursor walks an account's entries on a copy of its served tokens.
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

// nextCursor chooses the account with the earliest deadline among those that
// are not far ahead of the one served least.
func nextCursor(cursors []cursor) *cursor {
	least, any := 0.0, false
	for i := range cursors {
		c := &cursors[i]
		if c.next < len(c.account.entries) && (!any || c.served < least) {
			least, any = c.served, true
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
	if c := x.work.Deadline.Compare(y.work.Deadline); c != 0 {
		return c < 0
	}
	return x.arrived.Before(y.arrived)
}

// earmarked returns the targets kept free for entries other than e, of the same
// class or a higher one.
func (q *queue) earmarked(e *entry) []uint32 {
	var out []uint32
	for i := range q.classes {
		for _, a := range q.classes[i].accounts {
			for _, x := range a.entries {
				if x.blocked && x != e && x.class <= e.class {
					out = append(out, x.earmark)
				}
			}
		}
	}
	return out
}
