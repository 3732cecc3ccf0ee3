package bundle

import (
	"fmt"
	"regexp"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugin"
)

// Namespaces of the decision plug-ins that a policy refers to.
const (
	slotsNamespace     = "slots"
	orderNamespace     = "order"
	admissionNamespace = "admission"
	filterNamespace    = "filter"
	scorerNamespace    = "scorer"
)

// maxAttempts is the upper limit for a policy's attempts per request.
const maxAttempts = 100

// pluginName matches the part of a plug-in ID that follows the namespace.
var pluginName = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)

func (k *checker) policy() {
	p := k.content.Policy
	k.plugin("policy.slots", slotsNamespace, p.Slots)
	k.plugin("policy.order", orderNamespace, p.Order)
	k.plugins("policy.admission", admissionNamespace, p.Admission)
	k.plugins("policy.filters", filterNamespace, p.Filters)
	k.scorers()
	k.regions()
	positive(k, "policy.queue_limit", p.QueueLimit, maxCount)
	between(k, "policy.retry_budget", p.RetryBudget, 0, 1)
	between(k, "policy.max_attempts", p.MaxAttempts, 1, maxAttempts)
	positive(k, "policy.retry_backoff", p.RetryBackoff, maxDuration)
	positive(k, "policy.view_stale", p.ViewStale, maxDuration)
	positive(k, "policy.kv_lifetime", p.KVLifetime, maxDuration)
	positive(k, "policy.transfer_stall", p.TransferStall, maxDuration)
}

// plugin checks the syntax and namespace of a plug-in ID. It can't check whether
// the plug-in exists: which plug-ins are linked differs between binaries, and each
// binary checks that when it loads the policy.
func (k *checker) plugin(path, namespace string, id plugin.ID) {
	right := fmt.Sprintf("use %q followed by a plug-in's name", namespace+".")
	switch {
	case id == "":
		k.add(path, RuleMissing, "no plug-in is named", right)
	case id.Namespace() != namespace || !pluginName.MatchString(id.Name()):
		k.add(path, RulePlugin, fmt.Sprintf("%q is no plug-in ID for this place", clip(string(id))), right)
	}
}

// plugins checks a list of plug-in IDs that must all be in one namespace.
func (k *checker) plugins(list, namespace string, ids []plugin.ID) {
	first := map[plugin.ID]bool{}
	for i, id := range ids {
		path := k.at(list, i, "")
		k.plugin(path, namespace, id)
		once(k, path, id, first)
	}
	k.pluginCount(list, len(ids))
}

// regions checks that region names are valid and unique, and that each zone
// belongs to at most one region.
func (k *checker) regions() {
	names := map[ident.Region]bool{}
	zones := map[ident.Zone]bool{}
	for i, r := range k.content.Policy.Regions {
		path := k.at("policy.regions", i, "")
		k.name(path+".name", string(r.Name))
		once(k, path+".name", r.Name, names)
		if len(r.Zones) == 0 {
			k.add(path+".zones", RuleMissing, "the region has no zones", "list the availability zones that lie in it")
		}
		for j, z := range r.Zones {
			zonePath := k.at(path+".zones", j, "")
			k.name(zonePath, string(z))
			once(k, zonePath, z, zones)
		}
	}
}

func (k *checker) scorers() {
	first := map[plugin.ID]bool{}
	for i, s := range k.content.Policy.Scorers {
		path := k.at("policy.scorers", i, "")
		k.plugin(path+".id", scorerNamespace, s.ID)
		once(k, path+".id", s.ID, first)
		positive(k, path+".weight", s.Weight, maxCount)
	}
	k.pluginCount("policy.scorers", len(k.content.Policy.Scorers))
}

// once reports an ID that occurs more than once in a list. The map first holds
// the IDs seen so far.
func once[T ~string](k *checker, path string, id T, first map[T]bool) {
	if first[id] && id != "" {
		k.add(path, RuleDuplicate, fmt.Sprintf("%q is listed twice", clip(string(id))), "list it once")
	}
	first[id] = true
}

func (k *checker) pluginCount(path string, n int) {
	if n > maxPerEntry {
		k.add(path, RuleSize, fmt.Sprintf("the list has %d entries", n), fmt.Sprintf("at most %d", maxPerEntry))
	}
}
