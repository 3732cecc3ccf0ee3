package judge

// Index finds what engines and services did for one request. Use it to check
// what the system told its callers, for example that a request answered as not
// run did not run.
type Index struct {
	requests map[string]*Runs
	keys     map[string]int
}

// Runs is what all engines and services together did for one correlation ID.
type Runs struct {
	// Accepted counts attempts that engines took in.
	Accepted int
	// PrefillRuns, DecodeRuns and ServiceRuns count runs that began.
	PrefillRuns int
	DecodeRuns  int
	ServiceRuns int
	// Completed counts generations that reached their last token.
	Completed int
}

// Ran reports whether any part of the request ran anywhere.
func (r Runs) Ran() bool { return r.PrefillRuns+r.DecodeRuns+r.ServiceRuns > 0 }

// NewIndex joins reports. Requests beyond a report's cap are missing from it.
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

// request returns the runs of a request to add to.
func (x *Index) request(id string) *Runs {
	r, ok := x.requests[id]
	if !ok {
		r = &Runs{}
		x.requests[id] = r
	}
	return r
}

// Request returns what was done for a correlation ID; the zero Runs if nothing.
func (x *Index) Request(id string) Runs {
	if r, ok := x.requests[id]; ok {
		return *r
	}
	return Runs{}
}

// KeyRuns returns how often services ran calls with an idempotency key.
func (x *Index) KeyRuns(key string) int { return x.keys[key] }
