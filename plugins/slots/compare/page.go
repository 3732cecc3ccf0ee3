package main

import (
	"fmt"
	"os"
	"strings"
)

// The markers between which replaceMarked replaces the text.
const (
	beginMarker = "<!-- compare: begin -->\n"
	endMarker   = "<!-- compare: end -->\n"
)

// MissingMarkerError reports a page in which a marker is missing.
type MissingMarkerError struct{ Path string }

// Error implements error.
func (e *MissingMarkerError) Error() string {
	return fmt.Sprintf("cannot write the tables: %s lacks the begin or end marker", e.Path)
}

// replaceMarked replaces the text between the markers of the file at path. The
// error is a *MissingMarkerError if a marker is missing.
func replaceMarked(path, text string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(page), beginMarker)
	if !ok {
		return &MissingMarkerError{Path: path}
	}
	_, after, ok := strings.Cut(rest, endMarker)
	if !ok {
		return &MissingMarkerError{Path: path}
	}
	const readable = 0o644
	return os.WriteFile(path, []byte(before+beginMarker+text+endMarker+after), readable)
}
