package bundle

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Limits on the content of a bundle. They are above the sizes that
// docs/CAPACITY.md plans for, and they bound the work of a decoder.
const (
	maxKinds      = 256
	maxModels     = 256
	maxServices   = 256
	maxWorkspaces = 20_000
	maxUpstreams  = 10_000
	// maxPerEntry bounds the length of a list inside an entry.
	maxPerEntry = 256

	maxTokens   = 16 << 20
	maxCount    = 1 << 20
	maxPriority = 1000
	maxRate     = 1e15
	maxDuration = 24 * time.Hour
	maxVersion  = 63
)

// Check validates content as a whole: names, references, ranges, and consistency
// between values. Its findings carry paths but no positions.
//
// Formatting the paths of thousands of entries costs several times as much as the
// checks themselves, and valid content needs no paths. Check therefore runs a
// first pass without paths, and a second pass with paths only if the first one
// reported findings.
func Check(c *config.Content) Findings {
	firstPass := &checker{content: c, omitPaths: true}
	firstPass.checkAll()
	if len(firstPass.findings) == 0 {
		return nil
	}
	k := &checker{content: c}
	k.checkAll()
	return k.findings
}

// checkAll runs every check.
func (k *checker) checkAll() {
	k.indexEntries()
	k.checkName("deployment", k.content.Deployment)
	k.checkKinds()
	k.checkModels()
	k.checkServices()
	k.checkWorkspaces()
	k.checkUpstreams()
	k.checkPolicy()
	k.checkConsistency()
}

// checker validates one content. It holds indexes of the content's entries by
// name, and the findings so far.
type checker struct {
	content *config.Content
	// omitPaths leaves the paths of findings empty; see Check.
	omitPaths bool
	models    map[string]config.Model
	services  map[string]config.Service
	findings  Findings
}

func (k *checker) indexEntries() {
	k.models = map[string]config.Model{}
	for _, m := range k.content.Models {
		k.models[m.Name] = m
	}
	k.services = map[string]config.Service{}
	for _, s := range k.content.Services {
		k.services[s.Name] = s
	}
}

// entryPath returns the path of entry i of a list, followed by field, which is
// empty or starts with a dot.
func (k *checker) entryPath(list string, i int, field string) string {
	if k.omitPaths {
		return ""
	}
	return fmt.Sprintf("%s[%d]%s", list, i, field)
}

func (k *checker) add(path string, rule Rule, problem, advice string) {
	k.findings = append(k.findings, Finding{Path: path, Rule: rule, Problem: problem, Advice: advice})
}

// checkName checks that a name is present and valid.
func (k *checker) checkName(path, name string) {
	switch {
	case name == "":
		k.add(path, RuleMissing, "there is no name", "give one of lower-case letters, digits and inner hyphens")
	case !ident.ValidName(name):
		k.add(path, RuleName, fmt.Sprintf("%q is not a valid name", truncate(name)), "use lower-case letters, digits and inner hyphens, at most 63 bytes")
	}
}

// checkNames checks the names of the entries of a list: each name is valid and
// unique, and the list has at most limit entries.
func (k *checker) checkNames(list, field string, limit int, names []string) {
	if len(names) > limit {
		k.add(list, RuleSize, fmt.Sprintf("the list has %d entries", len(names)), fmt.Sprintf("at most %d", limit))
	}
	first := make(map[string]int, len(names))
	for i, name := range names {
		path := k.entryPath(list, i, field)
		k.checkName(path, name)
		if j, taken := first[name]; taken && name != "" {
			k.add(path, RuleDuplicate, fmt.Sprintf("%q is the name of entry %d already", truncate(name), j), "give each entry a name of its own")
			continue
		}
		first[name] = i
	}
}

// checkReference checks that name is a key of declared.
func checkReference[T any](k *checker, path, what, name string, declared map[string]T) {
	if _, ok := declared[name]; ok {
		return
	}
	k.add(path, RuleReference, fmt.Sprintf("no %s is named %q", what, truncate(name)), "declared: "+sortedKeys(declared))
}

// checkRange checks that n is in the range from low to high, both inclusive.
func checkRange[N cmp.Ordered](k *checker, path string, n, low, high N) {
	// NaN compares false with every number, so the condition tests that n is
	// inside the range; a test for being outside would accept NaN.
	if n >= low && n <= high {
		return
	}
	k.add(path, RuleRange, fmt.Sprintf("%v is out of bounds", n), fmt.Sprintf("from %v to %v", low, high))
}

// checkPositive checks that n is above 0 and at most high.
func checkPositive[N cmp.Ordered](k *checker, path string, n, high N) {
	var zero N
	if n > zero && n <= high {
		return
	}
	k.add(path, RuleRange, fmt.Sprintf("%v is out of bounds", n), fmt.Sprintf("above %v, at most %v", zero, high))
}

// sortedKeys formats the keys of a map for a finding: sorted, and at most 20.
func sortedKeys[T any](m map[string]T) string {
	if len(m) == 0 {
		return "none"
	}
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, truncate(key))
	}
	slices.Sort(keys)
	const most = 20
	if len(keys) > most {
		return strings.Join(keys[:most], ", ") + ", ..."
	}
	return strings.Join(keys, ", ")
}

// truncate shortens a value from the source that a message quotes.
func truncate(s string) string {
	if len(s) > maxQuotedBytes {
		return s[:maxQuotedBytes] + "..."
	}
	return s
}
