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

func (k *checker) checkPolicy() {
	p := k.content.Policy
	k.checkPlugin("policy.slots", slotsNamespace, p.Slots)
	k.checkPlugin("policy.order", orderNamespace, p.Order)
	k.checkPlugins("policy.admission", admissionNamespace, p.Admission)
	k.checkPlugins("policy.filters", filterNamespace, p.Filters)
	k.checkScorers()
	k.checkRegions()
	checkPositive(k, "policy.queue_limit", p.QueueLimit, maxCount)
	checkRange(k, "policy.retry_budget", p.RetryBudget, 0, 1)
	checkRange(k, "policy.max_attempts", p.MaxAttempts, 1, maxAttempts)
	checkPositive(k, "policy.retry_backoff", p.RetryBackoff, maxDuration)
	checkPositive(k, "policy.view_stale", p.ViewStale, maxDuration)
	checkPositive(k, "policy.kv_lifetime", p.KVLifetime, maxDuration)
	checkPositive(k, "policy.transfer_stall", p.TransferStall, maxDuration)
}

// checkPlugin checks the syntax and namespace of a plug-in ID. It can't check
// whether the plug-in exists: which plug-ins are linked differs between binaries,
// and each binary checks that when it loads the policy.
func (k *checker) checkPlugin(path, namespace string, id plugin.ID) {
	advice := fmt.Sprintf("use %q followed by a plug-in's name", namespace+".")
	switch {
	case id == "":
		k.add(path, RuleMissing, "no plug-in is named", advice)
	case id.Namespace() != namespace || !pluginName.MatchString(id.Name()):
		k.add(path, RulePlugin, fmt.Sprintf("%q is no plug-in ID for this place", truncate(string(id))), advice)
	}
}

// checkPlugins checks a list of plug-in IDs that must all be in one namespace.
func (k *checker) checkPlugins(list, namespace string, ids []plugin.ID) {
	seen := map[plugin.ID]bool{}
	for i, id := range ids {
		path := k.entryPath(list, i, "")
		k.checkPlugin(path, namespace, id)
		checkUnique(k, path, id, seen)
	}
	k.checkPluginCount(list, len(ids))
}

// checkRegions checks that region names are valid and unique, and that each zone
// belongs to at most one region.
func (k *checker) checkRegions() {
	names := map[ident.Region]bool{}
	zones := map[ident.Zone]bool{}
	for i, r := range k.content.Policy.Regions {
		path := k.entryPath("policy.regions", i, "")
		k.checkName(path+".name", string(r.Name))
		checkUnique(k, path+".name", r.Name, names)
		if len(r.Zones) == 0 {
			k.add(path+".zones", RuleMissing, "the region has no zones", "list the availability zones that lie in it")
		}
		for j, z := range r.Zones {
			zonePath := k.entryPath(path+".zones", j, "")
			k.checkName(zonePath, string(z))
			checkUnique(k, zonePath, z, zones)
		}
	}
}

func (k *checker) checkScorers() {
	seen := map[plugin.ID]bool{}
	for i, s := range k.content.Policy.Scorers {
		path := k.entryPath("policy.scorers", i, "")
		k.checkPlugin(path+".id", scorerNamespace, s.ID)
		checkUnique(k, path+".id", s.ID, seen)
		checkPositive(k, path+".weight", s.Weight, maxCount)
	}
	k.checkPluginCount("policy.scorers", len(k.content.Policy.Scorers))
}

// checkUnique reports a name or ID that occurs more than once. The map seen holds
// those before it.
func checkUnique[T ~string](k *checker, path string, id T, seen map[T]bool) {
	if seen[id] && id != "" {
		k.add(path, RuleDuplicate, fmt.Sprintf("%q is listed twice", truncate(string(id))), "list it once")
	}
	seen[id] = true
}

func (k *checker) checkPluginCount(path string, n int) {
	if n > maxPerEntry {
		k.add(path, RuleSize, fmt.Sprintf("the list has %d entries", n), fmt.Sprintf("at most %d", maxPerEntry))
	}
}
