package judge

// Index looks up what engines and services ran for a request. Use it to check what the
// system told its callers, for example that a request reported as not run did not run.
type Index struct {
	requests map[string]*Runs
	keys     map[string]int
}

// Runs sums up what all engines and services ran for one correlation ID.
type Runs struct {
	// Accepted counts attempts that engines accepted.
	Accepted int
	// PrefillRuns, DecodeRuns and ServiceRuns count runs that were started.
	PrefillRuns int
	DecodeRuns  int
	ServiceRuns int
	// Completed counts generations that produced their last token.
	Completed int
}

// Ran reports whether any part of the request ran anywhere.
func (r Runs) Ran() bool { return r.PrefillRuns+r.DecodeRuns+r.ServiceRuns > 0 }

// NewIndex returns an index of the given reports. Requests beyond the cap of a report are
// missing.
func NewIndex(engines []Engine, services []Service) *Index {
	x := &Index{requests: make(map[string]*Runs), keys: make(map[string]int)}
	for _, e := range engines {
		for _, r := range e.Requests {
			runs := x.request(r.CorrelationID)
			runs.Accepted += r.Accepted
			runs.PrefillRuns += r.PrefillRuns
			runs.DecodeRuns += r.DecodeRuns
			runs.Completed += r.Completed
		}
	}
	for _, s := range services {
		for _, c := range s.ByCorrelation {
			x.request(c.Name).ServiceRuns += c.N
		}
		for _, c := range s.ByKey {
			x.keys[c.Name] += c.N
		}
	}
	return x
}

// request returns the runs of a correlation ID, adding them if there are none yet.
func (x *Index) request(id string) *Runs {
	r, ok := x.requests[id]
	if !ok {
		r = &Runs{}
		x.requests[id] = r
	}
	return r
}

// Request returns the runs of a correlation ID, or the zero Runs if nothing ran for it.
func (x *Index) Request(id string) Runs {
	if r, ok := x.requests[id]; ok {
		return *r
	}
	return Runs{}
}

// KeyRuns returns the number of calls with an idempotency key that services ran.
func (x *Index) KeyRuns(key string) int { return x.keys[key] }
