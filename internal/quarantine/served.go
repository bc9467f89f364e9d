package quarantine

import (
	"maps"
	"slices"
	"time"
)

// RecordServed records that a request is served: a target began its answer at the given time
// and completed it, or went on writing for SurvivalTime.
func (d *Detector) RecordServed(r Request, began time.Time) {
	identity := ""
	if d.anySuspects() {
		identity = r.Identity()
	}
	d.mu.Lock()
	news := d.recordServed(r, identity, began)
	d.mu.Unlock()
	if news && d.OnEvidence != nil {
		d.OnEvidence()
	}
}

func (d *Detector) anySuspects() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.suspects) > 0
}

// recordServed implements RecordServed. It reports whether this is news for the other VMs.
// d.mu must be held.
func (d *Detector) recordServed(r Request, identity string, began time.Time) bool {
	if len(r.Parts) > 0 {
		d.servedCount++
		d.recent = append(d.recent[max(len(d.recent)-minServed+1, 0):], began)
	}
	news := false
	for _, part := range r.Parts {
		news = d.clear(part, began) || news
		d.servedHere[part] = latest(d.servedHere[part], began)
	}
	for _, subject := range []string{r.OwnPart, requestKey(identity)} {
		if _, suspected := d.suspects[subject]; suspected {
			news = d.clear(subject, began) || news
			d.servedHere[subject] = latest(d.servedHere[subject], began)
		}
	}
	d.pruneServed(began)
	return news
}

// clear ends the quarantine of a part or a request that was served after its first crash. It
// reports whether this is news for the other VMs: it was a suspect until now. d.mu must be held.
func (d *Detector) clear(subject string, served time.Time) bool {
	crash, suspected := d.suspects[subject]
	news := suspected && served.After(crash) && !d.lastServed(subject).After(crash)
	for _, v := range slices.Collect(maps.Values(d.verdicts)) {
		if v.state != cleared && slices.Contains(v.cause().subjects(), subject) && served.Sub(v.FirstCrash) > clockMargin {
			d.acquit(v, subject, served)
			news = true
		}
	}
	return news
}

// lastServed returns when the latest answer with a part, or to a request, began at any VM. d.mu
// must be held.
func (d *Detector) lastServed(subject string) time.Time {
	return latest(d.servedHere[subject], d.servedElsewhere[subject])
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// pruneServed bounds the memory of served parts. d.mu must be held.
func (d *Detector) pruneServed(now time.Time) {
	if len(d.servedHere) <= maxServed {
		return
	}
	times := make([]time.Time, 0, len(d.servedHere))
	for _, at := range d.servedHere {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	limit := latest(times[len(times)/4], now.Add(-servedMemory))
	for part, at := range d.servedHere {
		if at.Before(limit) || at.Equal(limit) {
			delete(d.servedHere, part)
		}
	}
}
