// Package testlog collects in tests what a component logs or prints.
package testlog

import (
	"bytes"
	"strings"
	"sync"
)

// Buffer is a buffer that may be read while several goroutines write to it. Its zero value is empty.
type Buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns all that was written.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Lines returns the lines that contain a text.
func (b *Buffer) Lines(text string) []string {
	var lines []string
	for line := range strings.Lines(b.String()) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
