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
	// HeartbeatTimeout is how long an answered heartbeat counts as contact.
	HeartbeatTimeout = 3 * time.Second
	// StoreContactTimeout is how long a store contact counts.
	StoreContactTimeout = 3 * time.Second
	// CallTimeout bounds one heartbeat or question to a peer. A survey has to
	// end well before the takeover silence (10 s) less HeardWindow.
	CallTimeout = time.Second
	// ListInterval is the shortest time between two reads of the platform's VM
	// list.
	ListInterval = time.Second
	// FleetListReadsPerSecond is the number of reads of the list a second that all VMs
	// together may make; with more VMs the interval grows.
	FleetListReadsPerSecond = 50
	// AbsenceTimeout is how long an address that was never on the list has to be
	// missing from it before its VM counts as gone, because the list lags and a
	// new VM may run before it is listed.
	AbsenceTimeout = 10 * time.Second
	// ListedRetention is how long an address that left the list is known to have
	// been on it.
	ListedRetention = time.Hour
	// MissingRetention is how long after the last question an address that was
	// never on the list is remembered.
	MissingRetention = time.Minute
	// MinRefreshInterval is the least time between two refreshes for answers to
	// heartbeats. A refresh costs time in proportion to the number of peers, so
	// one for each answer would cost its square.
	MinRefreshInterval = 50 * time.Millisecond
	// MaxAttachmentAge is how long attachments are reused. To make them costs time
	// in proportion to the number of targets and accounts, and each peer asks
	// for them with each of its heartbeats.
	MaxAttachmentAge = 50 * time.Millisecond
	// UnlistedRetention is how long a silent VM that is not on the list is still
	// sent heartbeats.
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

// Seats is what a View asks of the seats of this VM. Its methods must not
// block, and of the View they may call Now only.
type Seats interface {
	// Leased returns the seats with a valid lease.
	Leased() []LeasedSeat
	// Occupied returns the number of held seats of all VMs that this VM has to
	// reckon with.
	Occupied() int
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
	// Sequential asks one peer after the other, so that a simulation can be
	// repeated from its seed.
	Sequential bool
	// Now returns monotonic time since a fixed moment; nil selects the clock
	// of the process.
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

// forget lets the caller close its connection to a VM that has gone.
func (o *Options) forget(address string) {
	if f, ok := o.Caller.(interface{ Forget(address string) }); ok {
		f.Forget(address)
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
// Contact with a peer counts from the moment at which a heartbeat that the peer
// answered was sent. So a peer that counts as heard has itself heard this VM at
// least as late, also over links that lose one direction, and messages that
// waited in buffers while this VM was frozen do not look fresh.
//
// The verdict counts only what this VM heard from a source whose configuration
// it has reached: a VM that wakes up hears of a newer version before it has it.
type View struct {
	o       Options
	base    time.Time
	seats   Seats
	version func() uint64
	updates []func()
	leaving atomic.Bool

	attachments []Attachment
	produced    producedAttachments

	// refreshDue is true while a refresh is scheduled.
	refreshDue atomic.Bool

	// ownContact is the start of the latest own store call that succeeded, and
	// comparedAt that of the latest comparison of the configuration with the store
	// after which this VM had the store's version.
	ownContact atomic.Int64
	comparedAt atomic.Int64
	snapshot   atomic.Pointer[snapshot]

	mu    sync.Mutex
	peers map[string]*peerState
	list  listState
}

// snapshot is what the path of a request reads.
type snapshot struct {
	at          time.Duration
	peerContact time.Duration // latest store contact known through peers
	quorumUntil time.Duration
	// currentUntil is quorumUntil by the answers of peers that had no newer
	// configuration than this VM.
	currentUntil time.Duration
	peers        []Peer
}

// New returns a View that has heard nothing.
func New(o Options) *View {
	o.setDefaults()
	v := &View{
		o:       o,
		base:    time.Now(),
		seats:   noSeats{},
		version: func() uint64 { return 0 },
		peers:   map[string]*peerState{},
		list:    newListState(),
	}
	v.ownContact.Store(int64(never))
	v.comparedAt.Store(int64(never))
	v.snapshot.Store(&snapshot{at: never, peerContact: never, quorumUntil: never, currentUntil: never})
	return v
}

// noSeats is used until SetSeats is called.
type noSeats struct{}

// Leased implements Seats.
func (noSeats) Leased() []LeasedSeat { return nil }

// Occupied implements Seats.
func (noSeats) Occupied() int { return 0 }

// SetSeats gives the source of seats. It must be called before the start.
func (v *View) SetSeats(s Seats) { v.seats = s }

// SetConfigVersion gives the source of the version in heartbeats. It must be
// called before the start.
func (v *View) SetConfigVersion(f func() uint64) { v.version = f }

// Attach adds data to each heartbeat. It must be called before the start.
func (v *View) Attach(a Attachment) { v.attachments = append(v.attachments, a) }

// OnUpdate registers a function that is called after each change of what is
// known. It must be called before the start, and the function must not block.
func (v *View) OnUpdate(f func()) { v.updates = append(v.updates, f) }

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
	running.Go(func() { v.every(ctx, v.listInterval, func() { v.ReadList(ctx) }) })
	running.Go(func() {
		v.every(ctx, func() time.Duration { return v.o.HeartbeatInterval }, func() {
			v.Refresh()
			v.startBeats(ctx, &running)
		})
	})
	<-ctx.Done()
	running.Wait()
}

// listInterval returns the time between two reads of the list.
func (v *View) listInterval() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.interval(&v.o)
}

// every calls f at an interval that f may change.
func (v *View) every(ctx context.Context, interval func() time.Duration, f func()) {
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

// Now returns the monotonic time of this VM that the View reckons with.
func (v *View) Now() time.Duration {
	if v.o.Now != nil {
		return v.o.Now()
	}
	return time.Since(v.base)
}

// Self implements Reader.
func (v *View) Self() Instance { return v.o.Self }

// RecordStoreContact records that the store has just answered. A caller whose
// call may have waited long uses NoteStoreContactAt.
func (v *View) RecordStoreContact() { v.RecordStoreContactAt(v.Now()) }

// RecordStoreContactAt records that the store answered a call that was started at
// a time of Now. An answer read after a long freeze is as old as its call.
func (v *View) RecordStoreContactAt(started time.Duration) { raise(&v.ownContact, started) }

// RecordConfigSync records that this VM has the version that the store had at a time
// of Now, and that the store answered a call that was started then.
func (v *View) RecordConfigSync(started time.Duration) {
	v.RecordStoreContactAt(started)
	raise(&v.comparedAt, started)
}

// raise sets a time unless it is later already.
func raise(to *atomic.Int64, t time.Duration) {
	for {
		old := to.Load()
		if old >= int64(t) || to.CompareAndSwap(old, int64(t)) {
			return
		}
	}
}

// contact returns the latest store contact known by which this VM has the
// configuration that was in force.
func (v *View) contact() time.Duration {
	own := time.Duration(v.comparedAt.Load())
	return max(own, v.snapshot.Load().peerContact)
}

// Connectivity implements Reader.
func (v *View) Connectivity() Connectivity {
	contact := v.contact()
	quorumUntil := v.snapshot.Load().currentUntil
	// The clock is read last, so that a freeze between the reads ages them.
	now := v.Now()
	switch {
	case now-contact <= v.o.StoreContactTimeout:
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

// QuorumUntil returns the time of Now until which Quorum holds without further
// news.
func (v *View) QuorumUntil() time.Duration { return v.snapshot.Load().quorumUntil }

// Peers implements Reader. An instance that was replaced is listed beside its
// successor.
func (v *View) Peers() []Peer {
	s := v.snapshot.Load()
	if v.Now()-s.at > v.o.HeartbeatInterval {
		v.Refresh()
		s = v.snapshot.Load()
	}
	return s.peers
}
