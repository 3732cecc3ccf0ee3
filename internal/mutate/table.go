package main

import (
	"fmt"
	"strings"
)

// pageHeader is the start of the Markdown page written by --write.
const pageHeader = `# Safeguards taken out

Written by ` + "`make mutations`" + `. Each row takes one safeguard out of a copy of the
code; "noticed" means that the named test then fails.

`

// maxCell is the maximum length of a cell's text, in bytes.
const maxCell = 110

// markdown formats the results as a Markdown table.
func markdown(results []Result) string {
	var b strings.Builder
	b.WriteString("| safeguard taken out | promise | test | result | first failure |\n|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s |\n", r.Mutation.Name, r.Mutation.Promise,
			r.Mutation.Package, cell(r.Mutation.Run), verdict(r), cell(r.FailureLine))
	}
	return b.String()
}

// cell escapes and truncates text for a table cell.
func cell(s string) string {
	s = strings.ReplaceAll(s, "|", "\\|")
	if len(s) > maxCell {
		s = s[:maxCell] + "…"
	}
	return s
}

// verdict returns the text of the result column.
func verdict(r Result) string {
	switch {
	case !r.Built:
		return "not built"
	case r.Detected:
		return "noticed"
	default:
		return "SURVIVED"
	}
}

// survivors returns a *SurvivorError if a mutation was not detected.
func survivors(results []Result) error {
	var names []string
	for _, r := range results {
		if !r.Detected || !r.Built {
			names = append(names, r.Mutation.Name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return &SurvivorError{Names: names}
}
