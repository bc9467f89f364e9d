package zones

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	// fullLevel is the load of a zone, as a share of its capacity, up to which its own work stays.
	// With some 25 engines of 12 slots a zone at 0.85 has a free slot as long as its load is within
	// three standard deviations of a Poisson process (one is 0.05).
	fullLevel = 0.85
	// startMargin is how far above fullLevel a zone must be to begin to send work away: one
	// standard deviation. Without it, zones near fullLevel would begin and end all the time.
	startMargin = 0.05
	// spareLevel is the load up to which a zone takes work of zones that are at their limit.
	spareLevel = 0.95
	// minChange is the change of a share from which new shares are used.
	minChange = 0.02
	// steps is the number of parts into which the work of all zones is divided when it is spread.
	steps = 400
)

// Zone is what is known of a zone for one service. All amounts are in targets: a request counts as
// the share of a target that it takes.
type Zone struct {
	Name string
	// Capacity is the number of targets that take new requests.
	Capacity float64
	// Demand is what the VMs of the zone have in flight, wherever it runs, as forecast for the
	// near future. It does not depend on where work is sent, so that shares that follow from it do
	// not swing.
	Demand float64
	// Occupied is what runs at the targets of the zone now, whoever sent it.
	Occupied float64
	// Waiting is what waits at the VMs of the zone.
	Waiting float64
}

func (z Zone) work() float64 { return z.Demand + z.Waiting }

// Input is what Plan decides on.
type Input struct {
	Zones []Zone
	// Distance returns the round trip between two zones as a share of the shortest objective. Nil
	// means 0.
	Distance func(a, b string) float64
	// Previous is the last plan, nil if there is none.
	Previous *Shares
}

// Shares is which share of its requests each zone sends to others. It is immutable.
type Shares struct {
	// flows are shares of the new requests of a zone, spare is the room of each zone, in targets.
	flows map[pair]float64
	spare map[string]float64
	zones []Zone // by name
}

// Plan divides the work of the zones among them, by water-filling: each zone keeps what it has room
// for; what is beyond fullLevel goes, part by part, from the fullest zone to the emptiest, as long
// as the difference of their levels is more than the distance. The same input gives the same
// result at each VM.
func Plan(in Input) *Shares {
	f := newFill(in)
	for f.move() {
	}
	s := &Shares{flows: map[pair]float64{}, spare: map[string]float64{}, zones: f.zones}
	for _, z := range f.zones {
		s.spare[z.Name] = max(spareLevel*z.Capacity-max(z.work(), z.Occupied), 0)
	}
	for key, amount := range f.moved {
		s.flows[pair{f.zones[key[0]].Name, f.zones[key[1]].Name}] = min(amount/f.zones[key[0]].work(), 1)
	}
	if in.Previous != nil && !s.differs(in.Previous) {
		s.flows = in.Previous.flows
	}
	return s
}

// fill is the state of the division of work.
type fill struct {
	in    Input
	zones []Zone
	load  []float64 // work of each zone after the moves so far
	start []float64 // level above which each zone sends work away
	moved map[[2]int]float64
	took  []bool // zones that took work of others send none
	part  float64
}

func newFill(in Input) *fill {
	f := &fill{in: in, zones: slices.Clone(in.Zones), moved: map[[2]int]float64{}, took: make([]bool, len(in.Zones))}
	slices.SortFunc(f.zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	capacity, work := 0.0, 0.0
	for _, z := range f.zones {
		capacity, work = capacity+z.Capacity, work+z.work()
		f.load = append(f.load, z.work())
		start := fullLevel
		if in.Previous == nil || !in.Previous.sends(z.Name) {
			start += startMargin
		}
		f.start = append(f.start, start)
	}
	f.part = max(capacity, work) / steps
	return f
}

// level returns the load of a zone as a share of its capacity.
func (f *fill) level(i int) float64 {
	switch {
	case f.zones[i].Capacity > 0:
		return f.load[i] / f.zones[i].Capacity
	case f.load[i] > 0:
		return math.Inf(1)
	}
	return 0
}

// move moves one part; false means that nothing is left to move.
func (f *fill) move() bool {
	from := -1
	for i := range f.zones {
		if !f.took[i] && f.load[i] >= f.part && f.level(i) > f.start[i] && (from < 0 || f.level(i) > f.level(from)) {
			from = i
		}
	}
	if from < 0 || f.part <= 0 {
		return false
	}
	to := f.emptiest(from)
	if to < 0 {
		f.start[from] = math.Inf(1) // nobody takes more of it
		return true
	}
	f.start[from] = min(f.start[from], fullLevel)
	f.load[from] -= f.part
	f.load[to] += f.part
	f.moved[[2]int{from, to}] += f.part
	f.took[to] = true
	return true
}

// emptiest returns the zone that takes the next part of another one, or -1.
func (f *fill) emptiest(from int) int {
	best, bestLevel := -1, 0.0
	for i, z := range f.zones {
		if i == from || z.Capacity <= 0 || f.sending(i) {
			continue
		}
		level := (f.load[i]+f.part)/z.Capacity + f.distance(from, i)
		if level < f.level(from) && (best < 0 || level < bestLevel) {
			best, bestLevel = i, level
		}
	}
	return best
}

// sending reports whether a zone has sent work away. Such a zone could be the emptiest only where
// the way over a third zone is shorter than the direct one.
func (f *fill) sending(i int) bool {
	for key := range f.moved {
		if key[0] == i {
			return true
		}
	}
	return false
}

func (f *fill) distance(a, b int) float64 {
	if f.in.Distance == nil {
		return 0
	}
	return f.in.Distance(f.zones[a].Name, f.zones[b].Name)
}

// sends reports whether a zone sends work away.
func (s *Shares) sends(zone string) bool { return s.Leaving(zone) > 0 }

// differs reports whether shares have changed noticeably, or have begun or ended.
func (s *Shares) differs(before *Shares) bool {
	return s.changed(before, minChange)
}

// changed reports whether a share has changed by at least the given amount, or has begun or ended.
func (s *Shares) changed(before *Shares, by float64) bool {
	for _, flows := range []map[pair]float64{s.flows, before.flows} {
		for key := range flows {
			a, b := s.flows[key], before.flows[key]
			if math.Abs(a-b) >= by || a > 0 != (b > 0) {
				return true
			}
		}
	}
	return false
}

// ChangedSince reports whether a share has changed by a tenth, or has begun or ended.
func (s *Shares) ChangedSince(before *Shares) bool {
	const logged = 0.1
	return before == nil && len(s.flows) > 0 || before != nil && s.changed(before, logged)
}

// Leaving returns the share of the new requests of a zone that go to others.
func (s *Shares) Leaving(zone string) float64 {
	sum := 0.0
	for _, z := range s.zones {
		sum += s.flows[pair{zone, z.Name}]
	}
	return sum
}

// To returns the share of the new requests of a zone that go to another one.
func (s *Shares) To(from, to string) float64 { return s.flows[pair{from, to}] }

// Zones returns what the plan was made from, by name.
func (s *Shares) Zones() []Zone { return s.zones }

// Arriving returns the zone to which a new request may go, "" if it stays. draw is a random number
// from 0 to 1 that the request keeps, so that further attempts do not make more requests leave.
func (s *Shares) Arriving(from string, draw float64) string {
	for _, z := range s.zones {
		share := s.flows[pair{from, z.Name}]
		if draw < share {
			return z.Name
		}
		draw -= share
	}
	return ""
}

// Stranded returns the zone to which a request may go that its own zone cannot serve now, "" if
// none has room. Each attempt draws anew. Of what waits in the zone, at least as much as the
// request itself takes, only as much leaves as there is room: more would meet at the same targets.
func (s *Shares) Stranded(from string, request, draw float64) string {
	waiting := request
	for _, z := range s.zones {
		if z.Name == from {
			waiting = max(waiting, z.Waiting)
		}
	}
	room := 0.0
	for _, z := range s.zones {
		if z.Name != from {
			room += s.spare[z.Name]
		}
	}
	if room <= 0 || waiting <= 0 {
		return ""
	}
	draw *= max(waiting, room)
	for _, z := range s.zones {
		if z.Name == from || s.spare[z.Name] <= 0 {
			continue
		}
		if draw < s.spare[z.Name] {
			return z.Name
		}
		draw -= s.spare[z.Name]
	}
	return ""
}

// String formats the shares and the load of the zones for the log.
func (s *Shares) String() string {
	var text strings.Builder
	for _, from := range s.zones {
		fmt.Fprintf(&text, "%s %.1f of %.1f", from.Name, from.work(), from.Capacity)
		for _, to := range s.zones {
			if share := s.To(from.Name, to.Name); share > 0 {
				fmt.Fprintf(&text, ", %.2f to %s", share, to.Name)
			}
		}
		text.WriteString("; ")
	}
	return strings.TrimSuffix(text.String(), "; ")
}
