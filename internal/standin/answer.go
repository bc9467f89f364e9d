// Package standin holds small stand-ins for the systems around oriolefront:
// model engines, plain services, the platform's table service, object store
// and VM list. They speak the same protocols and have switches for the faults
// that tests and experiments need.
package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
)

// BytesPerToken is the size of a token in the stand-in's prompts.
const BytesPerToken = 5

// completionRequest holds the fields of a completion that the engine reads.
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

// kvImport names an export on another engine.
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

// promptTokens is the number of tokens that this engine has to prefill.
func (r *completionRequest) promptTokens() int {
	whole := max(1, len(r.promptJSON())/BytesPerToken)
	if r.PromptTo > 0 {
		return max(1, min(r.PromptTo, whole)-r.PromptFrom)
	}
	return whole
}

// PromptHash identifies a prompt given as the JSON value that was sent.
func PromptHash(promptJSON []byte) uint64 {
	h := fnv.New64a()
	h.Write(promptJSON)
	return h.Sum64()
}

// OutputToken returns token i of the answer to a prompt. It depends on nothing
// else, so that a caller can check that an answer is whole and its own.
func OutputToken(promptHash uint64, i int) string {
	x := promptHash + uint64(i)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return fmt.Sprintf("%07x ", x&0xfffffff)
}

// chunk encodes one streamed chunk.
func chunk(r *completionRequest, hash uint64, i int, finish string) []byte {
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
