package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/storesync"
)

// RowStore is the part of the store that a lease needs.
type RowStore interface {
	ReadRow(ctx context.Context, table, key string) (storesync.Row, error)
	WriteRow(ctx context.Context, table, key string, value []byte, expected uint64) (storesync.Row, error)
}

// leaseKey is the key of the lease's row.
const leaseKey = "holder"

// storeTimeout bounds a call to the store. A holder whose call is given up reads the row
// before it writes again.
const storeTimeout = 800 * time.Millisecond

// tokenVersionBits is the number of bits of a token that hold a version of the store. The
// store makes at most 1,200 writes per second, so that its versions need 29 years to exceed
// them. The epoch has the bits above, up to the 53 bits of a token.
const tokenVersionBits = 40

// maxToken is the highest token: JSON numbers are exact up to it.
const maxToken = 1<<53 - 1

// Errors of a lease.
var (
	errNotHeld = errors.New("this VM does not hold the duty lease")
	// errUnanswered reports that a write of this VM may have been performed.
	errUnanswered = errors.New("a write of the duty lease was not answered")
	errTokens     = errors.New("the fencing tokens are used up")
)

// leaseRow is the value of the lease's row.
type leaseRow struct {
	// Holder is the name of the VM that holds the lease, or empty if it was released.
	// Instance identifies the run of its process.
	Holder   string `json:"holder"`
	Instance string `json:"instance"`
	Token    uint64 `json:"token"`
	// Epoch is the epoch of the store that the writer knew. A row whose epoch differs from
	// the store's may be a copy that hides later holders.
	Epoch uint64 `json:"epoch"`
	// State holds what the tasks keep, by task.
	State map[string]json.RawMessage `json:"state,omitempty"`
}

// Lease is one row of the store that names the holder of all duties. It is written only
// on condition of its version. It is safe for concurrent use.
type Lease struct {
	Store RowStore
	Table string
	// Holder is the name of this VM, Instance identifies this run of its process.
	Holder   string
	Instance string
	// Duration is how long a holder may act after it sent a write, less Margin. Another VM
	// takes over when it has seen the row unchanged for Duration and Margin.
	Duration time.Duration
	Margin   time.Duration
	// Uptime is a clock that goes on while the VM is suspended. Started is its time at the
	// start of this process.
	Uptime  func() time.Duration
	Started time.Duration

	calls sync.Mutex // makes the steps of the lease one after the other

	mu sync.Mutex
	// highest is the highest token heard of.
	highest uint64
	held    *holding
	// seen is the row as last read by a VM that does not hold the lease.
	seen *sighting
	// actedUntil is the end of the last grant of this process.
	actedUntil time.Duration
}

// holding is the state of the holder.
type holding struct {
	row     leaseRow
	epoch   uint64
	version uint64
	since   time.Duration
	seenAt  time.Duration
	until   time.Duration
	// uncertain is true if the row must be read before it is written: the version is not
	// known, or a write was not answered.
	uncertain bool
}

// sighting is a row of another holder.
type sighting struct {
	row     leaseRow
	epoch   uint64
	version uint64
	at      time.Duration // uptime after the response
	stale   bool          // the row must be read again before it is written
}

// Held reports whether this VM was the holder when it last wrote or read the row, and with
// which token and since which uptime.
func (l *Lease) Held() (token uint64, since time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		return 0, 0, false
	}
	return l.held.row.Token, l.held.since, true
}

// Grant returns the current grant. It may have ended.
func (l *Lease) Grant() Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant()
}

// grant implements Grant. The caller must hold mu.
func (l *Lease) grant() Grant {
	if l.held == nil {
		return Grant{}
	}
	return Grant{Holder: l.Holder, Token: l.held.row.Token, until: l.held.until, uptime: l.Uptime}
}

// TaskState is what a task keeps in the row of the lease.
type TaskState struct {
	// Data is nil if there is none.
	Data json.RawMessage
	// Epoch is the epoch of the store in which this VM holds the lease.
	Epoch uint64
	// SeenAt is the uptime at which this VM saw the row of the holder before. Data that was
	// written in an earlier epoch may lack what was written since, but not after SeenAt.
	SeenAt time.Duration
}

// State returns what a task keeps in the row, as far as this holder knows.
func (l *Lease) State(task string) TaskState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		return TaskState{}
	}
	return TaskState{Data: l.held.row.State[task], Epoch: l.held.epoch, SeenAt: l.held.seenAt}
}

// HeardToken records a token that another VM has heard of.
func (l *Lease) HeardToken(token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if token <= maxToken {
		l.highest = max(l.highest, token)
	}
}

// HighestToken returns the highest token that this VM has heard of.
func (l *Lease) HighestToken() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highest
}

// Acquire makes one step towards holding the lease. It returns the uptime before which
// another step is of no use.
func (l *Lease) Acquire(ctx context.Context) (next time.Duration, err error) {
	l.calls.Lock()
	defer l.calls.Unlock()
	seen := l.seenRow()
	if seen == nil || seen.stale {
		row, err := l.read(ctx)
		if err != nil {
			return 0, err
		}
		if seen, err = l.observe(row); err != nil {
			return 0, err
		}
	}
	if at := l.takeoverAt(seen); l.Uptime() < at {
		return at, nil
	}
	return 0, l.take(ctx, seen)
}

// seenRow returns the row as last read.
func (l *Lease) seenRow() *sighting {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen
}

// observe records a row that was read. The time for which it was unchanged goes on if its
// version in the epoch is the one seen before.
func (l *Lease) observe(r storesync.Row) (*sighting, error) {
	s := &sighting{epoch: r.Epoch, version: r.Version, at: l.Uptime()}
	if r.Version != 0 {
		// A row that cannot be decoded counts as held by another VM, without a state.
		if err := json.Unmarshal(r.Value, &s.row); err != nil || s.row.Token > maxToken {
			s.row = leaseRow{Holder: "?"}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highest = max(l.highest, s.row.Token)
	if b := l.seen; b != nil && b.epoch == s.epoch && b.version == s.version {
		s.at = b.at
	}
	l.seen = s
	return s, nil
}

// takeoverAt returns the uptime from which this VM may write a row that it has seen.
func (l *Lease) takeoverAt(s *sighting) time.Duration {
	wait := l.Duration + l.Margin
	fresh := s.row.Epoch == s.epoch // no copy: nothing of the row was lost
	switch {
	case s.version == 0 && s.epoch <= 1:
		// Nothing was ever lost of a store in its first epoch: there was no holder.
		return 0
	case s.version != 0 && fresh && s.row.Instance == l.Instance && s.row.Holder == l.Holder:
		return 0 // an unanswered write of this process was performed
	}
	// This VM may have acted until then, under another token. Together with a holder in
	// between that would be the order A, B, A.
	l.mu.Lock()
	own := max(l.Started, l.actedUntil) + wait
	l.mu.Unlock()
	if s.version != 0 && fresh && s.row.Holder == "" {
		return own
	}
	return max(own, s.at+wait)
}

// take writes the row as this VM's.
func (l *Lease) take(ctx context.Context, s *sighting) error {
	row := leaseRow{Holder: l.Holder, Instance: l.Instance, Epoch: s.epoch, State: s.row.State}
	if s.row.Instance == l.Instance && s.row.Holder == l.Holder && s.row.Epoch == s.epoch {
		row.Token = s.row.Token
	} else if row.Token = l.nextToken(s); row.Token > maxToken {
		return errTokens
	}
	sentAt := l.Uptime()
	written, err := l.write(ctx, row, s.version)
	l.mu.Lock()
	defer l.mu.Unlock()
	var conflict *storesync.ConflictError
	switch {
	case errors.As(err, &conflict):
		s.stale = true
		return nil
	case err != nil:
		s.stale = true
		return fmt.Errorf("%w: %w", errUnanswered, err)
	case written.Epoch != s.epoch:
		l.seen = nil
		return fmt.Errorf("the store has begun epoch %d, the duty lease was read in epoch %d", written.Epoch, s.epoch)
	}
	l.seen = nil
	l.highest = max(l.highest, row.Token)
	l.held = &holding{row: row, epoch: s.epoch, since: sentAt, seenAt: s.at}
	l.extend(written.Version, sentAt)
	return nil
}

// nextToken returns the token of a new holder that writes on condition of a version. Of all
// writes in an epoch that are performed, the later one has the higher condition. So the
// token rises also when the row's contents are lost, or overwritten by a delayed write. What
// was heard of matters only if the store's epochs or versions go back.
func (l *Lease) nextToken(s *sighting) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.epoch > maxToken>>tokenVersionBits || s.version >= 1<<tokenVersionBits {
		return maxToken + 1
	}
	return max(s.epoch<<tokenVersionBits+s.version+1, s.row.Token+1, l.highest+1)
}

// extend records a write of the holder that was answered. The caller must hold mu.
func (l *Lease) extend(version uint64, sentAt time.Duration) {
	l.held.version, l.held.uncertain = version, version == 0
	l.held.until = sentAt + l.Duration - l.Margin
	l.actedUntil = max(l.actedUntil, l.held.until)
}

// Renew extends the lease by a conditional write. change, unless nil, changes what a task
// keeps in the row; it may be called more than once. The grant of a lease that this VM
// turns out to have lost is not returned.
func (l *Lease) Renew(ctx context.Context, task string, change func(old json.RawMessage) (json.RawMessage, error)) (Grant, error) {
	l.calls.Lock()
	defer l.calls.Unlock()
	for range 2 {
		h, err := l.certain(ctx)
		if err != nil {
			return Grant{}, err
		}
		row := h.row
		if change != nil {
			if row, err = row.with(task, change); err != nil {
				return Grant{}, err
			}
		}
		g, retry, err := l.renew(ctx, h, row)
		if !retry {
			return g, err
		}
	}
	return Grant{}, errUnanswered
}

// with returns the row with a changed state of a task.
func (r leaseRow) with(task string, change func(json.RawMessage) (json.RawMessage, error)) (leaseRow, error) {
	state, err := change(r.State[task])
	if err != nil {
		return leaseRow{}, fmt.Errorf("state of %s: %w", task, err)
	}
	r.State = maps.Clone(r.State)
	if r.State == nil {
		r.State = map[string]json.RawMessage{}
	}
	r.State[task] = state
	return r, nil
}

// certain returns the holding with a version that can be expected. It reads the row if that
// is not known.
func (l *Lease) certain(ctx context.Context) (holding, error) {
	l.mu.Lock()
	h := l.held
	l.mu.Unlock()
	if h == nil {
		return holding{}, errNotHeld
	}
	if !h.uncertain {
		return *h, nil
	}
	r, err := l.read(ctx)
	if err != nil {
		return holding{}, err
	}
	return l.adopt(r)
}

// adopt takes over the version and the contents of the row, if it is still the holder's.
func (l *Lease) adopt(r storesync.Row) (holding, error) {
	var row leaseRow
	err := json.Unmarshal(r.Value, &row)
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held
	if h == nil {
		return holding{}, errNotHeld
	}
	if err != nil || r.Version == 0 || r.Epoch != h.epoch || row.Epoch != h.epoch || row.Holder != l.Holder || row.Instance != l.Instance || row.Token != h.row.Token {
		l.held = nil
		return holding{}, fmt.Errorf("%w: it is held by %q with token %d in epoch %d", errNotHeld, row.Holder, row.Token, r.Epoch)
	}
	h.row, h.version, h.uncertain = row, r.Version, false
	return *h, nil
}

// renew writes the row on condition that it is as in h. retry is true if the version had to
// be corrected.
func (l *Lease) renew(ctx context.Context, h holding, row leaseRow) (g Grant, retry bool, err error) {
	sentAt := l.Uptime()
	written, err := l.write(ctx, row, h.version)
	var conflict *storesync.ConflictError
	if errors.As(err, &conflict) {
		if conflict.Current != nil {
			_, err := l.adopt(*conflict.Current)
			return Grant{}, err == nil, err
		}
		l.setUncertain()
		return Grant{}, true, nil
	}
	if err != nil {
		l.setUncertain()
		return Grant{}, false, fmt.Errorf("%w: %w", errUnanswered, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if written.Epoch != h.epoch {
		l.held = nil
		return Grant{}, false, fmt.Errorf("%w: the store has begun epoch %d", errNotHeld, written.Epoch)
	}
	l.held.row = row
	l.extend(written.Version, sentAt)
	return l.grant(), false, nil
}

func (l *Lease) setUncertain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != nil {
		l.held.uncertain = true
	}
}

// Release gives the lease up, so that the next holder need not wait. The caller must not
// act under it any more.
func (l *Lease) Release(ctx context.Context) error {
	l.calls.Lock()
	defer l.calls.Unlock()
	h, err := l.certain(ctx)
	l.mu.Lock()
	l.held, l.seen = nil, nil
	l.mu.Unlock()
	if err != nil {
		return err
	}
	row := h.row
	row.Holder, row.Instance = "", ""
	_, err = l.write(ctx, row, h.version)
	return err
}

func (l *Lease) read(ctx context.Context) (storesync.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r, err := l.Store.ReadRow(ctx, l.Table, leaseKey)
	if err != nil {
		return r, fmt.Errorf("read the duty lease: %w", err)
	}
	return r, nil
}

func (l *Lease) write(ctx context.Context, row leaseRow, expected uint64) (storesync.Row, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return storesync.Row{}, fmt.Errorf("encode the duty lease: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r, err := l.Store.WriteRow(ctx, l.Table, leaseKey, value, expected)
	if err != nil {
		return r, fmt.Errorf("write the duty lease: %w", err)
	}
	return r, nil
}
