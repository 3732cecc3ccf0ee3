package judge

import "sort"

// Summary combines the reports of several engines. It is exact once nothing is running:
// until then, prompts whose generation has not started count as wasted.
type Summary struct {
	// Requests counts correlation IDs, Completed those with a generation that
	// produced its last token.
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// CompletedTwice counts correlation IDs with more than one generation that
	// produced its last token.
	CompletedTwice int `json:"completed_twice"`
	// RepeatedTokens counts tokens that were generated again for the same request.
	RepeatedTokens int `json:"repeated_tokens"`
	PromptComputed int `json:"prompt_computed"`
	// PromptWasted counts discarded prompt tokens: all computed for a request minus
	// those of the run of which the most were used. It therefore includes prompts
	// that were computed again after a failure.
	PromptWasted int `json:"prompt_wasted"`
	// PromptAbandoned counts the used prompt tokens of requests that did not complete.
	// PromptWasted does not include them.
	PromptAbandoned int `json:"prompt_abandoned"`
	Generated       int `json:"generated"`
	// HeldAttempts and HeldPieces count what the engines held at the time of their
	// reports.
	HeldAttempts int `json:"held_attempts"`
	HeldPieces   int `json:"held_pieces"`
	// Unrecorded counts attempts for which the engines have no record. If it is not 0,
	// the counts above are too low.
	Unrecorded int `json:"unrecorded"`
}

// combinedRecord combines the records of all engines for one correlation ID.
type combinedRecord struct {
	completed int
	computed  int
	used      int
	ranges    []Range
}

// Merge combines the reports of several engines by correlation ID.
func Merge(reports []Engine) Summary {
	var s Summary
	byID := make(map[string]*combinedRecord)
	for _, e := range reports {
		s.HeldAttempts += e.Held.Attempts
		s.HeldPieces += e.Held.Pieces
		s.Unrecorded += e.Dropped
		for _, r := range e.Requests {
			c := byID[r.CorrelationID]
			if c == nil {
				c = &combinedRecord{}
				byID[r.CorrelationID] = c
			}
			c.add(r)
		}
	}
	s.Requests = len(byID)
	for _, c := range byID {
		s.add(c)
	}
	return s
}

// add adds the record of one engine.
func (c *combinedRecord) add(r Request) {
	c.completed += r.Completed
	c.computed += r.PromptComputed
	c.used = max(c.used, r.LargestUsed)
	c.ranges = append(c.ranges, r.Ranges...)
}

// add adds one request to the summary.
func (s *Summary) add(c *combinedRecord) {
	generated, distinct := c.tokens()
	s.Generated += generated
	s.RepeatedTokens += generated - distinct
	s.PromptComputed += c.computed
	// If the report of the prefill engine is missing, the known computed tokens can
	// be fewer than the used ones.
	s.PromptWasted += max(c.computed-c.used, 0)
	switch {
	case c.completed == 0:
		s.PromptAbandoned += c.used
	case c.completed > 1:
		s.CompletedTwice++
		s.Completed++
	default:
		s.Completed++
	}
}

// tokens returns the number of generated tokens and how many of them are distinct.
func (c *combinedRecord) tokens() (generated, distinct int) {
	sort.Slice(c.ranges, func(i, j int) bool { return c.ranges[i].From < c.ranges[j].From })
	covered := 0 // tokens before this offset have been counted
	for _, r := range c.ranges {
		generated += r.To - r.From
		distinct += max(r.To-max(r.From, covered), 0)
		covered = max(covered, r.To)
	}
	return generated, distinct
}
