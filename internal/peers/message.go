package peers

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/replica"
)

// kindChanges asks another VM for changes of a table over a link.
const kindChanges = "TableChanges"

// changesRequest asks for the changes of a table after a version.
type changesRequest struct {
	Table string `msgpack:"t"`
	After uint64 `msgpack:"a"`
}

// changesReply answers a changesRequest with a compressed replica.Delta: a large
// configuration goes to many VMs over narrow links.
type changesReply struct {
	Delta []byte `msgpack:"z"`
}

// maxDeltaBytes bounds a delta after decompression.
const maxDeltaBytes = 64 << 20

func encodeDelta(d replica.Delta) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := msgpack.NewEncoder(w).Encode(d); err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress changes: %w", err)
	}
	return out.Bytes(), nil
}

func decodeDelta(data []byte) (replica.Delta, error) {
	var d replica.Delta
	r := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDeltaBytes)
	if err := msgpack.NewDecoder(r).Decode(&d); err != nil {
		return d, fmt.Errorf("decode changes: %w", err)
	}
	return d, nil
}

// heartbeat is a datagram with what a VM tells of itself. A whole one replaces
// the jobs told before, so a lost one does no lasting harm; others tell what has
// changed.
type heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads this option
	// Started is a random number that tells two starts of a VM apart; Sequence
	// orders the heartbeats of one.
	Started  uint64
	Sequence uint64
	Jobs     []jobMessage
	// Whole is true when Jobs holds all jobs; otherwise Gone are those that ended.
	Whole bool
	Gone  []uint64
	// Unreachable are the targets that the sender cannot reach.
	Unreachable []string
	// Status is left out when only the jobs have changed.
	Status *status
}

// status is the part of a heartbeat that seldom changes.
type status struct {
	From string `msgpack:"f"`
	Zone string `msgpack:"z"`
	// Datagrams and Links are the addresses at which the VM is reached.
	Datagrams string `msgpack:"u"`
	Links     string `msgpack:"l"`
	Leaving   bool   `msgpack:"x,omitempty"`
	// StoreAgeMs is the age of the last answer of the store to this VM.
	StoreAgeMs int64 `msgpack:"a"`
	// StoreLost is true while the store does not answer this VM's calls.
	StoreLost bool `msgpack:"w,omitempty"`
	// Positions holds the version up to which each table is known.
	Positions map[string]uint64 `msgpack:"p"`
}

// jobMessage is an inflight.Item on the wire; times are in milliseconds.
type jobMessage struct {
	_msgpack   struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads this option
	ID         uint64
	Target     string
	Helpers    []string
	Prompt     int
	Answer     int
	PauseMs    int32
	Reserved   bool
	AgeMs      int32
	Writing    bool
	WritingFor int32
	Ended      bool
}

func encodeJobs(items []inflight.RequestState) []jobMessage {
	jobs := make([]jobMessage, 0, len(items))
	for _, i := range items {
		jobs = append(jobs, jobMessage{
			ID: i.ID, Target: i.Target, Helpers: i.Helpers, Prompt: i.PromptTokens, Answer: i.OutputTokens,
			PauseMs: int32(i.MaxEventGap.Milliseconds()), Reserved: i.Reserved, AgeMs: int32(i.Age.Milliseconds()),
			Writing: i.Decoding, WritingFor: int32(i.DecodingFor.Milliseconds()), Ended: i.Ended,
		})
	}
	return jobs
}

func decodeJobs(jobs []jobMessage) []inflight.RequestState {
	items := make([]inflight.RequestState, 0, len(jobs))
	for _, j := range jobs {
		items = append(items, inflight.RequestState{
			Request: inflight.Request{
				Target: j.Target, Helpers: j.Helpers, PromptTokens: j.Prompt, OutputTokens: j.Answer,
				MaxEventGap: time.Duration(j.PauseMs) * time.Millisecond, Reserved: j.Reserved,
			},
			ID:       j.ID,
			Age:      time.Duration(j.AgeMs) * time.Millisecond,
			Decoding: j.Writing, DecodingFor: time.Duration(j.WritingFor) * time.Millisecond, Ended: j.Ended,
		})
	}
	return items
}
