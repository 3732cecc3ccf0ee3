package bundle

import (
	"fmt"
	"time"

	"github.com/wardspool/wardspool/config"
)

// checkConsistency checks that values are consistent with each other: deadlines
// with latency targets, engine memory with model contexts, and rate limits with
// bursts. It also checks that some upstream serves every model and service, and
// that every route has a target.
func (k *checker) checkConsistency() {
	k.checkTargets()
	k.checkContexts()
	k.checkRateLimits()
	k.checkCoverage()
	k.checkRoutes()
}

// checkTargets checks that a request that meets its latency targets also meets its
// deadline, and that at least one decode engine is fast enough for the pace when
// it runs a single request.
func (k *checker) checkTargets() {
	fastest, found := k.fastestStep()
	for i, kind := range k.content.Kinds {
		if kind.Route != config.RouteModel || kind.Deadline <= 0 {
			continue
		}
		path := k.entryPath("kinds", i, "")
		output := time.Duration(min(max(kind.DefaultOutputTokens, 0), maxTokens))
		whole := kind.FirstOutput + saturatedProduct(output, kind.Pace)
		if whole > kind.Deadline {
			k.add(path+".deadline", RuleInconsistent, fmt.Sprintf("first_output and default_output_tokens at pace add up to %v, more than the deadline of %v", whole, kind.Deadline), "raise the deadline or tighten the targets")
		}
		if found && kind.Pace > 0 && fastest > kind.Pace {
			k.add(path+".pace", RuleInconsistent, fmt.Sprintf("no decode engine steps faster than %v", fastest), "use a pace that an engine with one request can hold")
		}
	}
}

// saturatedProduct multiplies a count by a duration without overflow. Negative
// durations count as 0, and a duration above maxDuration gives maxDuration.
func saturatedProduct(count, d time.Duration) time.Duration {
	if count > 0 && d > maxDuration {
		return maxDuration
	}
	return count * max(d, 0)
}

// fastestStep returns the shortest decode step of all decode engines, and whether
// there is one.
func (k *checker) fastestStep() (time.Duration, bool) {
	var fastest time.Duration
	found := false
	for _, u := range k.content.Upstreams {
		if u.Role == config.RoleDecode && u.DecodeStep > 0 && (!found || u.DecodeStep < fastest) {
			fastest, found = u.DecodeStep, true
		}
	}
	return fastest, found
}

// checkContexts checks that the KV memory of each engine can hold one request with
// the maximum context of each of its models. A request that fits no engine would
// wait until its deadline without running.
func (k *checker) checkContexts() {
	for i, u := range k.content.Upstreams {
		if u.Role == config.RoleService || u.Pieces <= 0 {
			continue
		}
		for _, name := range u.Models {
			m, ok := k.models[name]
			if !ok || m.PieceTokens <= 0 || m.MaxContext <= 0 {
				continue
			}
			need := (m.MaxContext + m.PieceTokens - 1) / m.PieceTokens
			if u.Pieces < need {
				k.add(k.entryPath("upstreams", i, ".pieces"), RuleInconsistent, fmt.Sprintf("%d pieces do not hold one request of model %q, which needs %d", u.Pieces, truncate(name), need), "raise pieces or lower the model's max_context")
			}
		}
	}
	k.checkOutputs()
}

// checkOutputs checks that the default output of each kind is smaller than the
// largest context of any model, so that there is room for a prompt.
func (k *checker) checkOutputs() {
	largest := 0
	for _, m := range k.content.Models {
		largest = max(largest, m.MaxContext)
	}
	for i, kind := range k.content.Kinds {
		if kind.Route == config.RouteModel && largest > 0 && kind.DefaultOutputTokens >= largest {
			k.add(k.entryPath("kinds", i, ".default_output_tokens"), RuleInconsistent, fmt.Sprintf("%d tokens leave no room for a prompt in the largest max_context, %d", kind.DefaultOutputTokens, largest), "lower it below max_context")
		}
	}
}

// checkRateLimits checks that each workspace sets both a rate and a burst, or
// neither.
func (k *checker) checkRateLimits() {
	for i, w := range k.content.Workspaces {
		path := k.entryPath("workspaces", i, ".burst")
		switch {
		case w.RatePerSecond > 0 && w.Burst < 1:
			k.add(path, RuleInconsistent, "a rate limit with no burst admits nothing", "at least 1, or no rate_per_second")
		case w.RatePerSecond == 0 && w.Burst > 0:
			k.add(path, RuleInconsistent, "a burst without a rate limit has no effect", "give rate_per_second, or no burst")
		}
	}
}

// checkCoverage checks that each model has at least one prefill and one decode
// engine, and each service at least one upstream.
func (k *checker) checkCoverage() {
	prefill, decode, service := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, u := range k.content.Upstreams {
		by := map[config.Role]map[string]bool{config.RolePrefill: prefill, config.RoleDecode: decode}[u.Role]
		if by == nil {
			service[u.Service] = true
			continue
		}
		for _, m := range u.Models {
			by[m] = true
		}
	}
	for i, m := range k.content.Models {
		path := k.entryPath("models", i, ".name")
		if !prefill[m.Name] {
			k.add(path, RuleInconsistent, fmt.Sprintf("no prefill engine runs model %q", truncate(m.Name)), "give an upstream of role prefill the model, or drop it")
		}
		if !decode[m.Name] {
			k.add(path, RuleInconsistent, fmt.Sprintf("no decode engine runs model %q", truncate(m.Name)), "give an upstream of role decode the model, or drop it")
		}
	}
	for i, s := range k.content.Services {
		if !service[s.Name] {
			k.add(k.entryPath("services", i, ".name"), RuleInconsistent, fmt.Sprintf("no upstream runs service %q", truncate(s.Name)), "give an upstream of role service the service, or drop it")
		}
	}
}

// checkRoutes checks that at least one model or service is declared for the route
// of each kind.
func (k *checker) checkRoutes() {
	for i, kind := range k.content.Kinds {
		path := k.entryPath("kinds", i, ".route")
		if kind.Route == config.RouteModel && len(k.content.Models) == 0 {
			k.add(path, RuleReference, "the route leads to a model, and none is declared", "declare a model")
		}
		if kind.Route == config.RouteService && len(k.content.Services) == 0 {
			k.add(path, RuleReference, "the route leads to a service, and none is declared", "declare a service")
		}
	}
}
