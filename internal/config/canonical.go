package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
)

// maxDepth bounds the nesting depth of decoded JSON. Declarations need three
// levels.
const maxDepth = 16

// canonical returns the canonical encoding of a JSON value: no white space, sorted
// object keys, numbers as written. It rejects repeated keys, because decoders
// differ in which value they use.
func canonical(data []byte) ([]byte, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	out, err := canonicalValue(d, 0)
	if err != nil {
		return nil, err
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, errors.New("text after the JSON value")
	}
	return out, nil
}

func canonicalValue(d *json.Decoder, depth int) ([]byte, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested more than %d levels", maxDepth)
	}
	token, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return canonicalObject(d, depth)
	case json.Delim('['):
		return canonicalArray(d, depth)
	}
	return json.Marshal(token)
}

func canonicalArray(d *json.Decoder, depth int) ([]byte, error) {
	var items [][]byte
	for d.More() {
		item, err := canonicalValue(d, depth+1)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	_, err := d.Token()
	return wrap('[', bytes.Join(items, []byte(",")), ']'), err
}

func canonicalObject(d *json.Decoder, depth int) ([]byte, error) {
	fields := map[string][]byte{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		if _, repeated := fields[name]; repeated {
			return nil, fmt.Errorf("key %q is repeated", name)
		}
		if fields[name], err = canonicalValue(d, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := d.Token()
	return encodeObject(fields), err
}

func encodeObject(fields map[string][]byte) []byte {
	parts := make([][]byte, 0, len(fields))
	for _, name := range sortedKeys(fields) {
		quoted, _ := json.Marshal(name) // a string can always be encoded
		parts = append(parts, append(append(quoted, ':'), fields[name]...))
	}
	return wrap('{', bytes.Join(parts, []byte(",")), '}')
}

func wrap(open byte, content []byte, end byte) []byte {
	return append(append([]byte{open}, content...), end)
}

// splitFields returns a JSON object reduced to the known fields, and the names of
// the other fields. Unlike encoding/json, it compares names case-sensitively.
func splitFields(data []byte, known map[string]bool) (kept []byte, unknown []string, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil || fields == nil {
		return nil, nil, errors.New("not a JSON object")
	}
	selected := map[string][]byte{}
	for name, value := range fields {
		if known[name] {
			selected[name] = value
			continue
		}
		unknown = append(unknown, name)
	}
	sort.Strings(unknown)
	return encodeObject(selected), unknown, nil
}
