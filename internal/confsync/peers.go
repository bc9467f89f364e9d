package confsync

import (
	"context"
	"fmt"
	"maps"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
)

// Messages between VMs and their limits.
const (
	// MessageFetch is the kind of the message that fetches a bundle of patches.
	MessageFetch = "FetchPatches"
	// attachmentName is the name of the heartbeat attachment that carries the Head.
	attachmentName = "config"
	// maxMessageBytes bounds one message, so that it does not delay heartbeats on
	// the same link.
	maxMessageBytes = 256 << 10
	// maxChunkBytes leaves room for the other fields of a reply.
	maxChunkBytes = maxMessageBytes - 1024
	// maxBundleBytes bounds a bundle from a peer. Larger bundles come from the
	// store.
	maxBundleBytes = 64 << 20
	// startupConcurrency bounds the concurrent calls to peers at start-up.
	startupConcurrency = 16
)

// fetchRequest requests the encoded bundle that leads from version After to UpTo,
// from byte Offset on. UpTo 0 requests the head only.
type fetchRequest struct {
	After  uint64 `msgpack:"a"`
	UpTo   uint64 `msgpack:"u"`
	Offset int    `msgpack:"o"`
}

type fetchReply struct {
	HasConfig bool   `msgpack:"k"` // false if the peer has no configuration yet
	Head      Head   `msgpack:"h"`
	Total     int    `msgpack:"t"`
	Data      []byte `msgpack:"d"`
}

// Register registers the handler of fetch requests from peers.
func (s *Syncer) Register(r link.Registrar) { r.Handle(MessageFetch, s.serveFetch) }

func (s *Syncer) serveFetch(_ context.Context, payload []byte) (any, error) {
	var req fetchRequest
	if err := msgpack.Unmarshal(payload, &req); err != nil {
		return nil, config.Problem{Key: MessageFetch, Found: err.Error(), Allowed: "a fetch request"}
	}
	st := s.current()
	if st == nil {
		return fetchReply{}, nil
	}
	reply := fetchReply{HasConfig: true, Head: st.head()}
	if req.UpTo == 0 {
		return reply, nil
	}
	data, err := st.bundle(req.After, req.UpTo)
	if err != nil {
		return nil, err
	}
	if req.Offset < 0 || req.Offset > len(data) || len(data) > maxBundleBytes {
		return nil, config.Problem{Key: "offset", Found: fmt.Sprintf("%d of %d bytes", req.Offset, len(data)), Allowed: fmt.Sprintf("0 to the length, which is at most %d", maxBundleBytes)}
	}
	reply.Total = len(data)
	reply.Data = data[req.Offset:min(len(data), req.Offset+maxChunkBytes)]
	return reply, nil
}

// bundle returns the encoded bundle that leads from version after to upTo.
func (st *state) bundle(after, upTo uint64) ([]byte, error) {
	records, ok := st.recordsAfter(after, upTo)
	if ok {
		return msgpack.Marshal(bundle{Records: records})
	}
	if st.checkpoint == nil || after >= st.checkpoint.config.Version {
		return nil, errRecordsMissing
	}
	records, ok = st.recordsAfter(st.checkpoint.config.Version, upTo)
	if !ok {
		return nil, errRecordsMissing
	}
	return msgpack.Marshal(bundle{Snapshot: st.checkpoint.encoded(), Records: records})
}

// peerFetcher returns a function that fetches a bundle from one peer in bounded
// messages. If the peer's bundle changes between two messages, the result does
// not decode or verify and is rejected.
func (s *Syncer) peerFetcher(address string) func(context.Context, uint64, Head) (bundle, error) {
	return func(ctx context.Context, after uint64, target Head) (bundle, error) {
		var data []byte
		for {
			reply, err := s.callPeer(ctx, address, fetchRequest{After: after, UpTo: target.Version, Offset: len(data)})
			if err != nil {
				return bundle{}, err
			}
			if reply.Total > maxBundleBytes || len(reply.Data) > maxChunkBytes || len(reply.Data) == 0 {
				return bundle{}, config.Problem{Key: MessageFetch, Found: fmt.Sprintf("%d of %d bytes", len(reply.Data), reply.Total), Allowed: fmt.Sprintf("1 to %d of at most %d bytes", maxChunkBytes, maxBundleBytes)}
			}
			data = append(data, reply.Data...)
			if len(data) >= reply.Total {
				return decodeBundle(data)
			}
		}
	}
}

func decodeBundle(data []byte) (bundle, error) {
	var b bundle
	if err := msgpack.Unmarshal(data, &b); err != nil {
		return b, config.Problem{Key: "bundle", Found: err.Error(), Allowed: "a snapshot and records"}
	}
	return b, nil
}

func (s *Syncer) callPeer(ctx context.Context, address string, req fetchRequest) (fetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply fetchReply
	err := s.options.Caller.Call(ctx, address, MessageFetch, req, &reply)
	return reply, err
}

// Attachment returns the heartbeat attachment that carries the head of this VM.
func (s *Syncer) Attachment() membership.Attachment {
	return membership.Attachment{Name: attachmentName, Produce: s.produce, Consume: s.consume}
}

func (s *Syncer) produce() []byte {
	st := s.current()
	if st == nil {
		return nil
	}
	data, err := msgpack.Marshal(st.head())
	if err != nil {
		return nil
	}
	return data
}

func (s *Syncer) consume(from membership.Instance, data []byte) {
	h, err := decodeHead(data)
	if err != nil {
		s.rejected.Inc()
		s.options.Log.Error("invalid configuration head from peer", "peer", from.Address, "error", err)
		return
	}
	s.recordPeerHead(from.Address, h)
}

func decodeHead(data []byte) (Head, error) {
	var h Head
	if err := msgpack.Unmarshal(data, &h); err != nil {
		return h, config.Problem{Key: "head", Found: err.Error(), Allowed: "a version and a hash"}
	}
	return h, h.check()
}

// recordPeerHead stores the head of a peer and wakes Run if its version is higher
// than the active one.
func (s *Syncer) recordPeerHead(address string, h Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heads[address] = h
	if s.state != nil && h.Version <= s.state.config.Version {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dropDepartedPeers drops the heads of VMs that are no longer peers.
func (s *Syncer) dropDepartedPeers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := map[string]bool{}
	for _, p := range s.options.Peers() {
		known[p.Instance.Address] = true
	}
	maps.DeleteFunc(s.heads, func(address string, _ Head) bool { return !known[address] })
}

// fetchPeerHeads fetches the heads of all peers.
func (s *Syncer) fetchPeerHeads(ctx context.Context) {
	peers := s.options.Peers()
	slots := make(chan struct{}, startupConcurrency)
	var wg sync.WaitGroup
	for _, p := range peers {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			s.fetchPeerHead(ctx, p.Instance.Address)
		})
	}
	wg.Wait()
}

func (s *Syncer) fetchPeerHead(ctx context.Context, address string) {
	reply, err := s.callPeer(ctx, address, fetchRequest{})
	if err != nil {
		s.options.Log.Warn("configuration head not fetched from peer", "peer", address, "error", err)
		return
	}
	if err := reply.Head.check(); err != nil {
		s.rejected.Inc()
		s.options.Log.Error("invalid configuration head from peer", "peer", address, "error", err)
		return
	}
	if reply.HasConfig {
		s.recordPeerHead(address, reply.Head)
	}
}
