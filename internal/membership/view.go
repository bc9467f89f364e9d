package membership

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/link"
)

// Default times of a View; section 5 of docs/design.md.
const (
	// HeartbeatInterval is the time between two heartbeats to each peer.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is how long a heartbeat to which the peer responded counts
	// as contact after it was sent.
	HeartbeatTimeout = 3 * time.Second
	// StoreContactTimeout is how long a store contact counts.
	StoreContactTimeout = 3 * time.Second
	// CallTimeout bounds one heartbeat or query to a peer. QueryLastHeard has
	// to end well before the seats' takeover timeout (10 s) less
	// HeartbeatTimeout.
	CallTimeout = time.Second
	// ListInterval is the shortest time between two reads of the platform's VM
	// list.
	ListInterval = time.Second
	// FleetListReadsPerSecond is the maximum rate of list reads of all VMs
	// together; with more VMs the interval grows.
	FleetListReadsPerSecond = 50
	// AbsenceTimeout is how long an address that was never on the list has to
	// be missing from it before its VM counts as removed, because the list lags
	// and a new VM may run before it is listed.
	AbsenceTimeout = 10 * time.Second
	// ListedRetention is how long an address that left the list is remembered
	// as having been on it.
	ListedRetention = time.Hour
	// MissingRetention is how long after its last lookup an address that was
	// never on the list is remembered.
	MissingRetention = time.Minute
	// MinRefreshInterval is the shortest time between two refreshes for
	// heartbeat responses. The cost of a refresh is linear in the number of
	// peers, so one refresh for each response would make the cost quadratic.
	MinRefreshInterval = 50 * time.Millisecond
	// MaxAttachmentAge is how long attachments are reused. The cost of
	// producing them is linear in the number of targets and accounts, and each
	// heartbeat of each peer needs them.
	MaxAttachmentAge = 50 * time.Millisecond
	// UnlistedRetention is how long heartbeats are still sent to a silent VM
	// that is not on the list.
	UnlistedRetention = time.Minute
)

// never is the time of an event that has not happened.
const never = time.Duration(math.MinInt64 / 2)

// Entry is one VM on the platform's list.
type Entry struct {
	Address     string // address of the VM for callers
	PeerAddress string // IP:port for link
	Zone        string
	Leaving     bool
}

// Lister reads the platform's VM list, which lags.
type Lister interface {
	List(ctx context.Context) ([]Entry, error)
}

// ListerFunc is a function that implements Lister.
type ListerFunc func(ctx context.Context) ([]Entry, error)

// List implements Lister.
func (f ListerFunc) List(ctx context.Context) ([]Entry, error) { return f(ctx) }

// SeatSource gives a View access to the seats of this VM. Its methods must not
// block, and the only View method they may call is Now.
type SeatSource interface {
	// LeasedSeats returns the seats with a valid lease.
	LeasedSeats() []LeasedSeat
	// OccupiedSeats returns the number of seats that all VMs together hold or may
	// hold, from this VM's view.
	OccupiedSeats() int
}

// Options configure a View. Zero values of times select the defaults.
type Options struct {
	Self   Instance
	Zone   string
	Caller link.Caller
	Lister Lister
	Log    *slog.Logger

	HeartbeatInterval   time.Duration
	HeartbeatTimeout    time.Duration
	StoreContactTimeout time.Duration
	CallTimeout         time.Duration
	ListInterval        time.Duration
	AbsenceTimeout      time.Duration
	// Sequential calls the peers one after the other, so that a simulation can
	// be repeated from its seed.
	Sequential bool
	// Now returns monotonic time since a fixed moment; nil selects the clock of
	// the process.
	Now func() time.Duration
}

func (o *Options) setDefaults() {
	setDefault(&o.HeartbeatInterval, HeartbeatInterval)
	setDefault(&o.HeartbeatTimeout, HeartbeatTimeout)
	setDefault(&o.StoreContactTimeout, StoreContactTimeout)
	setDefault(&o.CallTimeout, CallTimeout)
	setDefault(&o.ListInterval, ListInterval)
	setDefault(&o.AbsenceTimeout, AbsenceTimeout)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// disconnect makes the Caller close its connection to a removed VM.
func (o *Options) disconnect(address string) {
	if f, ok := o.Caller.(interface{ Disconnect(address string) }); ok {
		f.Disconnect(address)
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

var _ Reader = (*View)(nil)

// View implements Reader.
//
// Contact with a peer counts from the time at which a heartbeat to which the
// peer responded was sent. So a peer that counts as heard has itself heard
// from this VM at least as late, even over links that lose one direction, and
// messages that waited in buffers while this process was paused do not look
// fresh.
//
// Connectivity counts only contact through a source whose configuration
// version this VM has reached: a VM that resumes after a pause hears of a
// newer version before it has it.
type View struct {
	options       Options
	clockBase     time.Time
	seats         SeatSource
	configVersion func() uint64
	onUpdate      []func()
	leaving       atomic.Bool

	attachments     []Attachment
	attachmentCache attachmentCache

	// refreshScheduled is true while a refresh is scheduled.
	refreshScheduled atomic.Bool

	// ownStoreContact is the start of the latest store call of this VM that
	// succeeded. configSyncedAt is the start of the latest comparison of the
	// configuration with the store after which this VM had the store's version.
	ownStoreContact atomic.Int64
	configSyncedAt  atomic.Int64
	snapshot        atomic.Pointer[snapshot]

	mu     sync.Mutex
	peers  map[string]*peerState
	vmList listState
}

// snapshot is the state that request handling reads.
type snapshot struct {
	at               time.Duration
	peerStoreContact time.Duration // latest store contact known through peers
	quorumUntil      time.Duration
	// syncedQuorumUntil is quorumUntil computed only from the responses of
	// peers that had no newer configuration than this VM.
	syncedQuorumUntil time.Duration
	peers             []Peer
}

// New returns a View that has not heard from any peer.
func New(o Options) *View {
	o.setDefaults()
	v := &View{
		options:       o,
		clockBase:     time.Now(),
		seats:         noSeats{},
		configVersion: func() uint64 { return 0 },
		peers:         map[string]*peerState{},
		vmList:        newListState(),
	}
	v.ownStoreContact.Store(int64(never))
	v.configSyncedAt.Store(int64(never))
	v.snapshot.Store(&snapshot{at: never, peerStoreContact: never, quorumUntil: never, syncedQuorumUntil: never})
	return v
}

// noSeats is used until SetSeats is called.
type noSeats struct{}

// LeasedSeats implements Seats.
func (noSeats) LeasedSeats() []LeasedSeat { return nil }

// OccupiedSeats implements Seats.
func (noSeats) OccupiedSeats() int { return 0 }

// SetSeatSource sets the source of seats. It must be called before Run.
func (v *View) SetSeatSource(s SeatSource) { v.seats = s }

// SetConfigVersion sets the source of the version in heartbeats. It must be
// called before Run.
func (v *View) SetConfigVersion(f func() uint64) { v.configVersion = f }

// Attach adds data to each heartbeat. It must be called before Run.
func (v *View) Attach(a Attachment) { v.attachments = append(v.attachments, a) }

// OnUpdate registers a function that is called after each refresh of the
// snapshot. It must be called before Run, and the function must not block.
func (v *View) OnUpdate(f func()) { v.onUpdate = append(v.onUpdate, f) }

// SetLeaving sets the leaving flag of the heartbeats.
func (v *View) SetLeaving(leaving bool) { v.leaving.Store(leaving) }

// Register adds the View's handlers.
func (v *View) Register(r link.Registrar) {
	r.Handle(KindHeartbeat, v.handleHeartbeat)
	r.Handle(KindLastHeard, v.handleLastHeard)
}

// Run reads the list and sends heartbeats until ctx ends.
func (v *View) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { v.runPeriodically(ctx, v.listInterval, func() { v.ReadList(ctx) }) })
	running.Go(func() {
		v.runPeriodically(ctx, func() time.Duration { return v.options.HeartbeatInterval }, func() {
			v.Refresh()
			v.startHeartbeats(ctx, &running)
		})
	})
	<-ctx.Done()
	running.Wait()
}

// listInterval returns the time between two reads of the list.
func (v *View) listInterval() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.vmList.readInterval(&v.options)
}

// runPeriodically calls f at an interval that f may change.
func (v *View) runPeriodically(ctx context.Context, interval func() time.Duration, f func()) {
	current := interval()
	ticker := time.NewTicker(current)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f()
		if next := interval(); next != current {
			current = next
			ticker.Reset(current)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// Now returns this VM's monotonic time, on which all times of the View are
// based.
func (v *View) Now() time.Duration {
	if v.options.Now != nil {
		return v.options.Now()
	}
	return time.Since(v.clockBase)
}

// Self implements Reader.
func (v *View) Self() Instance { return v.options.Self }

// RecordStoreContact records that the store has just responded. For a call
// that may have been delayed for long, use RecordStoreContactAt.
func (v *View) RecordStoreContact() { v.RecordStoreContactAt(v.Now()) }

// RecordStoreContactAt records that the store responded to a call that was
// started at a time of Now. A response that is read after a long pause of the
// process is as old as its call.
func (v *View) RecordStoreContactAt(started time.Duration) { advance(&v.ownStoreContact, started) }

// RecordConfigSync records that this VM has the version that the store had at
// a time of Now, and that the store responded to a call that was started then.
func (v *View) RecordConfigSync(started time.Duration) {
	v.RecordStoreContactAt(started)
	advance(&v.configSyncedAt, started)
}

// advance sets a time unless it already is later.
func advance(to *atomic.Int64, t time.Duration) {
	for {
		old := to.Load()
		if old >= int64(t) || to.CompareAndSwap(old, int64(t)) {
			return
		}
	}
}

// syncedStoreContact returns the latest known store contact through which this
// VM is known to have had the active configuration.
func (v *View) syncedStoreContact() time.Duration {
	own := time.Duration(v.configSyncedAt.Load())
	return max(own, v.snapshot.Load().peerStoreContact)
}

// Connectivity implements Reader.
func (v *View) Connectivity() Connectivity {
	contact := v.syncedStoreContact()
	quorumUntil := v.snapshot.Load().syncedQuorumUntil
	// The clock is read last, so that a pause between the reads makes them look
	// older.
	now := v.Now()
	switch {
	case now-contact <= v.options.StoreContactTimeout:
		return Connected
	case now <= quorumUntil:
		return StoreOutage
	default:
		return Isolated
	}
}

// Quorum implements Reader.
func (v *View) Quorum() bool {
	until := v.snapshot.Load().quorumUntil
	return v.Now() <= until
}

// QuorumUntil returns the time of Now until which Quorum holds if nothing more
// is heard.
func (v *View) QuorumUntil() time.Duration { return v.snapshot.Load().quorumUntil }

// Peers implements Reader. A replaced instance is listed beside its successor.
func (v *View) Peers() []Peer {
	s := v.snapshot.Load()
	if v.Now()-s.at > v.options.HeartbeatInterval {
		v.Refresh()
		s = v.snapshot.Load()
	}
	return s.peers
}
