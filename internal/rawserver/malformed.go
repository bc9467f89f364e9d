package rawserver

import "fmt"

// MalformedHeads returns responses that a client must not take because of their heads, by the name of what is wrong. fields
// are the other fields of the head, each with its CRLF. A client that takes the response may read
// the body, or more or less than it.
func MalformedHeads(fields, body string) map[string]string {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	rest := length + "\r\n" + body
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	return map[string]string{
		"space in a name":          ok + "X A: b\r\n" + rest,
		"tab in a name":            ok + "X\tA: b\r\n" + rest,
		"control byte in a name":   ok + "X\x01A: b\r\n" + rest,
		"NUL in a name":            ok + "X\x00A: b\r\n" + rest,
		"space before a colon":     ok + "X : b\r\n" + rest,
		"space after the length":   ok + "Content-Length : 1\r\n\r\n" + body,
		"space after the encoding": ok + "Transfer-Encoding : chunked\r\n\r\n" + chunk,
		"folded line":              ok + "X: b\r\n c\r\n" + rest,
		"folded length":            ok + "X: b\r\n Content-Length: 1\r\n\r\n" + body,
		"folded length, tab":       ok + "X: b\r\n\t" + rest,
		"encoding in HTTP/1.0":     "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunk,
		"status 000":               "HTTP/1.1 000 No\r\n" + fields + rest,
		"status 099":               "HTTP/1.1 099 No\r\n" + fields + rest,
		"status 101":               "HTTP/1.1 101 Switching Protocols\r\n" + fields + rest,
		"status above 599":         "HTTP/1.1 600 No\r\n" + fields + rest,
		"status 099 as interim":    "HTTP/1.1 099 No\r\n\r\n" + ok + rest,
		"space in an interim name": "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + ok + rest,
		"folded interim line":      "HTTP/1.1 103 Early Hints\r\nX: b\r\n c\r\n\r\n" + ok + rest,
	}
}
