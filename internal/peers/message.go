package peers

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/duty"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/pace"
	"github.com/oriolefront/oriolefront/internal/quarantine"
	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/usage"
)

// kindChanges is the kind of the link message that requests changes of a table.
const kindChanges = "TableChanges"

// changesRequest requests the changes of a table after a version of an epoch.
type changesRequest struct {
	Table string `msgpack:"t"`
	Epoch uint64 `msgpack:"e,omitempty"`
	After uint64 `msgpack:"a"`
}

// changesReply is the response to a changesRequest. It holds a compressed
// replica.Delta, because a large configuration is sent to many VMs over links
// with little bandwidth.
type changesReply struct {
	Delta []byte `msgpack:"z"`
	// Epoch and StoreClockMs are an upper bound of the store's steady clock when the
	// response was made, in milliseconds, and its epoch; StoreClockMs is 0 if unknown. A
	// VM that the store does not answer learns the clock from it.
	Epoch        uint64 `msgpack:"e,omitempty"`
	StoreClockMs int64  `msgpack:"k,omitempty"`
	// ConfirmedMs is the time of that clock, in milliseconds, up to which the sender's
	// replica is known to be current; 0 if unknown. Heartbeats alone would not do: while the
	// table changes all the time, each of them names a position that the receiver has not
	// reached yet.
	ConfirmedMs int64 `msgpack:"c,omitempty"`
}

// maxDeltaBytes limits the decompressed size of a delta. A replica of all that the
// store client takes for a table is smaller.
const maxDeltaBytes = 24 << 20

// compressors holds idle compressors: a new one allocates 1.2 MB, whatever it compresses.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // only for a level that does not exist
	}
	return w
}}

func encodeDelta(d replica.Delta) ([]byte, error) {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
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
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDeltaBytes+1))
	if err != nil {
		return d, fmt.Errorf("decompress changes: %w", err)
	}
	if len(plain) > maxDeltaBytes {
		return d, fmt.Errorf("decompress changes: found more than %d bytes", maxDeltaBytes)
	}
	if err := unmarshal(plain, &d); err != nil {
		return d, fmt.Errorf("decode changes: %w", err)
	}
	return d, nil
}

// unmarshal decodes a message that was not received in a frame of a link. The msgpack library
// itself bounds neither the depth of a value nor the entries that an array announces.
func unmarshal(data []byte, message any) error {
	if err := link.CheckPayload(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, message)
}

// heartbeat is a datagram in which a VM reports its state. A full heartbeat
// replaces all requests reported before, so the loss of a datagram has no lasting
// effect; the others report only the requests that changed.
type heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads this option
	// Started is a random number that identifies an instance of the VM, that is, one
	// run of its process. Sequence orders the heartbeats of an instance.
	Started  uint64
	Sequence uint64
	Jobs     []requestMessage
	// Whole marks a full heartbeat, in which Jobs holds all requests in flight.
	// Otherwise Jobs holds those that changed, and Gone the IDs of those that ended.
	Whole bool
	Gone  []uint64
	// Unreachable lists the targets that the sender cannot reach.
	Unreachable []string
	// Status is omitted when only requests have changed.
	Status *status

	// relayed is true if a relay passed the heartbeat on. It is not encoded.
	relayed bool
}

func decodeHeartbeat(data []byte) (heartbeat, error) {
	var h heartbeat
	if err := unmarshal(data, &h); err != nil {
		return h, fmt.Errorf("decode heartbeat: %w", err)
	}
	return h, nil
}

// status is the part of a heartbeat that rarely changes.
type status struct {
	Name string `msgpack:"f"`
	Zone string `msgpack:"z"`
	// HeartbeatAddress and LinkAddress are the VM's UDP and TCP addresses.
	HeartbeatAddress string `msgpack:"u"`
	LinkAddress      string `msgpack:"l"`
	Leaving          bool   `msgpack:"x,omitempty"`
	// Relays is true if the VM knows relay messages and passes heartbeats on. "rl" was the field
	// of a program that did not pass on full ones.
	Relays bool `msgpack:"rf,omitempty"`
	// UptimeMs is the time since the VM started.
	UptimeMs int64 `msgpack:"i,omitempty"`
	// StoreAgeMs is the time since the store last responded to the VM.
	StoreAgeMs int64 `msgpack:"a"`
	// StoreUnreachable is true while the VM's calls to the store fail.
	StoreUnreachable bool `msgpack:"w,omitempty"`
	// Epoch is the latest epoch of the store that the VM knows. The maps below hold only
	// tables whose replica belongs to it.
	Epoch uint64 `msgpack:"e,omitempty"`
	// Base is the lowest version of the store that is known of the epoch.
	Base uint64 `msgpack:"b,omitempty"`
	// Versions holds the version of the VM's replica of each table.
	Versions map[string]uint64 `msgpack:"p"`
	// Confirmed holds the time of the store's steady clock, in milliseconds, up to
	// which the VM's replica of each table is known to be current.
	Confirmed map[string]int64 `msgpack:"k,omitempty"`
	// Quarantine is what the VM knows of parts of prompts that crash targets.
	Quarantine *quarantine.Report `msgpack:"q,omitempty"`
	// Pace is the VM's evidence on targets that may be slow.
	Pace []pace.Entry `msgpack:"pc,omitempty"`
	// Duty and Usage are present where the deployment has duties.
	Duty  *duty.Status  `msgpack:"d,omitempty"`
	Usage *usage.Report `msgpack:"g,omitempty"`
}

// maxName bounds the name and the zone of a VM, in bytes.
const maxName = 200

// check returns an error unless this can be the status of a VM.
func (s *status) check() error {
	if s.Name == "" || len(s.Name) > maxName || len(s.Zone) > maxName {
		return fmt.Errorf("status of a VM: found name %.40q and zone %.40q, allowed: 1 to %d bytes", s.Name, s.Zone, maxName)
	}
	return nil
}

// sameVM reports whether a later status can be that of the same VM.
func (s *status) sameVM(later *status) bool {
	return s.Name == later.Name && s.Zone == later.Zone && s.HeartbeatAddress == later.HeartbeatAddress && s.LinkAddress == later.LinkAddress
}

// sameRoute reports whether a later status leaves the routes to the VM as they are.
func (s *status) sameRoute(later *status) bool {
	return s.Zone == later.Zone && s.Leaving == later.Leaving && s.Relays == later.Relays
}

// storeAge returns the time since the store last responded to the VM.
func (s *status) storeAge() time.Duration {
	return boundedAge(s.StoreAgeMs)
}

// uptime returns the time since the VM started.
func (s *status) uptime() time.Duration {
	return boundedAge(s.UptimeMs)
}

// boundedAge returns a reported age, in milliseconds, brought into the range of ages.
func boundedAge(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), noContactAge.Milliseconds())) * time.Millisecond
}

// position returns the position of the VM's replica of a table.
func (s *status) position(table string) replica.Position {
	version, ok := s.Versions[table]
	if !ok {
		return replica.Position{}
	}
	return replica.Position{Epoch: s.Epoch, Version: version}
}

// requestMessage is the wire format of an inflight.Item; times are in milliseconds.
type requestMessage struct {
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

func encodeRequests(items []inflight.RequestState) []requestMessage {
	jobs := make([]requestMessage, 0, len(items))
	for _, i := range items {
		jobs = append(jobs, requestMessage{
			ID: i.ID, Target: i.Target, Helpers: i.Helpers, Prompt: i.PromptTokens, Answer: i.OutputTokens,
			PauseMs: int32(i.MaxEventGap.Milliseconds()), Reserved: i.Reserved, AgeMs: int32(i.Age.Milliseconds()),
			Writing: i.Decoding, WritingFor: int32(i.DecodingFor.Milliseconds()), Ended: i.Ended,
		})
	}
	return jobs
}

// Limits of what another VM reports of a request. Values beyond them are replaced by the limit, so
// that the request still counts.
const (
	maxReportedTokens  = 100_000_000 // far more than the memory of any engine
	maxReportedHelpers = 16          // as many as a request may name
)

// decodeRequests decodes reported requests. It omits those without a target, which are waiting
// calls.
func decodeRequests(jobs []requestMessage) []inflight.RequestState {
	items := make([]inflight.RequestState, 0, len(jobs))
	for _, j := range jobs {
		if j.Target != "" {
			items = append(items, j.state())
		}
	}
	return items
}

func (j requestMessage) state() inflight.RequestState {
	age := reportedTime(j.AgeMs)
	return inflight.RequestState{
		Request: inflight.Request{
			Target: j.Target, Helpers: j.Helpers[:min(len(j.Helpers), maxReportedHelpers)], PromptTokens: reportedTokens(j.Prompt), OutputTokens: reportedTokens(j.Answer),
			MaxEventGap: reportedTime(j.PauseMs), Reserved: j.Reserved,
		},
		ID:       j.ID,
		Age:      age,
		Decoding: j.Writing, DecodingFor: min(reportedTime(j.WritingFor), age), Ended: j.Ended,
	}
}

func reportedTokens(n int) int { return min(max(n, 0), maxReportedTokens) }

func reportedTime(ms int32) time.Duration { return time.Duration(max(ms, 0)) * time.Millisecond }

// checkDelta returns an error unless the changes that another VM sent can be those of a table.
func checkDelta(d replica.Delta, table string) error {
	if d.Table != table || d.From > d.To {
		return fmt.Errorf("found changes of table %.40q from version %d to %d, asked for table %q", d.Table, d.From, d.To, table)
	}
	for _, r := range d.Records {
		if r.Key == "" || r.Version == 0 {
			return fmt.Errorf("found a record with key %.40q and version %d", r.Key, r.Version)
		}
	}
	return nil
}
