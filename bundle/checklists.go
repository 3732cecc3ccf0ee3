package bundle

import (
	"fmt"
	"regexp"

	"github.com/wardspool/wardspool/config"
)

func (k *checker) kinds() {
	kinds := k.content.Kinds
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = kind.Name
		k.kind(k.at("kinds", i, ""), kind)
	}
	if len(kinds) == 0 {
		k.add("kinds", RuleMissing, "no kind of request is declared", "declare at least one")
	}
	k.names("kinds", ".name", maxKinds, names)
}

func (k *checker) kind(path string, kind config.Kind) {
	positive(k, path+".deadline", kind.Deadline, maxDuration)
	between(k, path+".priority", kind.Priority, 0, maxPriority)
	switch kind.Route {
	case config.RouteModel:
		positive(k, path+".first_output", kind.FirstOutput, maxDuration)
		positive(k, path+".pace", kind.Pace, maxDuration)
		positive(k, path+".default_output_tokens", kind.DefaultOutputTokens, maxTokens)
	case config.RouteService:
		k.unusedInService(path, kind)
	case "":
		k.add(path+".route", RuleMissing, "there is no route", `"model" or "service"`)
	default:
		k.add(path+".route", RuleReference, fmt.Sprintf("there is no route %q", clip(string(kind.Route))), `"model" or "service"`)
	}
}

// unusedInService reports fields that apply only to model requests on a kind that
// calls a plain service.
func (k *checker) unusedInService(path string, kind config.Kind) {
	const right = "leave it out of a kind that calls a service"
	if kind.FirstOutput != 0 {
		k.add(path+".first_output", RuleMisplaced, "a service call has no first output token", right)
	}
	if kind.Pace != 0 {
		k.add(path+".pace", RuleMisplaced, "a service call has no pace of tokens", right)
	}
	if kind.DefaultOutputTokens != 0 {
		k.add(path+".default_output_tokens", RuleMisplaced, "a service call has no output tokens", right)
	}
}

func (k *checker) modelList() {
	names := make([]string, len(k.content.Models))
	for i, m := range k.content.Models {
		names[i] = m.Name
		path := k.at("models", i, "")
		positive(k, path+".max_context", m.MaxContext, maxTokens)
		positive(k, path+".kv_bytes_per_token", m.KVBytesPerToken, int64(maxRate))
		positive(k, path+".piece_tokens", m.PieceTokens, maxTokens)
	}
	k.names("models", ".name", maxModels, names)
}

func (k *checker) serviceList() {
	names := make([]string, len(k.content.Services))
	for i, s := range k.content.Services {
		names[i] = s.Name
		path := k.at("services", i, "")
		positive(k, path+".timeout", s.Timeout, maxDuration)
		positive(k, path+".concurrency", s.Concurrency, maxCount)
	}
	k.names("services", ".name", maxServices, names)
}

func (k *checker) workspaces() {
	names := make([]string, len(k.content.Workspaces))
	for i, w := range k.content.Workspaces {
		names[i] = string(w.Name)
		k.workspace(k.at("workspaces", i, ""), w)
	}
	if len(names) == 0 {
		k.add("workspaces", RuleMissing, "no workspace is declared", "declare at least one")
	}
	k.names("workspaces", ".name", maxWorkspaces, names)
}

func (k *checker) workspace(path string, w config.Workspace) {
	positive(k, path+".weight", w.Weight, maxCount)
	between(k, path+".rate_per_second", w.RatePerSecond, 0, maxCount)
	between(k, path+".burst", w.Burst, 0, maxCount)
	between(k, path+".concurrency", w.Concurrency, 0, maxCount)
	k.modelNames(path+".models", w.Models)
}

// modelNames checks a list of model names: valid, unique, and declared.
func (k *checker) modelNames(path string, models []string) {
	k.names(path, "", maxPerEntry, models)
	for i, m := range models {
		reference(k, k.at(path, i, ""), "model", m, k.models)
	}
}

func (k *checker) upstreams() {
	names := make([]string, len(k.content.Upstreams))
	for i, u := range k.content.Upstreams {
		names[i] = string(u.ID)
		k.upstream(k.at("upstreams", i, ""), u)
	}
	if len(names) == 0 {
		k.add("upstreams", RuleMissing, "no upstream is declared", "declare at least one")
	}
	k.names("upstreams", ".id", maxUpstreams, names)
}

// versionPattern matches the valid versions of an upstream.
var versionPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

func (k *checker) upstream(path string, u config.Upstream) {
	if len(u.Version) > maxVersion || (u.Version != "" && !versionPattern.MatchString(u.Version)) {
		k.add(path+".version", RuleName, fmt.Sprintf("%q is not a valid version", clip(u.Version)), "use letters, digits and inner dots, hyphens and underscores, at most 63 bytes")
	}
	switch u.Role {
	case config.RolePrefill, config.RoleDecode:
		k.engine(path, u)
	case config.RoleService:
		k.serviceUpstream(path, u)
	case "":
		k.add(path+".role", RuleMissing, "there is no role", `"prefill", "decode" or "service"`)
	default:
		k.add(path+".role", RuleReference, fmt.Sprintf("there is no role %q", clip(string(u.Role))), `"prefill", "decode" or "service"`)
	}
}

// engine checks a model engine. Capacity figures of the other role are optional
// and may be present, so that only the role has to be edited to turn a prefill
// engine into a decode engine. They must not be negative.
func (k *checker) engine(path string, u config.Upstream) {
	if len(u.Models) == 0 {
		k.add(path+".models", RuleMissing, "the engine has no model", "list at least one")
	}
	k.modelNames(path+".models", u.Models)
	k.names(path+".adapters", "", maxPerEntry, u.Adapters)
	if u.Service != "" {
		k.add(path+".service", RuleMisplaced, "a model engine runs no service", `leave it out, or use the role "service"`)
	}
	positive(k, path+".pieces", u.Pieces, maxCount)
	positive(k, path+".link_bytes_per_second", u.LinkBytesPerSecond, maxRate)
	if u.Role == config.RolePrefill {
		positive(k, path+".prefill_tokens_per_second", u.PrefillTokensPerSecond, maxRate)
		between(k, path+".slots", u.Slots, 0, maxCount)
		between(k, path+".decode_step", u.DecodeStep, 0, maxDuration)
	} else {
		positive(k, path+".slots", u.Slots, maxCount)
		positive(k, path+".decode_step", u.DecodeStep, maxDuration)
		between(k, path+".prefill_tokens_per_second", u.PrefillTokensPerSecond, 0, maxRate)
	}
	between(k, path+".decode_step_per_request", u.DecodeStepPerRequest, 0, maxDuration)
}

// serviceUpstream checks an upstream that runs a plain service. Such an upstream
// has no models and no engine capacity figures.
func (k *checker) serviceUpstream(path string, u config.Upstream) {
	if u.Service == "" {
		k.add(path+".service", RuleMissing, "there is no service", "name the one it runs")
	} else {
		reference(k, path+".service", "service", u.Service, k.services)
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
