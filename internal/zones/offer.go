package zones

import "time"

// bytesPerMB is the unit of the price of traffic.
const bytesPerMB = 1e6

// bytesPerToken is the size of an answer for each token: its text, and its part of an event.
const bytesPerToken = 8

// Offer is what a zone can do for a request now. Losses are in small requests that are late.
type Offer struct {
	// Served is false when no target of the zone can take the request now.
	Served bool
	// Loss is what the request and those that it meets lose.
	Loss float64
	// Waits is true when the request would wait for a slot.
	Waits bool
}

// atLimit reports whether a zone can only let the request wait.
func (o Offer) atLimit() bool { return !o.Served || o.Waits }

// Request is a request that may leave its zone.
type Request struct {
	// Weight is what the request is worth, relative to a small one.
	Weight float64
	// Size is the share of a target that it takes.
	Size float64
	// Bytes is the length of the prompt and Tokens that of the answer.
	Bytes, Tokens int
	Objective     time.Duration
	// Draw is a random number from 0 to 1 that the request keeps.
	Draw float64
}

// Price returns what it costs to serve a request in another zone, without its delay: its bytes at a
// cost for each megabyte, and the share of the objective that a round trip takes. The latter is the
// tolerance: what another zone offers must be better by more.
func Price(r Request, costPerMB float64, roundTrip time.Duration) float64 {
	price := costPerMB * float64(r.Bytes+bytesPerToken*r.Tokens) / bytesPerMB
	if r.Objective > 0 {
		price += r.Weight * float64(roundTrip) / float64(r.Objective)
	}
	return price
}

// Stays reports whether a request stays in its zone whatever other zones offer: it need not wait,
// and it loses no more than the price of its bytes.
func Stays(own Offer, r Request, costPerMB float64) bool {
	return !own.atLimit() && own.Loss <= Price(r, costPerMB, 0)
}

// Candidate returns the zone whose offer is worth comparing with that of a request's own zone, ""
// if the request stays. attempt is a random number from 0 to 1 that is new for each attempt.
// costPerMB must be above 0.
func (s *Shares) Candidate(from string, own Offer, r Request, costPerMB, attempt float64) string {
	if own.atLimit() {
		return s.Stranded(from, r.Size, attempt)
	}
	if Stays(own, r, costPerMB) {
		return ""
	}
	if zone := s.Arriving(from, r.Draw); zone != "" {
		return zone
	}
	return s.Stranded(from, r.Size, attempt)
}

// lateLoss is the share of its value that a request loses when it is late.
const lateLoss = 0.75

// Leave reports whether a request gains by leaving its zone. The loss of a remote offer includes
// that by the round trip. A request that waits for a slot makes one behind it wait, too.
func Leave(own, remote Offer, r Request, price float64) bool {
	if !remote.Served || !own.Served {
		return remote.Served
	}
	gain := own.Loss - remote.Loss - price
	if own.Waits && !remote.Waits {
		gain += r.Weight * lateLoss
	}
	return gain > 0
}
