package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
)

// Mutation is a source change that removes one safeguard.
type Mutation struct {
	// Name describes the safeguard that is removed.
	Name string `yaml:"name"`
	// Promise is the guarantee that the safeguard upholds.
	Promise string `yaml:"promise"`
	// File is the path of the source file, relative to the module root.
	File string `yaml:"file"`
	// Find must occur exactly once in File; it is replaced by Replace.
	Find    string `yaml:"find"`
	Replace string `yaml:"replace"`
	// Package and Run select the test that must fail.
	Package string `yaml:"package"`
	Run     string `yaml:"run"`
	// Args are additional arguments of go test.
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

// StaleError reports a mutation whose Find text does not occur exactly once in its file.
type StaleError struct {
	Mutation string
	File     string
	Count    int
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("mutation %q: find text occurs %d times in %s, want 1", e.Mutation, e.Count, e.File)
}

// SurvivorError reports mutations that were not detected: their test passed, or the
// mutated code did not compile.
type SurvivorError struct{ Names []string }

// Error implements error.
func (e *SurvivorError) Error() string {
	return "mutations not detected by their tests: " + strings.Join(e.Names, "; ")
}

// loadMutations reads the list of mutations from a YAML file.
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

// selectMutations returns the mutations whose name contains the string only.
func selectMutations(all []Mutation, only string) []Mutation {
	var out []Mutation
	for _, m := range all {
		if strings.Contains(m.Name, only) {
			out = append(out, m)
		}
	}
	return out
}

// part returns every parts-th mutation, starting with the number-th, which is counted
// from 1. The parts together cover the list.
func part(list []Mutation, number, parts int) []Mutation {
	var out []Mutation
	for i, m := range list {
		if i%max(parts, 1) == number-1 {
			out = append(out, m)
		}
	}
	return out
}
