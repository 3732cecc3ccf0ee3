package bundle

import (
	"fmt"
	"regexp"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugin"
)

// Namespaces of the decision plug-ins that a policy names.
const (
	slotsNamespace     = "slots"
	orderNamespace     = "order"
	admissionNamespace = "admission"
	filterNamespace    = "filter"
	scorerNamespace    = "scorer"
)

// maxAttempts bounds a policy's attempts for one request.
const maxAttempts = 100

// pluginName is the form of the part of a plug-in ID after its namespace.
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

// plugin checks the form of a plug-in ID. Whether a binary links the plug-in is
// the binary's to say when it loads the policy.
func (k *checker) plugin(path, namespace string, id plugin.ID) {
	right := fmt.Sprintf("use %q followed by a plug-in's name", namespace+".")
	switch {
	case id == "":
		k.add(path, RuleMissing, "no plug-in is named", right)
	case id.Namespace() != namespace || !pluginName.MatchString(id.Name()):
		k.add(path, RulePlugin, fmt.Sprintf("%q is no plug-in ID for this place", clip(string(id))), right)
	}
}

// plugins checks a list of plug-in IDs of one namespace.
func (k *checker) plugins(list, namespace string, ids []plugin.ID) {
	first := map[plugin.ID]bool{}
	for i, id := range ids {
		path := k.at(list, i, "")
		k.plugin(path, namespace, id)
		once(k, path, id, first)
	}
	k.pluginCount(list, len(ids))
}

// regions checks that each region has a name of its own and that no zone lies in
// two.
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

// once reports a name that is listed a second time.
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
