package main

import (
	"fmt"
	"os"
	"strings"
)

// The markers between which replaceMarked replaces the text.
const (
	beginMark = "<!-- compare: begin -->\n"
	endMark   = "<!-- compare: end -->\n"
)

// MarkError reports a page in which a marker is missing.
type MarkError struct{ Path string }

// Error implements error.
func (e *MarkError) Error() string {
	return fmt.Sprintf("cannot write the tables: %s lacks the begin or end marker", e.Path)
}

// replaceMarked replaces the text between the markers of the file at path. The
// error is a *MarkError if a marker is missing.
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
