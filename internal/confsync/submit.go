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

// Result is what became of a patch for good.
type Result string

// The results.
const (
	Accepted Result = "accepted"
	Refused  Result = "refused"
)

// Verdict is the lasting answer to a patch. It speaks of the patch with this
// id and digest; a patch of the same id and other content is another patch.
type Verdict struct {
	ID     string `json:"id"`
	Digest string `json:"digest"`
	Result Result `json:"result"`
	// Version is the one that the patch made, or the current one if refused.
	Version uint64 `json:"version"`
	Hash    string `json:"hash,omitempty"`
	// Repeated says that the patch had been accepted before this submission.
	Repeated bool `json:"repeated,omitempty"`
	// Conflicts are the keys of a refused patch that changed since its base, as
	// far as the records are held.
	Conflicts []string `json:"conflicts,omitempty"`
	Reason    string   `json:"reason,omitempty"`
	Remedy    string   `json:"remedy,omitempty"`
}

// Submit sends a patch to the store. A Verdict is final and the same on every
// VM and at any time:
//
//   - Accepted: its version exists.
//   - Refused: its base is older than the head, or its id belongs to another
//     patch. Both can never change, so a refusal need not be stored.
//
// Everything else is an error: not run (invalid, no quorum, store down), which
// is not remembered, so that the patch may be submitted again, or outcome
// unknown. Not run speaks of this submission only.
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

// errRetry asks for another attempt, because the head moved meanwhile.
var errRetry = errors.New("head moved")

// submission is one call of Submit.
type submission struct {
	s      *Syncer
	patch  config.Patch
	digest string
	// outcomeUnknown is set once a transaction may have taken effect unseen. Until
	// it is found out, the submission must not be reported as not run.
	outcomeUnknown bool
}

func (b *submission) timeoutError() error {
	if b.outcomeUnknown {
		return apierror.New(apierror.KindOutcomeUnknown, apierror.OutcomeUnknown, "the store's answer to patch "+b.patch.ID+" was lost", "ask again with this id")
	}
	return apierror.New(apierror.KindUnavailable, apierror.NotRun, "the head moved until the time was over", "submit again with the same id")
}

// attempt tries once to find or make the verdict.
func (b *submission) attempt(ctx context.Context) (Verdict, error) {
	h, err := b.s.readHead(ctx, idPrefix+b.patch.ID)
	if err != nil {
		return Verdict{}, unavailable(err)
	}
	if h.extraRows[0].Revision != 0 {
		return b.existingVerdict(ctx, h)
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

// existingVerdict answers from the row of the patch id.
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
		b.s.options.Log.Warn("accepted patch not yet in force here", "id", b.patch.ID, "error", err)
	}
	return accepted(b.patch.ID, row, !b.outcomeUnknown), nil
}

func accepted(id string, row verdictRow, repeated bool) Verdict {
	return Verdict{ID: id, Digest: row.Digest, Result: Accepted, Version: row.Version, Hash: row.Hash, Repeated: repeated}
}

// refuseStale refuses a patch whose base is not the head. The id is read once more
// after the head: a transaction of the same patch that was on its way may have
// moved the head itself, between the reads of the two rows.
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
		b.s.options.Log.Warn("conflicting keys are not known", "id", b.patch.ID, "error", err)
	}
	return Verdict{
		ID: b.patch.ID, Digest: b.digest, Result: Refused, Version: h.head.Version,
		Conflicts: b.s.conflicts(b.patch),
		Reason:    fmt.Sprintf("base %d is not the current version %d", b.patch.BaseVersion, h.head.Version),
		Remedy:    fmt.Sprintf("get version %d, compare, and submit against it with a new id", h.head.Version),
	}, nil
}

// conflicts returns the keys of p that changed since its base.
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

// commit validates the patch against the head and tries to accept it.
func (b *submission) commit(ctx context.Context, h storedHead) (Verdict, error) {
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

// transaction moves the head from the version that was read and gives the id
// its verdict, or does nothing.
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

// activateAccepted puts a patch in force that this VM got accepted, so that it spreads by
// heartbeats even if the store goes down now.
func (s *Syncer) activateAccepted(ctx context.Context, base *config.Config, record []byte, next *config.Config) {
	select {
	case s.stateLock <- struct{}{}:
		defer func() { <-s.stateLock }()
	case <-ctx.Done():
		return // the next poll finds it
	}
	steps, err := verify(base, bundle{Records: [][]byte{record}}, Head{Version: next.Version, Hash: next.Hash})
	if err != nil {
		s.options.Log.Error("accepted patch does not verify", "version", next.Version, "error", err)
		return
	}
	if s.base().Version < next.Version {
		s.activate(steps)
	}
}

// Lookup returns the verdict of an accepted patch. Of an id that is not found
// no patch was accepted so far.
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
