package stats

// Sum adds up the counts of several instances for each version.
func Sum(parts ...[]Version) []Version {
	c := New()
	for _, part := range parts {
		for _, v := range part {
			c.add(v)
		}
	}
	return c.Versions()
}

// add adds counts to those of the same version.
func (c *Collector) add(from Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.version(from.Version)
	v.prefill += from.PrefillTokens
	v.wasted += from.WastedTokens
	for _, k := range from.Kinds {
		into := v.kinds[k.Kind]
		if into == nil {
			into = &Kind{Kind: k.Kind}
			v.kinds[k.Kind] = into
		}
		into.Offered += k.Offered
		into.OnTime += k.OnTime
		into.Complete += k.Complete
		into.NotRun += k.NotRun
		into.Unknown += k.Unknown
		into.Tokens += k.Tokens
	}
	for _, r := range from.Refusals {
		v.refusals[refusalKey{r.Step, r.Reason}] += r.Count
	}
}
