package engine

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
)

// BodyOptions are the fields that oriolefront sets in the body of an attempt.
type BodyOptions struct {
	Attempt string
	// Priority orders requests within the engine; lower values are served first.
	Priority int
	// ContinueFrom is the number of events of the response that the caller
	// already has. The engine continues with the event of that index.
	ContinueFrom int
	// MaxTokens limits the output.
	MaxTokens int
	// Imports are handles of exported KV cache that precedes the prompt.
	Imports []ImportedKV
	// PromptFrom and PromptTo limit the prompt to a range of tokens; if both are
	// 0, the whole prompt is used. A PromptTo beyond the end means the end, so
	// that no tokens are lost when the length is only an estimate.
	PromptFrom int
	PromptTo   int
}

// PromptEnd is a PromptTo beyond the end of every prompt.
const PromptEnd = 1<<31 - 1

// ImportedKV identifies exported KV cache on another engine.
type ImportedKV struct {
	Address string `json:"address"`
	Handle  string `json:"handle"`
}

// EncodeBody merges the caller's fields with those of o. It copies the values
// without decoding them, because a prompt can be several megabytes long.
func EncodeBody(fields map[string]json.RawMessage, o BodyOptions) ([]byte, error) {
	size := 256
	names := make([]string, 0, len(fields))
	for name, value := range fields {
		if isOption(name) {
			continue
		}
		names = append(names, name)
		size += len(name) + len(value) + 4
	}
	slices.Sort(names)
	body := make([]byte, 0, size)
	body = append(body, '{')
	for _, name := range names {
		quoted, err := json.Marshal(name)
		if err != nil {
			return nil, fmt.Errorf("encode field name %q: %w", name, err)
		}
		body = append(body, quoted...)
		body = append(body, ':')
		body = append(body, fields[name]...)
		body = append(body, ',')
	}
	body = appendOptions(body, o)
	return append(body, '}'), nil
}

func isOption(name string) bool {
	switch name {
	case "stream", "request_id", "priority", "continue_from", "max_tokens",
		"max_completion_tokens", "stream_options", "kv_imports", "prompt_from", "prompt_to":
		return true
	}
	return false
}

func appendOptions(body []byte, o BodyOptions) []byte {
	body = append(body, `"stream":true,"request_id":`...)
	attempt, _ := json.Marshal(o.Attempt) // encoding a string cannot fail
	body = append(body, attempt...)
	body = appendIntField(body, "priority", o.Priority)
	body = appendIntField(body, "continue_from", o.ContinueFrom)
	body = appendIntField(body, "max_tokens", o.MaxTokens)
	if o.PromptTo > 0 {
		body = appendIntField(body, "prompt_from", o.PromptFrom)
		body = appendIntField(body, "prompt_to", o.PromptTo)
	}
	if len(o.Imports) > 0 {
		body = append(body, `,"kv_imports":`...)
		imports, _ := json.Marshal(o.Imports) // encoding plain strings cannot fail
		body = append(body, imports...)
	}
	return body
}

func appendIntField(body []byte, name string, value int) []byte {
	body = append(body, `,"`...)
	body = append(body, name...)
	body = append(body, `":`...)
	return strconv.AppendInt(body, int64(value), 10)
}
