package loadgen

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/gateway"
)

// RequestKind is one kind of request in a mix.
type RequestKind struct {
	Name string
	// Weight is the share of the kind, relative to the weights of the others.
	Weight float64
	// MinPromptTokens and MaxPromptTokens bound the prompt length, which is
	// distributed log-uniformly.
	MinPromptTokens, MaxPromptTokens int
	OutputTokens                     int
	Timeout                          time.Duration
	ReadDelay                        time.Duration
	// SharedPrefixes, if above 0, is the number of distinct prefixes, each of
	// SharedPrefixTokens, that the prompts of the kind share.
	SharedPrefixes     int
	SharedPrefixTokens int
}

// Workload describes an open-loop run.
type Workload struct {
	Model string
	Mix   []RequestKind
	// PerSecond is the arrival rate.
	PerSecond float64
	Duration  time.Duration
	Seed      uint64
	// IDPrefix is the prefix of the request ids; it makes them unique to the run.
	IDPrefix string
	// OnResult, if not nil, is called with every result.
	OnResult func(kind string, r Result)
}

// Summary aggregates the results of a run.
type Summary struct {
	mu           sync.Mutex
	Sent         int
	Complete     int
	Incorrect    int
	NotRun       int
	Failed       int
	Unknown      int
	Interrupted  int // ended without a known outcome: an interrupted stream or connection
	Errors       map[string]int
	firstToken   map[string]*hdrhistogram.Histogram // by kind, microseconds
	byLength     map[string]*hdrhistogram.Histogram // by prompt length bucket
	timePerToken *hdrhistogram.Histogram
	Tokens       int // prompt and output tokens of complete responses
}

const maxMicroseconds = int64(time.Hour / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, 3) }

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		Errors:       map[string]int{},
		firstToken:   map[string]*hdrhistogram.Histogram{},
		byLength:     map[string]*hdrhistogram.Histogram{},
		timePerToken: newHistogram(),
	}
}

func histogramOf(m map[string]*hdrhistogram.Histogram, name string) *hdrhistogram.Histogram {
	h := m[name]
	if h == nil {
		h = newHistogram()
		m[name] = h
	}
	return h
}

// Add records one result.
func (s *Summary) Add(kind string, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Sent++
	if r.TimeToFirstToken > 0 {
		histogramOf(s.firstToken, kind).RecordValue(r.TimeToFirstToken.Microseconds())
		histogramOf(s.byLength, gateway.PromptLengthBucket(r.Request.PromptTokens)).RecordValue(r.TimeToFirstToken.Microseconds())
	}
	if r.Incorrect {
		s.Incorrect++
	}
	if r.Complete {
		s.Complete++
		s.Tokens += r.Request.PromptTokens + r.Request.MaxTokens
		if r.Events > 1 {
			s.timePerToken.RecordValue((r.Duration - r.TimeToFirstToken).Microseconds() / int64(r.Events-1))
		}
		return
	}
	switch r.Outcome {
	case apierror.NotRun:
		s.NotRun++
	case apierror.Failed:
		s.Failed++
	case apierror.OutcomeUnknown:
		s.Unknown++
	default:
		s.Interrupted++
	}
	s.Errors[errorKind(r.Error)]++
}

// errorKind shortens an error to the part before its details.
func errorKind(text string) string {
	kind, _, _ := strings.Cut(text, ":")
	return kind
}

// TimeToFirstToken returns a percentile of the time to first token of one kind of
// request.
func (s *Summary) TimeToFirstToken(kind string, percentile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(histogramOf(s.firstToken, kind).ValueAtQuantile(percentile)) * time.Microsecond
}

// TimeToFirstTokenByLength returns a percentile of the time to first token for a
// prompt length bucket, and the number of requests in the bucket.
func (s *Summary) TimeToFirstTokenByLength(bucket string, percentile float64) (time.Duration, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := histogramOf(s.byLength, bucket)
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond, h.TotalCount()
}

// FirstTokenWithin returns the share of the requests of a kind whose first token
// arrived within limit.
func (s *Summary) FirstTokenWithin(kind string, limit time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := histogramOf(s.firstToken, kind)
	if h.TotalCount() == 0 {
		return 0
	}
	within := int64(0)
	for _, bar := range h.Distribution() {
		if bar.To <= limit.Microseconds() {
			within += bar.Count
		}
	}
	return float64(within) / float64(h.TotalCount())
}

// TimePerOutputToken returns a percentile, over all responses, of the mean time
// between the tokens of a response.
func (s *Summary) TimePerOutputToken(percentile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.timePerToken.ValueAtQuantile(percentile)) * time.Microsecond
}

// String formats the counts as one line.
func (s *Summary) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("sent=%d whole=%d wrong=%d not_run=%d failed=%d unknown=%d broken=%d errors=%v",
		s.Sent, s.Complete, s.Incorrect, s.NotRun, s.Failed, s.Unknown, s.Interrupted, s.Errors)
}

// arrival is a request with its scheduled time.
type arrival struct {
	at   time.Duration
	kind RequestKind
	req  Request
}

// planArrivals draws the arrivals of a workload; the same seed gives the same
// arrivals.
func planArrivals(w Workload) []arrival {
	r := rand.New(rand.NewPCG(w.Seed, 0x9e3779b97f4a7c15))
	total := 0.0
	for _, k := range w.Mix {
		total += k.Weight
	}
	var arrivals []arrival
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(r.ExpFloat64() / w.PerSecond * float64(time.Second))
		if at > w.Duration {
			return arrivals
		}
		k := drawKind(r, w.Mix, total)
		arrivals = append(arrivals, arrival{at: at, kind: k, req: Request{
			ID:           fmt.Sprintf("%s-%d", w.IDPrefix, i),
			Model:        w.Model,
			PromptTokens: logUniform(r, k.MinPromptTokens, k.MaxPromptTokens),
			MaxTokens:    k.OutputTokens,
			Timeout:      k.Timeout,
			ReadDelay:    k.ReadDelay,
			Prefix:       sharedPrefix(r, k),
		}})
	}
}

func drawKind(r *rand.Rand, mix []RequestKind, total float64) RequestKind {
	x := r.Float64() * total
	for _, k := range mix {
		if x < k.Weight {
			return k
		}
		x -= k.Weight
	}
	return mix[len(mix)-1]
}

func logUniform(r *rand.Rand, low, high int) int {
	if high <= low {
		return low
	}
	x := math.Log(float64(low)) + r.Float64()*(math.Log(float64(high))-math.Log(float64(low)))
	return int(math.Exp(x))
}

func sharedPrefix(r *rand.Rand, k RequestKind) string {
	if k.SharedPrefixes == 0 {
		return ""
	}
	start := 1000 + r.IntN(k.SharedPrefixes)*17
	return fillerText[start : start+k.SharedPrefixTokens*5]
}

// Run sends the requests of a workload and returns when all have ended.
func Run(ctx context.Context, c *Client, w Workload) *Summary {
	summary := NewSummary()
	var wait sync.WaitGroup
	start := time.Now()
	for _, a := range planArrivals(w) {
		select {
		case <-time.After(time.Until(start.Add(a.at))):
		case <-ctx.Done():
			wait.Wait()
			return summary
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			result := c.Do(ctx, a.req)
			summary.Add(a.kind.Name, result)
			if w.OnResult != nil {
				w.OnResult(a.kind.Name, result)
			}
		}()
	}
	wait.Wait()
	return summary
}
