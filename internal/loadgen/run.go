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
	// Weight is the share of the kind relative to the other weights.
	Weight float64
	// MinPromptTokens and MaxTokens bound the prompt; lengths are log-uniform.
	MinPromptTokens, MaxPromptTokens int
	// OutputTokens is the length of the answer in tokens.
	OutputTokens int
	Timeout      time.Duration
	ReadDelay    time.Duration
	// SharedPrefixes, if above 0, is how many different texts of
	// SharedPrefixTokens the prompts of the kind begin with.
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
	// IDPrefix makes the request ids of the run unique.
	IDPrefix string
	// Each, if not nil, is called with every result.
	OnResult func(kind string, r Result)
}

// Summary gathers the results of a run.
type Summary struct {
	mu          sync.Mutex
	Sent        int
	Complete    int
	Incorrect   int
	NotRun      int
	Failed      int
	Unknown     int
	Interrupted int // no truthful end: a broken stream or connection
	Errors      map[string]int
	first       map[string]*hdrhistogram.Histogram // by kind, microseconds
	byLength    map[string]*hdrhistogram.Histogram // by band of prompt length
	between     *hdrhistogram.Histogram
	Tokens      int // prompt and output tokens of whole answers
}

const maxMicroseconds = int64(time.Hour / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, 3) }

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		Errors:   map[string]int{},
		first:    map[string]*hdrhistogram.Histogram{},
		byLength: map[string]*hdrhistogram.Histogram{},
		between:  newHistogram(),
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

// Add takes one result.
func (s *Summary) Add(kind string, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Sent++
	if r.TimeToFirstToken > 0 {
		histogramOf(s.first, kind).RecordValue(r.TimeToFirstToken.Microseconds())
		histogramOf(s.byLength, gateway.PromptLengthBucket(r.Request.PromptTokens)).RecordValue(r.TimeToFirstToken.Microseconds())
	}
	if r.Incorrect {
		s.Incorrect++
	}
	if r.Complete {
		s.Complete++
		s.Tokens += r.Request.PromptTokens + r.Request.MaxTokens
		if r.Events > 1 {
			s.between.RecordValue((r.Total - r.TimeToFirstToken).Microseconds() / int64(r.Events-1))
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

// TimeToFirstToken returns a percentile of the time to first token of a kind.
func (s *Summary) TimeToFirstToken(kind string, percentile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(histogramOf(s.first, kind).ValueAtQuantile(percentile)) * time.Microsecond
}

// TimeToFirstTokenByLength returns a percentile for a band of prompt lengths and the
// number of requests in it.
func (s *Summary) TimeToFirstTokenByLength(band string, percentile float64) (time.Duration, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := histogramOf(s.byLength, band)
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond, h.TotalCount()
}

// FirstTokenWithin returns the share of requests of a kind whose first token came
// within limit.
func (s *Summary) FirstTokenWithin(kind string, limit time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := histogramOf(s.first, kind)
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

// TimePerOutputToken returns a percentile of the mean time between the tokens of
// an answer.
func (s *Summary) TimePerOutputToken(percentile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.between.ValueAtQuantile(percentile)) * time.Microsecond
}

// String returns the counts in one line.
func (s *Summary) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("sent=%d whole=%d wrong=%d not_run=%d failed=%d unknown=%d broken=%d errors=%v",
		s.Sent, s.Complete, s.Incorrect, s.NotRun, s.Failed, s.Unknown, s.Interrupted, s.Errors)
}

// arrival is a planned request.
type arrival struct {
	at   time.Duration
	kind RequestKind
	req  Request
}

// plan draws the arrivals of a load; equal seeds give equal plans.
func plan(l Workload) []arrival {
	r := rand.New(rand.NewPCG(l.Seed, 0x9e3779b97f4a7c15))
	total := 0.0
	for _, k := range l.Mix {
		total += k.Weight
	}
	var arrivals []arrival
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(r.ExpFloat64() / l.PerSecond * float64(time.Second))
		if at > l.Duration {
			return arrivals
		}
		k := draw(r, l.Mix, total)
		arrivals = append(arrivals, arrival{at: at, kind: k, req: Request{
			ID:           fmt.Sprintf("%s-%d", l.IDPrefix, i),
			Model:        l.Model,
			PromptTokens: logUniform(r, k.MinPromptTokens, k.MaxPromptTokens),
			MaxTokens:    k.OutputTokens,
			Timeout:      k.Timeout,
			ReadDelay:    k.ReadDelay,
			Prefix:       sharedPrefix(r, k),
		}})
	}
}

func draw(r *rand.Rand, mix []RequestKind, total float64) RequestKind {
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
	return filler[start : start+k.SharedPrefixTokens*5]
}

// Run sends the load and returns when all requests have ended.
func Run(ctx context.Context, c *Client, l Workload) *Summary {
	summary := NewSummary()
	var wait sync.WaitGroup
	start := time.Now()
	for _, a := range plan(l) {
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
			if l.OnResult != nil {
				l.OnResult(a.kind.Name, result)
			}
		}()
	}
	wait.Wait()
	return summary
}
