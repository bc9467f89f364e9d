package autoscale

// limits are the limits of the configuration as they apply to a zone. The minimum is no reason for
// an order by itself: it only bounds what is given up.
type limits struct {
	min, max int
	// ofFleet is true if the maximum is that of all zones together. spare is then the number
	// of servers that may still be ordered, and zones the number of zones that share them.
	ofFleet      bool
	spare, zones int
}

func newLimits(in Input) limits {
	l := limits{min: in.Limits.Min, max: in.Limits.Max, ofFleet: in.Limits.OfFleet, zones: len(in.Zones)}
	if !l.ofFleet {
		return l
	}
	l.min, l.spare = ceilDiv(float64(l.min), l.zones), l.max
	for _, z := range in.Zones {
		l.spare -= z.available(in)
	}
	return l
}

// bound brings the wanted number of servers of the next zone below the maximum.
func (l *limits) bound(want, have int) int {
	want = min(want, l.max)
	if !l.ofFleet {
		return want
	}
	want = min(want, have+ceilDiv(float64(l.spare), l.zones))
	l.spare -= max(want-have, 0)
	l.zones--
	return want
}
