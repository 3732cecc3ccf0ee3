package main

import (
	"fmt"
	"os"
	"strings"
)

// The marks between which replaceMarked writes.
const (
	beginMark = "<!-- compare: begin -->\n"
	endMark   = "<!-- compare: end -->\n"
)

// MarkError reports a page without the marks.
type MarkError struct{ Path string }

// Error implements error.
func (e *MarkError) Error() string { return fmt.Sprintf("%s has no marked part", e.Path) }

// replaceMarked replaces what is between the marks of a page.
func replaceMarked(path, text string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(page), beginMark)
	if !ok {
		return &MarkError{Path: path}
	}
	_, after, ok := strings.Cut(rest, endMark)
	if !ok {
		return &MarkError{Path: path}
	}
	const readable = 0o644
	return os.WriteFile(path, []byte(before+beginMark+text+endMark+after), readable)
}
