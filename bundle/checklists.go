package bundle

import (
	"fmt"
	"regexp"

	"github.com/wardspool/wardspool/config"
)

func (k *checker) checkKinds() {
	kinds := k.content.Kinds
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = kind.Name
		k.checkKind(k.entryPath("kinds", i, ""), kind)
	}
	if len(kinds) == 0 {
		k.add("kinds", RuleMissing, "no kind of request is declared", "declare at least one")
	}
	k.checkNames("kinds", ".name", maxKinds, names)
}

func (k *checker) checkKind(path string, kind config.Kind) {
	checkPositive(k, path+".deadline", kind.Deadline, maxDuration)
	checkRange(k, path+".priority", kind.Priority, 0, maxPriority)
	switch kind.Route {
	case config.RouteModel:
		checkPositive(k, path+".first_output", kind.FirstOutput, maxDuration)
		checkPositive(k, path+".pace", kind.Pace, maxDuration)
		checkPositive(k, path+".default_output_tokens", kind.DefaultOutputTokens, maxTokens)
	case config.RouteService:
		k.checkServiceKind(path, kind)
	case "":
		k.add(path+".route", RuleMissing, "there is no route", `"model" or "service"`)
	default:
		k.add(path+".route", RuleReference, fmt.Sprintf("there is no route %q", truncate(string(kind.Route))), `"model" or "service"`)
	}
}

// checkServiceKind checks a kind that calls a plain service. It reports fields that
// apply only to model requests.
func (k *checker) checkServiceKind(path string, kind config.Kind) {
	const advice = "leave it out of a kind that calls a service"
	if kind.FirstOutput != 0 {
		k.add(path+".first_output", RuleMisplaced, "a service call has no first output token", advice)
	}
	if kind.Pace != 0 {
		k.add(path+".pace", RuleMisplaced, "a service call has no pace of tokens", advice)
	}
	if kind.DefaultOutputTokens != 0 {
		k.add(path+".default_output_tokens", RuleMisplaced, "a service call has no output tokens", advice)
	}
}

func (k *checker) checkModels() {
	names := make([]string, len(k.content.Models))
	for i, m := range k.content.Models {
		names[i] = m.Name
		path := k.entryPath("models", i, "")
		checkPositive(k, path+".max_context", m.MaxContext, maxTokens)
		checkPositive(k, path+".kv_bytes_per_token", m.KVBytesPerToken, int64(maxRate))
		checkPositive(k, path+".piece_tokens", m.PieceTokens, maxTokens)
	}
	k.checkNames("models", ".name", maxModels, names)
}

func (k *checker) checkServices() {
	names := make([]string, len(k.content.Services))
	for i, s := range k.content.Services {
		names[i] = s.Name
		path := k.entryPath("services", i, "")
		checkPositive(k, path+".timeout", s.Timeout, maxDuration)
		checkPositive(k, path+".concurrency", s.Concurrency, maxCount)
	}
	k.checkNames("services", ".name", maxServices, names)
}

func (k *checker) checkWorkspaces() {
	names := make([]string, len(k.content.Workspaces))
	for i, w := range k.content.Workspaces {
		names[i] = string(w.Name)
		k.checkWorkspace(k.entryPath("workspaces", i, ""), w)
	}
	if len(names) == 0 {
		k.add("workspaces", RuleMissing, "no workspace is declared", "declare at least one")
	}
	k.checkNames("workspaces", ".name", maxWorkspaces, names)
}

func (k *checker) checkWorkspace(path string, w config.Workspace) {
	checkPositive(k, path+".weight", w.Weight, maxCount)
	checkRange(k, path+".rate_per_second", w.RatePerSecond, 0, maxCount)
	checkRange(k, path+".burst", w.Burst, 0, maxCount)
	checkRange(k, path+".concurrency", w.Concurrency, 0, maxCount)
	k.checkModelReferences(path+".models", w.Models)
}

// checkModelReferences checks a list of model names: valid, unique, and declared.
func (k *checker) checkModelReferences(path string, models []string) {
	k.checkNames(path, "", maxPerEntry, models)
	for i, m := range models {
		checkReference(k, k.entryPath(path, i, ""), "model", m, k.models)
	}
}

func (k *checker) checkUpstreams() {
	names := make([]string, len(k.content.Upstreams))
	for i, u := range k.content.Upstreams {
		names[i] = string(u.ID)
		k.checkUpstream(k.entryPath("upstreams", i, ""), u)
	}
	if len(names) == 0 {
		k.add("upstreams", RuleMissing, "no upstream is declared", "declare at least one")
	}
	k.checkNames("upstreams", ".id", maxUpstreams, names)
}

// versionPattern matches the valid versions of an upstream.
var versionPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

func (k *checker) checkUpstream(path string, u config.Upstream) {
	if len(u.Version) > maxVersion || (u.Version != "" && !versionPattern.MatchString(u.Version)) {
		k.add(path+".version", RuleName, fmt.Sprintf("%q is not a valid version", truncate(u.Version)), "use letters, digits and inner dots, hyphens and underscores, at most 63 bytes")
	}
	switch u.Role {
	case config.RolePrefill, config.RoleDecode:
		k.checkEngine(path, u)
	case config.RoleService:
		k.checkServiceUpstream(path, u)
	case "":
		k.add(path+".role", RuleMissing, "there is no role", `"prefill", "decode" or "service"`)
	default:
		k.add(path+".role", RuleReference, fmt.Sprintf("there is no role %q", truncate(string(u.Role))), `"prefill", "decode" or "service"`)
	}
}

// checkEngine checks a model engine. Capacity figures of the other role are
// optional and may be present, so that only the role has to be edited to turn a
// prefill engine into a decode engine. They must not be negative.
func (k *checker) checkEngine(path string, u config.Upstream) {
	if len(u.Models) == 0 {
		k.add(path+".models", RuleMissing, "the engine has no model", "list at least one")
	}
	k.checkModelReferences(path+".models", u.Models)
	k.checkNames(path+".adapters", "", maxPerEntry, u.Adapters)
	if u.Service != "" {
		k.add(path+".service", RuleMisplaced, "a model engine runs no service", `leave it out, or use the role "service"`)
	}
	checkPositive(k, path+".pieces", u.Pieces, maxCount)
	checkPositive(k, path+".link_bytes_per_second", u.LinkBytesPerSecond, maxRate)
	if u.Role == config.RolePrefill {
		checkPositive(k, path+".prefill_tokens_per_second", u.PrefillTokensPerSecond, maxRate)
		checkRange(k, path+".slots", u.Slots, 0, maxCount)
		checkRange(k, path+".decode_step", u.DecodeStep, 0, maxDuration)
	} else {
		checkPositive(k, path+".slots", u.Slots, maxCount)
		checkPositive(k, path+".decode_step", u.DecodeStep, maxDuration)
		checkRange(k, path+".prefill_tokens_per_second", u.PrefillTokensPerSecond, 0, maxRate)
	}
	checkRange(k, path+".decode_step_per_request", u.DecodeStepPerRequest, 0, maxDuration)
}

// checkServiceUpstream checks an upstream that runs a plain service. Such an
// upstream has no models and no engine capacity figures.
func (k *checker) checkServiceUpstream(path string, u config.Upstream) {
	if u.Service == "" {
		k.add(path+".service", RuleMissing, "there is no service", "name the one it runs")
	} else {
		checkReference(k, path+".service", "service", u.Service, k.services)
	}
	misplaced := []struct {
		field string
		given bool
	}{
		{"models", len(u.Models) > 0},
		{"adapters", len(u.Adapters) > 0},
		{"slots", u.Slots != 0},
		{"pieces", u.Pieces != 0},
		{"prefill_tokens_per_second", u.PrefillTokensPerSecond != 0},
		{"link_bytes_per_second", u.LinkBytesPerSecond != 0},
		{"decode_step", u.DecodeStep != 0},
		{"decode_step_per_request", u.DecodeStepPerRequest != 0},
	}
	for _, m := range misplaced {
		if m.given {
			k.add(path+"."+m.field, RuleMisplaced, "a plain service has no "+m.field, "leave it out")
		}
	}
}
