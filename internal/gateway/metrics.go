package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts the results of callers' requests.
type Metrics struct {
	set           *metrics.Set
	retries       *metrics.Counter
	foreignEvents *metrics.Counter
}

// NewMetrics registers the gateway's metrics in set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:           set,
		retries:       set.NewCounter("oriolefront_retries_total"),
		foreignEvents: set.NewCounter("oriolefront_foreign_events_total"),
	}
}

// promptLengthBuckets are the upper bounds, in prompt tokens, of the buckets by which the
// time to first token is measured.
var promptLengthBuckets = []struct {
	limit int
	label string
}{
	{2_000, "to_2k"},
	{10_000, "to_10k"},
	{32_000, "to_32k"},
	{100_000, "to_100k"},
	{400_000, "to_400k"},
	{1_000_000, "to_1m"},
}

// PromptLengthBucket returns the label of the bucket for a number of prompt tokens.
func PromptLengthBucket(tokens int) string {
	for _, b := range promptLengthBuckets {
		if tokens <= b.limit {
			return b.label
		}
	}
	return "over_1m"
}

// observeFirstToken records the time from a request's arrival to its first event.
func (m *Metrics) observeFirstToken(promptTokens int, elapsed time.Duration) {
	name := fmt.Sprintf(`oriolefront_first_token_seconds{prompt_tokens=%q}`, PromptLengthBucket(promptTokens))
	m.set.GetOrCreateHistogram(name).Update(elapsed.Seconds())
}

func (m *Metrics) countOutcome(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`oriolefront_requests_total{outcome=%q}`, kind)).Inc()
}
