package seat

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store"
)

// Default times of a Manager; section 5 of docs/design.md.
const (
	// MinRenewInterval is the shortest time between two renewals.
	MinRenewInterval = 2 * time.Second
	// FleetRenewalsPerSecond is the maximum rate of renewals of all VMs
	// together. If the number of seats would exceed it at MinRenewInterval, the
	// interval grows.
	FleetRenewalsPerSecond = 50
	// MinTakeoverTimeout is the shortest time without renewal after which a
	// suspect holder's seat may be taken over.
	MinTakeoverTimeout = 10 * time.Second
	// TakeoverIntervals is the takeover timeout in renewal intervals; it
	// applies if it is longer than MinTakeoverTimeout.
	TakeoverIntervals = 5
	// StoreTimeout bounds one call of the store or one relayed renewal.
	StoreTimeout = 1500 * time.Millisecond
	// RetryAfter is suggested to callers that were refused.
	RetryAfter = time.Second
	// firstRetryDelay is the pause after the first round that leaves the VM
	// without a usable seat; it doubles up to the renewal interval.
	firstRetryDelay = 100 * time.Millisecond
)

// never is the expiry of a lease that was not granted.
const never = time.Duration(math.MinInt64 / 2)

// Membership is the part of membership.View that a Manager uses.
type Membership interface {
	Connectivity() membership.Connectivity
	Self() membership.Instance
	Now() time.Duration
	QuorumUntil() time.Duration
	RecordStoreContactAt(started time.Duration)
	StateOf(membership.Instance) membership.State
	LastHeard(membership.Instance) (age time.Duration, ok bool)
	QueryLastHeard(context.Context, membership.Instance) []membership.LastHeardReport
	PeersWithStoreContact() []string
	SeatsOfPeers() map[int]uint64
	SetSeatSource(membership.SeatSource)
	OnUpdate(func())
	Refresh()
}

// Options configure a Manager. Zero values of times select the defaults.
type Options struct {
	Table      store.Table
	Membership Membership
	Caller     link.Caller
	// SeatCount returns the number of seats of the active configuration.
	SeatCount func() int
	// MaxSeats is the number of seats to hold; 0 means 1.
	MaxSeats int
	Log      *slog.Logger

	MinRenewInterval   time.Duration
	MinTakeoverTimeout time.Duration
	// HeartbeatTimeout has to equal that of the membership.
	HeartbeatTimeout time.Duration
	StoreTimeout     time.Duration
}

func (o *Options) setDefaults() {
	setDefault(&o.MinRenewInterval, MinRenewInterval)
	setDefault(&o.MinTakeoverTimeout, MinTakeoverTimeout)
	setDefault(&o.HeartbeatTimeout, membership.HeartbeatTimeout)
	setDefault(&o.StoreTimeout, StoreTimeout)
	if o.MaxSeats == 0 {
		o.MaxSeats = 1
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

var _ Reader = (*Manager)(nil)

// Manager implements Reader.
//
// A held seat has a lease on the monotonic clock. A renewal written to the
// store extends the lease for less than the takeover timeout. While the lease
// is valid, a quorum extends it too, because no VM can complete a takeover by
// timeout against a quorum that hears from the holder. An expired lease is
// restored only by the store: a takeover may have happened in the meantime,
// and no peer is certain to know of it.
type Manager struct {
	options Options

	// heldSeats is replaced as a whole under stepMu.
	heldSeats atomic.Pointer[[]*heldSeat]
	nextTurn  atomic.Uint64 // for the round-robin of AttemptPrefix
	lastTable atomic.Pointer[seatTable]

	stopped atomic.Bool
	stepMu  sync.Mutex // serializes the rounds of the protocol

	// The fields below are used under stepMu.
	rowAges    map[int]rowAge
	lastReadAt time.Duration
	// highestEpochs holds the highest epoch known of each seat. A row can have a
	// lower one if the store came back from an older copy.
	highestEpochs map[int]uint64

	occupancy occupancy
}

// heldSeat is a seat that this VM holds as far as it knows.
type heldSeat struct {
	Seat
	attemptPrefix string
	heldSince     time.Duration
	leaseUntil    atomic.Int64 // time, as of Membership.Now, until which the seat may be used
}

func newHeldSeat(s Seat, since, leaseUntil time.Duration) *heldSeat {
	h := &heldSeat{Seat: s, attemptPrefix: fmt.Sprintf("%d.%d", s.Index, s.Epoch), heldSince: since}
	h.leaseUntil.Store(int64(leaseUntil))
	return h
}

func (s *heldSeat) hasLease(now time.Duration) bool { return int64(now) <= s.leaseUntil.Load() }

// renewLease extends the lease after the store has confirmed the seat.
func (s *heldSeat) renewLease(until time.Duration) {
	for {
		old := s.leaseUntil.Load()
		if old >= int64(until) || s.leaseUntil.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// extendLease extends a lease that has not expired.
func (s *heldSeat) extendLease(now, until time.Duration) {
	for {
		old := s.leaseUntil.Load()
		if old < int64(now) || old >= int64(until) || s.leaseUntil.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// New returns a Manager without seats and connects it to the membership. It
// must be called before the membership starts.
func New(o Options) *Manager {
	o.setDefaults()
	m := &Manager{options: o, rowAges: map[int]rowAge{}, highestEpochs: map[int]uint64{}, lastReadAt: never, occupancy: newOccupancy()}
	m.heldSeats.Store(&[]*heldSeat{})
	m.lastTable.Store(&seatTable{})
	o.Membership.SetSeatSource(m)
	o.Membership.OnUpdate(m.extendLeases)
	return m
}

// Register adds the handlers of this package.
func (m *Manager) Register(r link.Registrar) {
	r.Handle(membership.KindRelayRenew, m.handleRelay)
	r.Handle(membership.KindSeatClaim, m.handleClaimAnnouncement)
}

// Run claims and renews seats until ctx ends. It does not resign them, so that
// requests in flight can finish first; see Resign.
func (m *Manager) Run(ctx context.Context) {
	roundsWithoutSeat := 0
	for ctx.Err() == nil {
		m.RunRound(ctx)
		if len(m.LeasedSeats()) > 0 {
			roundsWithoutSeat = 0
		} else {
			roundsWithoutSeat++
		}
		select {
		case <-ctx.Done():
		case <-time.After(m.roundPause(roundsWithoutSeat)):
		}
	}
}

// roundPause is the time until the next round. A VM without a usable seat
// starts no requests, so it tries again sooner: a pause of the process makes the
// store call that was in flight time out, and its callers must not wait for a
// whole renewal interval after that.
func (m *Manager) roundPause(roundsWithoutSeat int) time.Duration {
	pause := m.renewalPause()
	delay := firstRetryDelay
	for range roundsWithoutSeat - 1 {
		if delay >= pause {
			break
		}
		delay *= 2
	}
	if roundsWithoutSeat == 0 {
		return pause
	}
	return min(delay, pause)
}

// renewalPause is the renewal interval minus a jitter of up to a tenth, so
// that the VMs do not renew in lockstep.
func (m *Manager) renewalPause() time.Duration {
	interval := m.renewalInterval()
	return interval - rand.N(interval/10+1)
}

// renewalInterval is the time between renewals. It depends on the number of
// seats in the configuration and not on those held, on which VMs may disagree.
func (m *Manager) renewalInterval() time.Duration {
	fleetInterval := time.Duration(m.options.SeatCount()) * time.Second / FleetRenewalsPerSecond
	return max(m.options.MinRenewInterval, fleetInterval)
}

// takeoverTimeout is the time without renewal after which others may take
// over.
func (m *Manager) takeoverTimeout() time.Duration {
	return max(m.options.MinTakeoverTimeout, TakeoverIntervals*m.renewalInterval())
}

// leaseDuration is how long a renewal is valid. It is one heartbeat timeout
// shorter than the takeover timeout, because a takeover relies on what peers
// heard within that timeout.
func (m *Manager) leaseDuration() time.Duration {
	return m.takeoverTimeout() - m.options.HeartbeatTimeout
}

// extendLeases extends the leases that have not expired while there is a
// quorum.
func (m *Manager) extendLeases() {
	until := m.options.Membership.QuorumUntil()
	now := m.options.Membership.Now()
	for _, s := range *m.heldSeats.Load() {
		s.extendLease(now, until)
	}
}

// Seats implements Reader.
func (m *Manager) Seats() []Seat {
	if m.options.Membership.Connectivity() == membership.Isolated {
		return nil
	}
	held := *m.heldSeats.Load()
	out := make([]Seat, 0, len(held))
	now := m.options.Membership.Now()
	for _, s := range held {
		if s.hasLease(now) {
			out = append(out, s.Seat)
		}
	}
	return out
}

// HolderOf implements Reader.
func (m *Manager) HolderOf(index int) (address string, epoch uint64, ok bool) {
	r, ok := m.lastTable.Load().rows[index]
	if !ok || r.vacant() {
		return "", 0, false
	}
	return r.Holder.Address, r.Epoch, true
}

// AttemptPrefix implements Reader. It alternates between several seats.
func (m *Manager) AttemptPrefix() (string, error) {
	if m.options.Membership.Connectivity() == membership.Isolated {
		return "", refusalError("this VM is isolated: it knows no store contact within 3 s and hears no quorum of seats")
	}
	held := *m.heldSeats.Load()
	if len(held) == 0 {
		return "", refusalError("this VM holds no seat")
	}
	turn := m.nextTurn.Add(1)
	now := m.options.Membership.Now()
	for i := range uint64(len(held)) {
		if s := held[(turn+i)%uint64(len(held))]; s.hasLease(now) {
			return s.attemptPrefix, nil
		}
	}
	return "", refusalError("the lease of this VM's seat has lapsed and the store has not confirmed it since")
}

func refusalError(message string) error {
	return apierror.New(apierror.KindUnavailable, apierror.NotRun, message, "send the request again, through another entry VM if possible").
		WithRetryAfter(RetryAfter)
}

// LeasedSeats implements membership.Seats.
func (m *Manager) LeasedSeats() []membership.LeasedSeat {
	now := m.options.Membership.Now()
	var out []membership.LeasedSeat
	for _, s := range *m.heldSeats.Load() {
		if s.hasLease(now) {
			out = append(out, membership.LeasedSeat{Index: s.Index, Epoch: s.Epoch, HeldMs: max(now-s.heldSince, 0).Milliseconds()})
		}
	}
	return out
}

// OccupiedSeats implements membership.Seats.
func (m *Manager) OccupiedSeats() int { return m.occupancy.count() }

// dropSeat removes a seat. The caller holds m.stepMu.
func (m *Manager) dropSeat(index int, reason string) {
	var rest []*heldSeat
	for _, s := range *m.heldSeats.Load() {
		if s.Index == index {
			m.options.Log.Warn("seat is no longer held", "seat", index, "epoch", s.Epoch, "reason", reason)
			continue
		}
		rest = append(rest, s)
	}
	m.heldSeats.Store(&rest)
}

// addSeat adds a seat. The caller holds m.stepMu.
func (m *Manager) addSeat(s *heldSeat, reason string) {
	m.options.Log.Info("seat is held", "seat", s.Index, "epoch", s.Epoch, "reason", reason)
	old := *m.heldSeats.Load()
	next := append(old[:len(old):len(old)], s)
	m.heldSeats.Store(&next)
}

// findSeat returns a held seat or nil.
func (m *Manager) findSeat(index int) *heldSeat {
	for _, s := range *m.heldSeats.Load() {
		if s.Index == index {
			return s
		}
	}
	return nil
}
