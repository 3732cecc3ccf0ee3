package bundle

import (
	"fmt"
	"time"

	"github.com/wardspool/wardspool/config"
)

// sums checks that values are consistent with each other: deadlines with latency
// targets, engine memory with model contexts, and rate limits with bursts. It also
// checks that some upstream serves every model and service, and that every route
// has a target.
func (k *checker) sums() {
	k.targetSums()
	k.contextSums()
	k.workspaceSums()
	k.coverage()
	k.routes()
}

// targetSums checks that a request that meets its latency targets also meets its
// deadline, and that at least one decode engine is fast enough for the pace when
// it runs a single request.
func (k *checker) targetSums() {
	fastest, found := k.fastestStep()
	for i, kind := range k.content.Kinds {
		if kind.Route != config.RouteModel || kind.Deadline <= 0 {
			continue
		}
		path := k.at("kinds", i, "")
		output := time.Duration(min(max(kind.DefaultOutputTokens, 0), maxTokens))
		whole := kind.FirstOutput + saturatedProduct(output, kind.Pace)
		if whole > kind.Deadline {
			k.add(path+".deadline", RuleSum, fmt.Sprintf("first_output and default_output_tokens at pace add up to %v, more than the deadline of %v", whole, kind.Deadline), "raise the deadline or tighten the targets")
		}
		if found && kind.Pace > 0 && fastest > kind.Pace {
			k.add(path+".pace", RuleSum, fmt.Sprintf("no decode engine steps faster than %v", fastest), "use a pace that an engine with one request can hold")
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

// contextSums checks that the KV memory of each engine can hold one request with
// the maximum context of each of its models. A request that fits no engine would
// wait until its deadline without running.
func (k *checker) contextSums() {
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
				k.add(k.at("upstreams", i, ".pieces"), RuleSum, fmt.Sprintf("%d pieces do not hold one request of model %q, which needs %d", u.Pieces, clip(name), need), "raise pieces or lower the model's max_context")
			}
		}
	}
	k.outputSums()
}

// outputSums checks that the default output of each kind is smaller than the
// largest context of any model, so that there is room for a prompt.
func (k *checker) outputSums() {
	largest := 0
	for _, m := range k.content.Models {
		largest = max(largest, m.MaxContext)
	}
	for i, kind := range k.content.Kinds {
		if kind.Route == config.RouteModel && largest > 0 && kind.DefaultOutputTokens >= largest {
			k.add(k.at("kinds", i, ".default_output_tokens"), RuleSum, fmt.Sprintf("%d tokens leave no room for a prompt in the largest max_context, %d", kind.DefaultOutputTokens, largest), "lower it below max_context")
		}
	}
}

// workspaceSums checks that each workspace sets both a rate and a burst, or
// neither.
func (k *checker) workspaceSums() {
	for i, w := range k.content.Workspaces {
		path := k.at("workspaces", i, ".burst")
		switch {
		case w.RatePerSecond > 0 && w.Burst < 1:
			k.add(path, RuleSum, "a rate limit with no burst admits nothing", "at least 1, or no rate_per_second")
		case w.RatePerSecond == 0 && w.Burst > 0:
			k.add(path, RuleSum, "a burst without a rate limit has no effect", "give rate_per_second, or no burst")
		}
	}
}

// coverage checks that each model has at least one prefill and one decode engine,
// and each service at least one upstream.
func (k *checker) coverage() {
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
		path := k.at("models", i, ".name")
		if !prefill[m.Name] {
			k.add(path, RuleSum, fmt.Sprintf("no prefill engine runs model %q", clip(m.Name)), "give an upstream of role prefill the model, or drop it")
		}
		if !decode[m.Name] {
			k.add(path, RuleSum, fmt.Sprintf("no decode engine runs model %q", clip(m.Name)), "give an upstream of role decode the model, or drop it")
		}
	}
	for i, s := range k.content.Services {
		if !service[s.Name] {
			k.add(k.at("services", i, ".name"), RuleSum, fmt.Sprintf("no upstream runs service %q", clip(s.Name)), "give an upstream of role service the service, or drop it")
		}
	}
}

// routes checks that at least one model or service is declared for the route of
// each kind.
func (k *checker) routes() {
	for i, kind := range k.content.Kinds {
		path := k.at("kinds", i, ".route")
		if kind.Route == config.RouteModel && len(k.content.Models) == 0 {
			k.add(path, RuleReference, "the route leads to a model, and none is declared", "declare a model")
		}
		if kind.Route == config.RouteService && len(k.content.Services) == 0 {
			k.add(path, RuleReference, "the route leads to a service, and none is declared", "declare a service")
		}
	}
}
