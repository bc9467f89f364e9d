// Package standin provides fakes of the systems around oriolefront: model engines,
// plain services, the platform's table service, object store and VM list. They
// implement the same protocols and can inject the faults that tests and
// experiments need.
package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
)

// BytesPerToken is the assumed size of a prompt token in bytes.
const BytesPerToken = 5

// completionRequest holds the fields of a completion request that the engine uses.
type completionRequest struct {
	Model        string          `json:"model"`
	Prompt       json.RawMessage `json:"prompt"`
	Messages     json.RawMessage `json:"messages"`
	MaxTokens    int             `json:"max_tokens"`
	RequestID    string          `json:"request_id"`
	Priority     int             `json:"priority"`
	ContinueFrom int             `json:"continue_from"`
	PromptFrom   int             `json:"prompt_from"`
	PromptTo     int             `json:"prompt_to"`
	Imports      []kvImport      `json:"kv_imports"`
	chat         bool
}

// kvImport identifies a KV cache export on another engine.
type kvImport struct {
	Address string `json:"address"`
	Handle  string `json:"handle"`
}

func (r *completionRequest) promptJSON() []byte {
	if r.chat {
		return r.Messages
	}
	return r.Prompt
}

// promptTokens returns the number of prompt tokens that this engine prefills.
func (r *completionRequest) promptTokens() int {
	whole := max(1, len(r.promptJSON())/BytesPerToken)
	if r.PromptTo > 0 {
		return max(1, min(r.PromptTo, whole)-r.PromptFrom)
	}
	return whole
}

// PromptHash returns a hash of a prompt, given as its JSON value in the request.
func PromptHash(promptJSON []byte) uint64 {
	h := fnv.New64a()
	h.Write(promptJSON)
	return h.Sum64()
}

// OutputToken returns output token i for a prompt. It depends on nothing else, so
// that a caller can check that a response is complete and belongs to its request.
func OutputToken(promptHash uint64, i int) string {
	x := promptHash + uint64(i)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return fmt.Sprintf("%07x ", x&0xfffffff)
}

// encodeChunk encodes one chunk of a streamed response.
func encodeChunk(r *completionRequest, hash uint64, i int, finish string) []byte {
	text := OutputToken(hash, i)
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	model, _ := json.Marshal(r.Model) // a string always encodes
	if r.chat {
		return fmt.Appendf(nil,
			`{"id":"%s","object":"chat.completion.chunk","created":0,"model":%s,"choices":[{"index":0,"delta":{"role":"assistant","content":"%s"},"finish_reason":%s}]}`,
			r.RequestID, model, text, reason)
	}
	return fmt.Appendf(nil,
		`{"id":"%s","object":"text_completion","created":0,"model":%s,"choices":[{"index":0,"text":"%s","logprobs":null,"finish_reason":%s}]}`,
		r.RequestID, model, text, reason)
}
