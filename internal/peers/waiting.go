package peers

import (
	"slices"

	"github.com/oriolefront/oriolefront/internal/inflight"
)

// A waiting call is sent as a requestMessage without a target, which programs that do not know
// waiting calls ignore. The fields have these meanings then:
//
//	Helpers     service and account; for a call that was refused and is expected to return also
//	            the identity of its request
//	Answer      rank
//	AgeMs       time since the call began to wait
//	WritingFor  age from which it is late
//	Writing     its caller was refused before
//
// ID and Prompt are those of a request. The others are not used.

// Numbers of names in the field Helpers.
const (
	waitingHelpers  = 2
	expectedHelpers = 3
)

// maxReportedRank bounds the rank of a reported call.
const maxReportedRank = 1000

func encodeWaiting(calls []inflight.WaitingCall) []requestMessage {
	var messages []requestMessage
	for _, c := range calls {
		names := []string{c.Service, c.Account}
		if c.Identity != "" {
			names = append(names, c.Identity)
		}
		messages = append(messages, requestMessage{
			ID: c.ID, Helpers: names, Prompt: c.PromptTokens, Answer: c.Rank,
			AgeMs: int32(c.Age.Milliseconds()), Writing: c.Returned, WritingFor: int32(c.LateAfter.Milliseconds()),
		})
	}
	return messages
}

// decodeWaiting returns the waiting calls among reported requests.
func decodeWaiting(messages []requestMessage) []inflight.WaitingCall {
	var calls []inflight.WaitingCall
	for _, m := range messages {
		n := len(m.Helpers)
		if m.Target != "" || n < waitingHelpers || n > expectedHelpers || m.Helpers[0] == "" || slices.ContainsFunc(m.Helpers, tooLong) {
			continue
		}
		identity := ""
		if n == expectedHelpers {
			identity = m.Helpers[waitingHelpers]
		}
		calls = append(calls, inflight.WaitingCall{
			Service: m.Helpers[0], Account: m.Helpers[1], Identity: identity, Returned: m.Writing, Rank: min(max(m.Answer, 0), maxReportedRank), PromptTokens: reportedTokens(m.Prompt),
			LateAfter: reportedTime(m.WritingFor), ID: m.ID, Age: reportedTime(m.AgeMs),
		})
	}
	return calls
}

func tooLong(name string) bool { return len(name) > maxName }
