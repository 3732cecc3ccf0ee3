package origin

import "slices"

// Query names a stream whose origin is looked for.
type Query struct {
	// Attempt is the ID of the caller's attempt that brought the stream's first event, "" if unknown.
	Attempt string
	// Part is the ID of the last part of the stream's prompt, "" if unknown, and PartTokens its length.
	Part       string
	PartTokens int
}

// Rule says why a version is taken for a stream's origin, or why none is.
type Rule string

// The rules, as they appear in logs.
const (
	// RuleRunning means that engines of one version alone run the attempt and have made events of it, and that
	// all of other versions have shown what they run and kept.
	RuleRunning Rule = "running"
	// RuleOutput is the same for engines that have kept the prompt, and one also output that follows it,
	// RulePrompt for those that have kept the prompt only.
	RuleOutput Rule = "output_kept"
	RulePrompt Rule = "prompt_kept"
	// RuleNone means that no engine shows the stream, RuleSeveral that engines of several versions do.
	RuleNone    Rule = "no_trace"
	RuleSeveral Rule = "several_versions"
	// RuleIncomplete means that engines of one version alone show the stream, and that some of other versions
	// have not shown what they run and kept.
	RuleIncomplete Rule = "incomplete"
)

// evidence is what one decode engine shows of a stream.
type evidence struct {
	version string
	// running means that the engine runs the attempt and has made events of it.
	running bool
	// kept is the greatest length of the prompt's last part that the engine had in its cache, in tokens,
	// including output.
	kept int
	// restaged means that the engine may have been a prefill engine, which keeps prompts of streams that
	// other engines begin, but no output.
	restaged bool
	// neverOrdered means that the engine has had its stage since its start.
	neverOrdered bool
	// complete means that the engine has shown all that it kept.
	complete bool
}

// blockTokens bounds by how much an engine may round down the length of a part that it keeps: caches are
// divided into blocks.
const blockTokens = 64

// decide returns the software version that began a stream. ok is false if no version is certain.
func decide(q Query, engines []evidence) (version string, ok bool, rule Rule) {
	shown, incomplete := versionSet{}, versionSet{}
	running, output := false, false
	for _, e := range engines {
		if !e.complete {
			incomplete.add(e.version)
		}
		kept := q.PartTokens > 0 && e.kept > q.PartTokens
		read := q.PartTokens > 0 && !e.restaged && e.kept > 0 && e.kept+blockTokens > q.PartTokens
		if e.running || kept || read {
			shown.add(e.version)
		}
		running, output = running || e.running, output || kept
	}
	switch {
	case len(shown) == 0:
		return "", false, RuleNone
	case len(shown) > 1:
		return "", false, RuleSeveral
	case incomplete.holdsOtherThan(shown[0]):
		return "", false, RuleIncomplete
	case running:
		return shown[0], true, RuleRunning
	case output:
		return shown[0], true, RuleOutput
	default:
		return shown[0], true, RulePrompt
	}
}

// versionSet is a set of software versions.
type versionSet []string

// add adds a version.
func (s *versionSet) add(version string) {
	if !slices.Contains(*s, version) {
		*s = append(*s, version)
	}
}

// holdsOtherThan reports whether the set holds a version other than the given one.
func (s versionSet) holdsOtherThan(version string) bool {
	return slices.ContainsFunc(s, func(v string) bool { return v != version })
}
