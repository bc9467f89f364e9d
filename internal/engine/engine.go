// Package engine is the adapter between oriolefront and language-model
// engines. Everything that depends on the protocol of an engine is here.
package engine

import (
	"context"
	"errors"
	"time"
)

// Errors that an engine's answer is classified into.
var (
	// ErrNotRun reports that the engine did not run the request: the
	// connection could not be opened, or the engine said so.
	ErrNotRun = errors.New("engine did not run the request")
	// ErrInterrupted reports that the stream ended without its end mark.
	ErrInterrupted = errors.New("engine stream ended without its end mark")
	// ErrUnknownAttempt reports that the engine holds no such attempt.
	ErrUnknownAttempt = errors.New("engine does not hold the attempt")
	// ErrRejected reports that the engine refused the request as invalid.
	ErrRejected = errors.New("engine rejected the request as invalid")
	// ErrStaleFencing reports that an order carried an old fencing number.
	ErrStaleFencing = errors.New("engine refused an old fencing number")
)

// StartRequest describes one attempt at a completion.
type StartRequest struct {
	// Attempt is unique among all attempts of all VMs.
	Attempt string
	// Path is the API path, such as "/v1/completions".
	Path string
	// Body is the JSON body, with the fields of Options already in it.
	Body []byte
}

// Event is one event of an answer.
type Event struct {
	// Attempt is the attempt that the engine says the event belongs to.
	Attempt string
	// Index numbers the events of an answer from 0 without gaps.
	Index int
	// Data is the JSON chunk as the engine sent it.
	Data []byte
}

// Stream delivers the events of one attempt.
type Stream interface {
	// Next returns the next event. It returns io.EOF only after the end mark,
	// and ErrInterrupted when the stream ends without it.
	Next() (Event, error)
	// StartNumber is the engine's start number when the stream was opened.
	StartNumber() uint64
	// PromptTokens is the engine's count of the prompt, 0 if it gave none.
	PromptTokens() int
	// Close releases the connection. It does not cancel the attempt.
	Close() error
}

// Attempt is an entry of the engine's list of the attempts that it holds.
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

// Inventory lists what holds an engine's memory.
type Inventory struct {
	StartNumber uint64    `json:"start_number"`
	Attempts    []Attempt `json:"attempts"`
	Exports     []Export  `json:"exports"`
}

// Load is an engine's report about itself. It lags.
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

// CacheEvent says that a prefix entered or left the engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // hash of the prefix's blocks
	Tokens   int    `json:"tokens"`
	Removed  bool   `json:"removed"`
}

// CacheEvents is a batch of events. A gap in the sequence means that events
// were lost.
type CacheEvents struct {
	StartNumber uint64       `json:"start_number"`
	Events      []CacheEvent `json:"events"`
}

// Order asks an engine to change what it serves.
type Order struct {
	Kind    string `json:"kind"` // "load-model", "unload-model" or "set-role"
	Model   Model  `json:"model"`
	Role    string `json:"role,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// Client speaks to one engine.
type Client interface {
	Start(ctx context.Context, r StartRequest) (Stream, error)
	// Resume reopens an attempt's stream from the event with index from.
	Resume(ctx context.Context, attempt string, from int) (Stream, error)
	// Cancel ends an attempt; it succeeds when the engine holds no such attempt.
	Cancel(ctx context.Context, attempt string) error
	ApplyInventory(ctx context.Context) (Inventory, error)
	Load(ctx context.Context) (Load, error)
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	// Export prefills a request and keeps its KV cache under a handle.
	Export(ctx context.Context, r StartRequest) (Export, error)
	DeleteExport(ctx context.Context, handle string) error
	Order(ctx context.Context, o Order) error
}
