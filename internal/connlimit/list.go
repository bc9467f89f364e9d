package connlimit

import "time"

// list holds connections in the order in which they were added. It is intrusive, so that a
// connection changes its list without a search and without an allocation.
type list struct{ first, last *conn }

// add appends a connection that is in no list.
func (l *list) add(c *conn, now time.Time) {
	c.since, c.in = now, l
	c.previous, c.next = l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

// remove takes a connection out of its list, if it is in one.
func (c *conn) remove() {
	l := c.in
	if l == nil {
		return
	}
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		l.last = c.previous
	}
	c.in, c.previous, c.next = nil, nil, nil
}
