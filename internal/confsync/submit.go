package confsync

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// Result is the final result of a patch.
type Result string

// The results.
const (
	Accepted Result = "accepted"
	Refused  Result = "refused"
)

// Verdict is the final decision on the patch with this id and digest. A patch
// with the same id and another digest is a different patch.
type Verdict struct {
	ID     string `json:"id"`
	Digest string `json:"digest"`
	Result Result `json:"result"`
	// Version is the version that the patch created, or the current version if it
	// was refused.
	Version uint64 `json:"version"`
	Hash    string `json:"hash,omitempty"`
	// Repeated reports that the patch was accepted before this submission.
	Repeated bool `json:"repeated,omitempty"`
	// Conflicts are the keys of a refused patch that changed after its base
	// version, as far as this VM holds the records.
	Conflicts []string `json:"conflicts,omitempty"`
	Reason    string   `json:"reason,omitempty"`
	Remedy    string   `json:"remedy,omitempty"`
}

// Submit sends a patch to the store. A Verdict is final, and the same on every VM
// at any time:
//
//   - Accepted: its version exists.
//   - Refused: its base is older than the head, or its id belongs to another
//     patch. Neither can change later, so refusals are not stored.
//
// Everything else is an error. Not run (invalid patch, no quorum, store
// unavailable) refers to this submission only and is not stored, so the patch can
// be submitted again. Otherwise the outcome is unknown.
func (s *Syncer) Submit(ctx context.Context, p config.Patch) (Verdict, error) {
	digest, err := p.Digest()
	if err != nil {
		return Verdict{}, invalid(err)
	}
	if !config.ValidName(p.ID) {
		return Verdict{}, invalid(config.Problem{Key: "id", Found: p.ID, Allowed: "1 to 64 letters, digits, dots, underscores or hyphens"})
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	sub := &submission{s: s, patch: p, digest: digest}
	for {
		verdict, err := sub.attempt(ctx)
		switch {
		case err == nil:
			s.options.Log.Info("configuration patch", "id", p.ID, "submitter", p.Submitter, "result", verdict.Result, "version", verdict.Version)
			return verdict, nil
		case !sub.outcomeUnknown && !errors.Is(err, errRetry):
			return Verdict{}, err
		}
		if !wait.For(ctx, retryDelay) {
			return Verdict{}, sub.timeoutError()
		}
	}
}

// errRetry requests another attempt: the head has changed, or the outcome of the
// transaction is unknown.
var errRetry = errors.New("head moved")

// submission is the state of one call of Submit.
type submission struct {
	s      *Syncer
	patch  config.Patch
	digest string
	// outcomeUnknown is set once the response to a transaction was lost. Until the
	// outcome is determined, the submission must not be reported as not run.
	outcomeUnknown bool
}

func (b *submission) timeoutError() error {
	if b.outcomeUnknown {
		return apierror.New(apierror.KindOutcomeUnknown, apierror.OutcomeUnknown, "the store's answer to patch "+b.patch.ID+" was lost", "ask again with this id")
	}
	return apierror.New(apierror.KindUnavailable, apierror.NotRun, "the head moved until the time was over", "submit again with the same id")
}

// attempt makes one attempt to look up or reach the verdict.
func (b *submission) attempt(ctx context.Context) (Verdict, error) {
	known := b.s.current()
	h, err := b.s.readHead(ctx, idPrefix+b.patch.ID)
	if err != nil {
		return Verdict{}, unavailable(err)
	}
	if h.extraRows[0].Revision != 0 {
		return b.existingVerdict(ctx, h)
	}
	if known != nil && known.config.Version > h.head.Version {
		return b.restore(ctx, known, h)
	}
	switch {
	case b.patch.BaseVersion < h.head.Version:
		return b.refuseStale(ctx, h)
	case b.patch.BaseVersion > h.head.Version:
		return Verdict{}, invalid(config.Problem{Key: "base", Found: fmt.Sprint(b.patch.BaseVersion), Allowed: fmt.Sprintf("the current version, %d", h.head.Version)})
	}
	if err := b.s.advanceTo(ctx, h.head, &h.compaction); err != nil {
		return Verdict{}, unavailable(err)
	}
	return b.commit(ctx, h)
}

// restore writes versions back that the store has lost, before the patch is
// judged against the head.
func (b *submission) restore(ctx context.Context, known *state, h storedHead) (Verdict, error) {
	err := b.s.restoreLostVersions(ctx, known, h)
	if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown) {
		return Verdict{}, errRetry
	}
	return Verdict{}, unavailable(err)
}

// existingVerdict returns the verdict that the row of the patch id implies.
func (b *submission) existingVerdict(ctx context.Context, h storedHead) (Verdict, error) {
	var row verdictRow
	if err := decodeRow(h.extraRows[0], &row); err != nil {
		return Verdict{}, unavailable(err)
	}
	if row.Digest != b.digest {
		return Verdict{
			ID: b.patch.ID, Digest: b.digest, Result: Refused, Version: h.head.Version,
			Reason: fmt.Sprintf("id %s belongs to another patch, accepted as version %d", b.patch.ID, row.Version),
			Remedy: "submit with a new id",
		}, nil
	}
	if err := b.s.advanceTo(ctx, h.head, &h.compaction); err != nil {
		b.s.options.Log.Warn("accepted patch not yet active on this VM", "id", b.patch.ID, "error", err)
	}
	return accepted(b.patch.ID, row, !b.outcomeUnknown), nil
}

func accepted(id string, row verdictRow, repeated bool) Verdict {
	return Verdict{ID: id, Digest: row.Digest, Result: Accepted, Version: row.Version, Hash: row.Hash, Repeated: repeated}
}

// refuseStale refuses a patch whose base is older than the head. It first reads
// the row of the patch id again, because a delayed transaction of the same patch
// may have moved the head between the reads of the two rows.
func (b *submission) refuseStale(ctx context.Context, h storedHead) (Verdict, error) {
	rows, err := b.s.get(ctx, idPrefix+b.patch.ID)
	if err != nil {
		return Verdict{}, unavailable(err)
	}
	if rows[0].Revision != 0 {
		h.extraRows = rows
		return b.existingVerdict(ctx, h)
	}
	if err := b.s.advanceTo(ctx, h.head, &h.compaction); err != nil {
		b.s.options.Log.Warn("conflicting keys of a refused patch may be incomplete", "id", b.patch.ID, "error", err)
	}
	return Verdict{
		ID: b.patch.ID, Digest: b.digest, Result: Refused, Version: h.head.Version,
		Conflicts: b.s.conflicts(b.patch),
		Reason:    fmt.Sprintf("base %d is not the current version %d", b.patch.BaseVersion, h.head.Version),
		Remedy:    fmt.Sprintf("get version %d, compare, and submit against it with a new id", h.head.Version),
	}, nil
}

// conflicts returns the keys of p that changed after its base version.
func (s *Syncer) conflicts(p config.Patch) []string {
	st := s.current()
	if st == nil {
		return nil
	}
	var keys []string
	records, _ := st.recordsAfter(max(p.BaseVersion, st.oldestRecord()-1), st.config.Version)
	for _, record := range records {
		_, other, err := config.DecodeRecord(record)
		if err != nil {
			continue
		}
		for _, key := range other.Keys() {
			if slices.Contains(p.Keys(), key) && !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
		}
	}
	slices.Sort(keys)
	return keys
}

// commit validates the patch against the head and commits it. It first catches up
// with its peers: if they have a higher version than the store, the store has lost
// that version, and its number must not be given to another patch.
func (b *submission) commit(ctx context.Context, h storedHead) (Verdict, error) {
	b.catchUpWithPeers(ctx)
	base := b.s.base()
	if base.Version > h.head.Version {
		return Verdict{}, errRetry
	}
	if base.Hash != h.head.Hash {
		return Verdict{}, unavailable(fmt.Errorf("version %d of this VM differs from that of the store", base.Version))
	}
	record, next, err := config.Accept(base, b.patch, time.Now())
	if err != nil {
		return Verdict{}, invalid(err)
	}
	if !b.s.options.HasQuorum() {
		return Verdict{}, apierror.New(apierror.KindUnavailable, apierror.NotRun, "this VM does not hear more than half of the held seats", "submit to another VM, or again later with the same id")
	}
	row := verdictRow{Version: next.Version, Hash: next.Hash, Digest: b.digest}
	outcome, err := b.s.commit(ctx, b.transaction(h, record, row))
	switch {
	case outcome == store.Written:
		b.s.activateAccepted(ctx, base, record, next)
		return accepted(b.patch.ID, row, false), nil
	case outcome == store.Unknown:
		b.outcomeUnknown = true
		return Verdict{}, errRetry
	case errors.Is(err, store.ErrConflict):
		return Verdict{}, errRetry
	}
	return Verdict{}, unavailable(err)
}

// catchUpWithPeers gives peers that do not respond, or whose version does not
// verify, at most one call's time.
func (b *submission) catchUpWithPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b.s.advanceFromPeers(ctx)
}

// transaction returns a transaction that moves the head and stores the record and
// the verdict. Its conditions are that the head is still at the revision that was
// read and that the patch id has no verdict yet.
func (b *submission) transaction(h storedHead, record []byte, row verdictRow) store.Txn {
	return store.Txn{
		Conditions: []store.Condition{
			{Key: keyHead, Revision: h.revision},
			{Key: idPrefix + b.patch.ID, Revision: 0},
		},
		Ops: []store.Op{
			{Key: keyHead, Value: encode(Head{Version: row.Version, Hash: row.Hash})},
			{Key: patchKey(row.Version), Value: record},
			{Key: idPrefix + b.patch.ID, Value: encode(row)},
		},
	}
}

// activateAccepted activates a patch whose transaction this VM committed.
// Heartbeats then propagate the patch even if the store becomes unreachable.
func (s *Syncer) activateAccepted(ctx context.Context, base *config.Config, record []byte, next *config.Config) {
	select {
	case s.updateLock <- struct{}{}:
		defer func() { <-s.updateLock }()
	case <-ctx.Done():
		return // the next poll fetches it
	}
	steps, err := verify(base, bundle{Records: [][]byte{record}}, Head{Version: next.Version, Hash: next.Hash})
	if err != nil {
		s.options.Log.Error("verification of an accepted patch failed", "version", next.Version, "error", err)
		return
	}
	if s.base().Version < next.Version {
		s.activate(steps)
	}
}

// Lookup returns the verdict on an accepted patch, or a not-found error if no
// patch with the id has been accepted so far.
func (s *Syncer) Lookup(ctx context.Context, id string) (Verdict, error) {
	rows, err := s.get(ctx, idPrefix+id)
	if err != nil {
		return Verdict{}, unavailable(err)
	}
	var row verdictRow
	if err := decodeRow(rows[0], &row); err != nil {
		return Verdict{}, err
	}
	if rows[0].Revision == 0 {
		return Verdict{}, apierror.New(apierror.KindNotFound, apierror.NotRun, "no patch with id "+id+" was accepted so far", "submit it again with the same id to learn its verdict")
	}
	return accepted(id, row, true), nil
}

func invalid(err error) error {
	return apierror.New(apierror.KindInvalidRequest, apierror.NotRun, "the patch is not valid: "+err.Error(), "correct it and submit it with a new id").WithCause(err)
}

func unavailable(err error) error {
	return apierror.New(apierror.KindUnavailable, apierror.NotRun, "the configuration store cannot be used: "+err.Error(), "repeat later with the same id; whether an earlier submission of it was accepted is not known before").WithCause(err)
}
