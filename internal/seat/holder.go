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

// Default times of a Holder; section 5 of docs/design.md.
const (
	// MinRenewInterval is the shortest time between two renewals.
	MinRenewInterval = 2 * time.Second
	// FleetRenewalsPerSecond is the number of renewals a second that all VMs together
	// may make; with more seats than MinRenewInterval allows, the interval
	// grows.
	FleetRenewalsPerSecond = 50
	// MinTakeoverTimeout is the shortest time without renewal after which a seat may be
	// taken over by silence.
	MinTakeoverTimeout = 10 * time.Second
	// TakeoverIntervals is that time in renewal intervals, if it is longer.
	TakeoverIntervals = 5
	// StoreTimeout bounds one call of the store or one relayed renewal.
	StoreTimeout = 1500 * time.Millisecond
	// RetryAfter is suggested to callers that were refused.
	RetryAfter = time.Second
)

// never is a lease that was not granted.
const never = time.Duration(math.MinInt64 / 2)

// Membership is what a Holder needs of membership.View.
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
	SetSeats(membership.Seats)
	OnUpdate(func())
	Refresh()
}

// Options configure a Holder. Zero values of times select the defaults.
type Options struct {
	Table      store.Table
	Membership Membership
	Caller     link.Caller
	// Seats returns the number of seats of the configuration in force.
	Seats func() int
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

// Manager implements Holding.
//
// A held seat has a lease on the monotonic clock. A renewal written to the
// store extends it for less than the silence after which others may take the
// seat over. While the lease runs, a quorum extends it too, because no one can
// complete a takeover by silence against a quorum that hears the holder. A lease
// that has lapsed is restored by the store only: a takeover may have happened
// meanwhile, and no peer is sure to know of it.
type Manager struct {
	o Options

	// held is replaced as a whole under tick.
	held atomic.Pointer[[]*heldSeat]
	next atomic.Uint64 // for the turns of AttemptPrefix
	last atomic.Pointer[table]

	stopped atomic.Bool
	tick    sync.Mutex // one step of the protocol at a time

	// Fields below are used under tick.
	tracks     map[int]track
	lastReadAt time.Duration

	occupancy occupancy
}

// heldSeat is a seat that this VM holds as far as it knows.
type heldSeat struct {
	Seat
	prefix string
	since  time.Duration
	lease  atomic.Int64 // time of Membership.Now until which the seat may be used
}

func newHeldSeat(s Seat, since, lease time.Duration) *heldSeat {
	h := &heldSeat{Seat: s, prefix: fmt.Sprintf("%d.%d", s.Index, s.Epoch), since: since}
	h.lease.Store(int64(lease))
	return h
}

func (s *heldSeat) leased(now time.Duration) bool { return int64(now) <= s.lease.Load() }

// renewed extends the lease after the store has confirmed the seat.
func (s *heldSeat) renewed(until time.Duration) {
	for {
		old := s.lease.Load()
		if old >= int64(until) || s.lease.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// extend extends a lease that has not lapsed.
func (s *heldSeat) extend(now, until time.Duration) {
	for {
		old := s.lease.Load()
		if old < int64(now) || old >= int64(until) || s.lease.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// New returns a Holder without seats and connects it to the membership. It must
// be called before the membership starts.
func New(o Options) *Manager {
	o.setDefaults()
	h := &Manager{o: o, tracks: map[int]track{}, lastReadAt: never, occupancy: newOccupancy()}
	h.held.Store(&[]*heldSeat{})
	h.last.Store(&table{})
	o.Membership.SetSeats(h)
	o.Membership.OnUpdate(h.extendLeases)
	return h
}

// Register adds the handlers of this package.
func (h *Manager) Register(r link.Registrar) {
	r.Handle(membership.KindRelayRenew, h.handleRelay)
	r.Handle(membership.KindSeatClaim, h.handleClaim)
}

// Run claims and renews seats until ctx ends. Resign is a separate step, so that
// requests in flight can finish first.
func (h *Manager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		h.RunRound(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(h.pause()):
		}
	}
}

// pause is the interval less up to a tenth, so that the VMs do not renew in
// step.
func (h *Manager) pause() time.Duration {
	interval := h.interval()
	return interval - rand.N(interval/10+1)
}

// interval is the time between renewals. It depends on the number of seats in
// the configuration and not on those held, on which VMs may disagree.
func (h *Manager) interval() time.Duration {
	fleet := time.Duration(h.o.Seats()) * time.Second / FleetRenewalsPerSecond
	return max(h.o.MinRenewInterval, fleet)
}

// silence is the time without renewal after which others may take over.
func (h *Manager) silence() time.Duration {
	return max(h.o.MinTakeoverTimeout, TakeoverIntervals*h.interval())
}

// leaseTime is how long a renewal is valid. It ends one heard window before the
// silence, because a survey concludes from what peers heard in that window.
func (h *Manager) leaseTime() time.Duration { return h.silence() - h.o.HeartbeatTimeout }

// extendLeases extends the leases that have not lapsed while there is a quorum.
func (h *Manager) extendLeases() {
	until := h.o.Membership.QuorumUntil()
	now := h.o.Membership.Now()
	for _, s := range *h.held.Load() {
		s.extend(now, until)
	}
}

// Seats implements Holding.
func (h *Manager) Seats() []Seat {
	if h.o.Membership.Connectivity() == membership.Isolated {
		return nil
	}
	held := *h.held.Load()
	out := make([]Seat, 0, len(held))
	now := h.o.Membership.Now()
	for _, s := range held {
		if s.leased(now) {
			out = append(out, s.Seat)
		}
	}
	return out
}

// HolderOf implements Holding.
func (h *Manager) HolderOf(index int) (address string, epoch uint64, ok bool) {
	r, ok := h.last.Load().rows[index]
	if !ok || r.vacant() {
		return "", 0, false
	}
	return r.Holder.Address, r.Epoch, true
}

// AttemptPrefix implements Holding. With several seats it takes them in turn.
func (h *Manager) AttemptPrefix() (string, error) {
	if h.o.Membership.Connectivity() == membership.Isolated {
		return "", refusal("this VM is isolated: it knows no store contact within 3 s and hears no quorum of seats")
	}
	held := *h.held.Load()
	if len(held) == 0 {
		return "", refusal("this VM holds no seat")
	}
	turn := h.next.Add(1)
	now := h.o.Membership.Now()
	for i := range uint64(len(held)) {
		if s := held[(turn+i)%uint64(len(held))]; s.leased(now) {
			return s.prefix, nil
		}
	}
	return "", refusal("the lease of this VM's seat has lapsed and the store has not confirmed it since")
}

func refusal(message string) error {
	return apierror.New(apierror.KindUnavailable, apierror.NotRun, message, "send the request again, through another entry VM if possible").
		WithRetryAfter(RetryAfter)
}

// Leased implements membership.Seats.
func (h *Manager) Leased() []membership.LeasedSeat {
	now := h.o.Membership.Now()
	var out []membership.LeasedSeat
	for _, s := range *h.held.Load() {
		if s.leased(now) {
			out = append(out, membership.LeasedSeat{Index: s.Index, Epoch: s.Epoch, HeldMs: max(now-s.since, 0).Milliseconds()})
		}
	}
	return out
}

// Occupied implements membership.Seats.
func (h *Manager) Occupied() int { return h.occupancy.count() }

// drop removes a seat. h.tick is held.
func (h *Manager) drop(index int, why string) {
	var rest []*heldSeat
	for _, s := range *h.held.Load() {
		if s.Index == index {
			h.o.Log.Warn("seat is no longer held", "seat", index, "epoch", s.Epoch, "reason", why)
			continue
		}
		rest = append(rest, s)
	}
	h.held.Store(&rest)
}

// add adds a seat. h.tick is held.
func (h *Manager) add(s *heldSeat, why string) {
	h.o.Log.Info("seat is held", "seat", s.Index, "epoch", s.Epoch, "reason", why)
	old := *h.held.Load()
	next := append(old[:len(old):len(old)], s)
	h.held.Store(&next)
}

// find returns a held seat or nil.
func (h *Manager) find(index int) *heldSeat {
	for _, s := range *h.held.Load() {
		if s.Index == index {
			return s
		}
	}
	return nil
}
