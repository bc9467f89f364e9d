package autoscale

import (
	"math"
	"time"

	"github.com/oriolefront/oriolefront/internal/enginemodel"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/topology"
)

const (
	// longPrompt is the length from which a prompt is counted by its prefill and memory
	// rather than by its slot. The registry keeps such prompts for a while after their
	// end, so that each sample knows all that began in the last second.
	longPrompt = 20_000
	// arrivalWindow is the time within which the arrivals of a sample lie.
	arrivalWindow = time.Second
	// slotsWindow and prefillWindow are the times over which the samples are averaged.
	// Long prompts are few, so that their arrivals in one second vary by a half.
	slotsWindow   = time.Second
	prefillWindow = 3 * time.Second
	// essentialWindow is the time over which the load is averaged that must be borne
	// without one zone: callers wait for 10 s or longer, but half of a cycle must do.
	essentialWindow = 5 * time.Second
	// maxSampleGap is the gap between samples that interrupts the history.
	maxSampleGap = time.Second
	// The load has ended when nothing arrived for endSilence, in which minExpected
	// arrivals were due by the rate before. The mix leaves 0.3 of the usual short prompts
	// in a lull, so that such a silence is no lull.
	endSilence  = 3 * time.Second
	minExpected = 30
	// historyTime is how long samples are kept.
	historyTime = 3*mixCycle + prefillWindow
)

// Sample is the load of a service at one moment, in servers that it takes in full.
type Sample struct {
	At time.Time
	// Short are the slots of requests with short prompts.
	Short float64
	// LongSlots, Memory and Prefill are what longer prompts take: slots, memory, and the
	// prefill of those that arrived in the last second.
	LongSlots, Memory, Prefill float64
	// Arrived is the number of requests that arrived in the last second.
	Arrived int
	// Complete is false when too few other VMs were heard of for the load to be known.
	Complete bool
}

// Measure returns the load of a service from the requests that are in flight.
func Measure(service *topology.Service, targets []*topology.Target, loads inflight.Loads, now time.Time) Sample {
	s := Sample{At: now}
	slots, servers := 0, 0
	for _, t := range targets {
		if t.Service != service.Name {
			continue
		}
		slots += t.Slots
		servers++
		load := loads.Of(t.ID)
		for _, r := range load.Requests {
			s.add(service.Engine, r)
		}
		for _, r := range load.Ended {
			if r.Target == t.ID { // not a part of a prompt of another target
				s.addArrival(service.Engine, r)
			}
		}
	}
	if slots > 0 {
		perServer := float64(slots) / float64(servers)
		s.Short /= perServer
		s.LongSlots /= perServer
	}
	return s
}

// add adds a request in flight. Slots are counted as such, not yet in servers.
func (s *Sample) add(m *topology.EngineModel, r inflight.RequestState) {
	if m == nil || r.PromptTokens < longPrompt {
		s.Short++
	} else {
		s.LongSlots++
		s.Memory += float64(r.PromptTokens+r.OutputTokens) / float64(m.KVTokens)
	}
	s.addArrival(m, r)
}

func (s *Sample) addArrival(m *topology.EngineModel, r inflight.RequestState) {
	if r.Age >= arrivalWindow {
		return
	}
	s.Arrived++
	if m != nil && r.PromptTokens >= longPrompt {
		s.Prefill += enginemodel.PrefillTime(m, r.PromptTokens).Seconds() / arrivalWindow.Seconds()
	}
}

// load summarizes the samples.
type load struct {
	// span is the time that the uninterrupted samples cover, up to now; covered is true
	// if it is a whole cycle.
	span    time.Duration
	covered bool
	// peak is the highest load of the last cycle with its growth; current is that now.
	peak, current float64
	// essential is the highest load when averaged over essentialWindow.
	essential float64
	ended     bool
}

func summarize(in Input) load {
	l := load{span: span(in.Samples, in.Now)}
	l.covered = l.span >= mixCycle
	needs := servers(in.Samples)
	if len(needs) == 0 {
		return l
	}
	l.current = needs[len(needs)-1]
	l.peak = highest(in, needs, 0, mixCycle)
	l.essential = highest(in, averaged(in.Samples, needs), 0, mixCycle)
	factor := growth(in, needs, l)
	l.peak, l.essential = l.peak*factor, l.essential*factor
	l.ended = ended(in, l.span)
	return l
}

// growth returns the factor by which the load will have grown when servers ordered now are warm.
// It counts only if the peak has grown from each of three cycles to the next.
func growth(in Input, needs []float64, l load) float64 {
	before, earlier := highest(in, needs, mixCycle, 2*mixCycle), highest(in, needs, 2*mixCycle, 3*mixCycle)
	if l.span < 3*mixCycle || before <= 0 || earlier <= 0 {
		return 1
	}
	perCycle := min(l.peak/before, before/earlier, maxGrowth)
	if perCycle < minGrowth {
		return 1
	}
	return math.Pow(perCycle, (in.Limits.BootTime+in.ColdTime).Seconds()/mixCycle.Seconds())
}

// span returns the time up to now that samples cover without a gap and of which each is complete.
func span(samples []Sample, now time.Time) time.Duration {
	since := now
	for i := len(samples) - 1; i >= 0; i-- {
		if s := samples[i]; !s.Complete || since.Sub(s.At) > maxSampleGap {
			break
		}
		since = samples[i].At
	}
	return now.Sub(since)
}

// servers returns, for each sample, the number of servers that the load took in full. Short
// prompts need slots. Long ones need whole servers for their prefill or their memory, because
// their prefill delays the streams of short ones on the same server.
func servers(samples []Sample) []float64 {
	needs := make([]float64, len(samples))
	for i := range samples {
		short := mean(samples[:i+1], slotsWindow, func(s Sample) float64 { return s.Short })
		long := mean(samples[:i+1], slotsWindow, func(s Sample) float64 { return max(s.Memory, s.LongSlots) })
		prefill := mean(samples[:i+1], prefillWindow, func(s Sample) float64 { return s.Prefill })
		needs[i] = short + max(long, prefill)
	}
	return needs
}

// averaged returns the needs averaged over essentialWindow.
func averaged(samples []Sample, needs []float64) []float64 {
	means := make([]float64, len(needs))
	first, total := 0, 0.0
	for i := range needs {
		for total += needs[i]; samples[i].At.Sub(samples[first].At) >= essentialWindow; first++ {
			total -= needs[first]
		}
		means[i] = total / float64(i-first+1)
	}
	return means
}

// mean returns the mean of a value over the samples of a time before the last one.
func mean(samples []Sample, window time.Duration, value func(Sample) float64) float64 {
	total, n := 0.0, 0
	last := samples[len(samples)-1].At
	for i := len(samples) - 1; i >= 0 && last.Sub(samples[i].At) < window; i-- {
		total += value(samples[i])
		n++
	}
	return total / float64(n)
}

// highest returns the highest need in a period that lies this long ago.
func highest(in Input, needs []float64, from, to time.Duration) float64 {
	peak := 0.0
	for i, s := range in.Samples {
		if age := in.Now.Sub(s.At); age >= from && age < to {
			peak = max(peak, needs[i])
		}
	}
	return peak
}

// ended reports whether the load has ended: nothing has arrived for a time in which the rate
// before lets expect many requests.
func ended(in Input, span time.Duration) bool {
	arrived, samples := 0, 0
	for _, s := range in.Samples {
		if in.Now.Sub(s.At) < endSilence-arrivalWindow {
			if s.Arrived > 0 {
				return false
			}
			continue
		}
		arrived += s.Arrived
		samples++
	}
	if samples == 0 || span < endSilence {
		return false
	}
	rate := float64(arrived) / float64(samples) / arrivalWindow.Seconds()
	return rate*endSilence.Seconds() >= minExpected
}
