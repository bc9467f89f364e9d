// Package engine is the adapter between oriolefront and language-model engines.
// It contains everything that depends on an engine's protocol.
package engine

import (
	"context"
	"errors"
	"time"
)

// Errors into which an engine's responses are classified.
var (
	// ErrNotRun reports that the engine did not run the request: the connection
	// could not be opened, or the engine said so.
	ErrNotRun = errors.New("engine did not run the request")
	// ErrInterrupted reports that the stream ended without its end marker.
	ErrInterrupted = errors.New("engine stream ended without its end marker")
	// ErrUnknownAttempt reports that the engine does not hold the attempt.
	ErrUnknownAttempt = errors.New("engine does not hold the attempt")
	// ErrRejected reports that the engine rejected the request as invalid.
	ErrRejected = errors.New("engine rejected the request as invalid")
	// ErrStaleFencing reports that a command carried a stale fencing token.
	ErrStaleFencing = errors.New("engine rejected a stale fencing token")
)

// StartRequest describes one attempt at a completion.
type StartRequest struct {
	// Attempt is unique among all attempts of all VMs.
	Attempt string
	// Path is the API path, such as "/v1/completions".
	Path string
	// Body is the JSON body, which already contains the fields of BodyOptions.
	Body []byte
}

// Event is one event of a response.
type Event struct {
	// Attempt is the attempt to which the event belongs, according to the engine.
	Attempt string
	// Index numbers the events of a response from 0 without gaps.
	Index int
	// Data is the JSON chunk as the engine sent it. It is valid until the next call to Next.
	Data []byte
	// Text is the text of the chunk.
	Text string
	// FinishReason is set in the last event of a response.
	FinishReason string
}

// Stream delivers the events of one attempt.
type Stream interface {
	// Next returns the next event. It returns io.EOF only after the end marker,
	// ErrInterrupted if the stream ends without it, and an EventError if what follows
	// cannot be an event of the stream.
	Next() (Event, error)
	// StartNumber is the engine's start number when the stream was opened.
	StartNumber() uint64
	// PromptTokens is the number of prompt tokens as counted by the engine, or 0
	// if it sent none.
	PromptTokens() int
	// Close releases the connection. It does not cancel the attempt.
	Close() error
}

// Attempt is an entry in an engine's list of the attempts that it holds.
type Attempt struct {
	ID       string        `json:"id"`
	KVTokens int           `json:"kv_tokens"`
	Attached bool          `json:"attached"`
	Idle     time.Duration `json:"idle_ns"`
}

// Export is KV cache that the engine keeps for another engine to import.
type Export struct {
	Handle   string        `json:"handle"`
	Attempt  string        `json:"attempt"`
	KVTokens int           `json:"kv_tokens"`
	Age      time.Duration `json:"age_ns"`
}

// Inventory lists what uses an engine's memory.
type Inventory struct {
	StartNumber uint64    `json:"start_number"`
	Attempts    []Attempt `json:"attempts"`
	Exports     []Export  `json:"exports"`
}

// Load is an engine's load report. It can be out of date.
type Load struct {
	StartNumber    uint64  `json:"start_number"`
	Cold           bool    `json:"cold"`
	Draining       bool    `json:"draining"`
	Running        int     `json:"running"`
	PrefillBacklog int     `json:"prefill_backlog"` // tokens
	KVUsed         int     `json:"kv_used"`         // tokens
	KVTokens       int     `json:"kv_tokens"`       // tokens
	Role           string  `json:"role"`
	Models         []Model `json:"models"`
}

// Model is a model or adapter that an engine has loaded.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// CacheEvent reports that a prefix entered or left the engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // hash of the prefix's blocks
	Tokens   int    `json:"tokens"`
	Removed  bool   `json:"removed"`
}

// CacheEvents is a batch of events. A gap in the sequence numbers means that
// events were lost.
type CacheEvents struct {
	StartNumber uint64       `json:"start_number"`
	Events      []CacheEvent `json:"events"`
}

// Order is a command that changes what an engine serves.
type Order struct {
	Kind    string `json:"kind"` // "load-model", "unload-model" or "set-role"
	Model   Model  `json:"model"`
	Role    string `json:"role,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// Client communicates with one engine.
type Client interface {
	Start(ctx context.Context, r StartRequest) (Stream, error)
	// Resume reopens an attempt's stream at the event with index from.
	Resume(ctx context.Context, attempt string, from int) (Stream, error)
	// Cancel ends an attempt. It succeeds if the engine does not hold the
	// attempt.
	Cancel(ctx context.Context, attempt string) error
	Inventory(ctx context.Context) (Inventory, error)
	Load(ctx context.Context) (Load, error)
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	// Export prefills a request and keeps its KV cache under a handle.
	Export(ctx context.Context, r StartRequest) (Export, error)
	DeleteExport(ctx context.Context, handle string) error
	Order(ctx context.Context, o Order) error
}
