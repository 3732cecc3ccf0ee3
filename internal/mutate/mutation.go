package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
)

// Mutation takes one safeguard out of the code.
type Mutation struct {
	// Name says what is taken out.
	Name string `yaml:"name"`
	// Promise is the promise that the safeguard serves.
	Promise string `yaml:"promise"`
	// File is the source file, from the module's root.
	File string `yaml:"file"`
	// Find must occur exactly once in File; it is replaced by Replace.
	Find    string `yaml:"find"`
	Replace string `yaml:"replace"`
	// Package and Run select the test that must fail.
	Package string `yaml:"package"`
	Run     string `yaml:"run"`
	// Args are further arguments of go test.
	Args []string `yaml:"args"`
}

// FileError reports a file that could not be read or written.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// StaleError reports a mutation whose text no longer occurs exactly once.
type StaleError struct {
	Mutation string
	File     string
	Count    int
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("mutation %q: its text occurs %d times in %s, want 1", e.Mutation, e.Count, e.File)
}

// SurvivorError reports mutations that no test noticed.
type SurvivorError struct{ Names []string }

// Error implements error.
func (e *SurvivorError) Error() string {
	return "not noticed by any test: " + strings.Join(e.Names, "; ")
}

func loadMutations(path string) ([]Mutation, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	var list []Mutation
	if err := yaml.UnmarshalWithOptions(b, &list, yaml.Strict()); err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	return list, nil
}

func selectMutations(all []Mutation, only string) []Mutation {
	var out []Mutation
	for _, m := range all {
		if strings.Contains(m.Name, only) {
			out = append(out, m)
		}
	}
	return out
}

// part returns one of some equal parts of a list; the first is number 1.
func part(list []Mutation, number, parts int) []Mutation {
	var out []Mutation
	for i, m := range list {
		if i%max(parts, 1) == number-1 {
			out = append(out, m)
		}
	}
	return out
}
