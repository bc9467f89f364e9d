package admission

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/membership"
)

const (
	// demandWindow is the window over which demand is measured.
	demandWindow = 500 * time.Millisecond
	// peerDemandAge is how long a peer's reported demand is valid. A peer that is
	// silent for longer is assumed to use its whole share.
	peerDemandAge = 2 * time.Second
	// burstWindow is the period whose share of the limit may be used at once.
	burstWindow = time.Second
	// shareMargin multiplies a peer's demand when its unused share is computed,
	// so that a small rise of its demand does not exceed the limit.
	shareMargin = 1.2
	// maxReportedAccounts limits the attachment to about 20 KB.
	maxReportedAccounts = 512
	attachmentName      = "account-demand"
)

// The limited quantities.
const (
	requests = iota
	tokens
	amounts
)

type amount [amounts]float64

// accountLimits enforces the limits of accounts across all VMs. The base share of
// a VM is limit * own seats / held seats. A VM may also use what peers reported
// within the last 2 s not to need of their shares, divided in proportion to the
// demand above the base shares.
//
// Bound: the admitted rate is at most the limit while demands are steady. When
// peers raise their demand at once after others have used their unused shares,
// the rate is at most twice the limit until heartbeats have been exchanged once,
// and each VM can add a burst of one second of its share, or of one request if
// that is more.
type accountLimits struct {
	seats func() (own, held int)
	now   func() time.Time

	mu       sync.Mutex
	accounts map[string]*accountState
	peers    map[membership.Instance]peerDemand
}

// accountState is the use of one account on this VM.
type accountState struct {
	concurrent int
	level      amount // levels of the token buckets; negative after a large request
	filledAt   time.Time
	demand     demandMeter
}

// peerDemand is the latest demand reported by a peer.
type peerDemand struct {
	reportedAt time.Time
	seats      int
	accounts   map[string]amount
	partial    bool
}

// used returns the demand of an account, or the whole share if the demand is
// unknown.
func (p *peerDemand) used(account string, i int, base float64) float64 {
	demand, ok := p.accounts[account]
	if !ok && p.partial {
		return base
	}
	return demand[i]
}

// demandMessage is the encoded form of the attachment.
type demandMessage struct {
	Seats    int               `msgpack:"s"`
	Accounts map[string]amount `msgpack:"a"`
	// Partial is true when accounts were left out.
	Partial bool `msgpack:"p"`
}

// demandMeter measures the demand per second, including refused requests.
type demandMeter struct {
	start time.Time
	sum   amount
	rate  amount
}

func (m *demandMeter) add(a amount, now time.Time) {
	m.roll(now)
	for i := range a {
		m.sum[i] += a[i]
	}
}

// roll ends the window when it is over. The rate follows a rise at once and a
// fall with a delay, so that a short pause does not give the share away.
func (m *demandMeter) roll(now time.Time) {
	elapsed := now.Sub(m.start)
	if elapsed < demandWindow {
		return
	}
	for i := range m.sum {
		sample := m.sum[i] / elapsed.Seconds()
		m.rate[i] = max(sample, (m.rate[i]+sample)/2)
	}
	if elapsed > 10*demandWindow {
		m.rate = amount{}
	}
	m.start, m.sum = now, amount{}
}

func newAccountLimits(seats func() (own, held int)) *accountLimits {
	return &accountLimits{
		seats: seats, now: time.Now,
		accounts: map[string]*accountState{}, peers: map[membership.Instance]peerDemand{},
	}
}

func limitsOf(c config.Contract) amount { return amount{c.RequestsPerSecond, c.TokensPerSecond} }

func costOf(req *Request) amount { return amount{1, float64(req.PromptTokens)} }

// charge takes the cost of a request from the account's share, or refuses the
// request. A retry is not charged again; charge then returns false.
func (l *accountLimits) charge(req *Request, c config.Contract, now time.Time) (charged bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.accounts[req.Account]
	if s == nil {
		s = &accountState{filledAt: now}
		s.demand.start = now
		l.accounts[req.Account] = s
		s.level = l.burst(req.Account, limitsOf(c), now)
	}
	if req.isRetry() {
		s.concurrent++
		return false, nil
	}
	if c.MaxConcurrent > 0 && s.concurrent >= c.MaxConcurrent {
		return false, apierror.New(apierror.KindRateLimited, apierror.NotRun,
			fmt.Sprintf("the account has %d requests in progress, as many as it may", s.concurrent),
			"wait for one of them to end").WithRetryAfter(minRetryAfter)
	}
	s.demand.add(costOf(req), now)
	if err := l.take(s, req, limitsOf(c), now); err != nil {
		return false, err
	}
	s.concurrent++
	return true, nil
}

// take refills the buckets and takes the cost from them. A bucket that is not
// empty admits a request of any size and may become negative, so that a prompt
// larger than the burst is not refused forever.
func (l *accountLimits) take(s *accountState, req *Request, limits amount, now time.Time) error {
	share := l.share(req.Account, limits, now)
	elapsed := max(0, now.Sub(s.filledAt).Seconds())
	s.filledAt = now
	wait := 0.0
	for i := range limits {
		s.level[i] = min(s.level[i]+share[i]*elapsed, burstOf(share[i]))
		need := 0.0 // the level must exceed it
		if i == requests {
			need = 1
		}
		if limits[i] > 0 && (s.level[i] < need || s.level[i] <= 0) {
			wait = max(wait, (max(need, 1)-s.level[i])/max(share[i], 1e-6))
		}
	}
	if wait > 0 {
		after := min(max(time.Duration(min(wait, 3600)*float64(time.Second)), minRetryAfter), maxRetryAfter)
		return apierror.New(apierror.KindRateLimited, apierror.NotRun,
			"the account has used its requests or prompt tokens per second",
			"send fewer requests, or ask the operators for a larger contract").WithRetryAfter(after)
	}
	cost := costOf(req)
	for i := range limits {
		s.level[i] -= cost[i]
	}
	return nil
}

func burstOf(share float64) float64 { return max(1, share*burstWindow.Seconds()) }

func (l *accountLimits) burst(account string, limits amount, now time.Time) (level amount) {
	share := l.share(account, limits, now)
	for i := range level {
		level[i] = burstOf(share[i])
	}
	return level
}

// share returns this VM's share of the limits.
func (l *accountLimits) share(account string, limits amount, now time.Time) (share amount) {
	own, held := l.seats()
	held = max(held, own, 1)
	demand := amount{}
	if s := l.accounts[account]; s != nil {
		s.demand.roll(now)
		demand = s.demand.rate
	}
	for i, limit := range limits {
		perSeat := limit / float64(held)
		base := perSeat * float64(own)
		unused, others := l.unusedByPeers(account, i, perSeat, held-own, now)
		share[i] = base
		if excess := demand[i] - base; excess > 0 {
			share[i] += min(excess, unused*excess/(excess+others))
		}
	}
	return share
}

// unusedByPeers sums the unused shares of peers, and the demand of peers above
// their shares. Replaced instances can be listed beside their successors, so the
// sum is scaled down to the seats that peers can hold.
func (l *accountLimits) unusedByPeers(account string, i int, perSeat float64, peerSeats int, now time.Time) (unused, others float64) {
	seats := 0
	for _, p := range l.peers {
		if now.Sub(p.reportedAt) > peerDemandAge {
			continue
		}
		seats += p.seats
		base := perSeat * float64(p.seats)
		used := p.used(account, i, base)
		unused += max(0, base-used*shareMargin)
		others += max(0, used-base)
	}
	if seats > peerSeats {
		unused *= max(0, float64(peerSeats)) / float64(seats)
	}
	return unused, others
}

// refund returns what a refused request was charged.
func (l *accountLimits) refund(req *Request, charged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.accounts[req.Account]
	s.concurrent--
	if !charged {
		return
	}
	cost := costOf(req)
	for i := range cost {
		s.level[i] += cost[i]
	}
}

// release records that a granted request has ended.
func (l *accountLimits) release(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accounts[account].concurrent--
}

func (l *accountLimits) attachment() membership.Attachment {
	return membership.Attachment{Name: attachmentName, Produce: l.produce, Consume: l.consume}
}

// produce encodes the demand on this VM. If there are too many accounts, it
// includes those with the largest demand.
func (l *accountLimits) produce() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	own, _ := l.seats()
	now := l.now()
	message := demandMessage{Seats: own, Accounts: map[string]amount{}}
	names := make([]string, 0, len(l.accounts))
	for name, s := range l.accounts {
		s.demand.roll(now)
		if s.demand.rate != (amount{}) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(l.accounts[b].demand.rate[tokens], l.accounts[a].demand.rate[tokens])
	})
	message.Partial = len(names) > maxReportedAccounts
	for _, name := range names[:min(len(names), maxReportedAccounts)] {
		message.Accounts[name] = l.accounts[name].demand.rate
	}
	data, err := msgpack.Marshal(&message)
	if err != nil {
		return nil // peers then assume that this VM uses its whole share
	}
	return data
}

func (l *accountLimits) consume(from membership.Instance, data []byte) {
	var message demandMessage
	if msgpack.Unmarshal(data, &message) != nil || message.Seats < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.peers[from] = peerDemand{reportedAt: now, seats: message.Seats, accounts: message.Accounts, partial: message.Partial}
	for instance, p := range l.peers {
		if now.Sub(p.reportedAt) > peerDemandAge {
			delete(l.peers, instance)
		}
	}
}
