package judge

import "sort"

// Summary is what several engines did together. It counts truly once nothing
// runs any more; before, prompts whose generation has not begun count as waste.
type Summary struct {
	// Requests counts correlation IDs, Completed those with a generation that
	// reached its last token.
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// CompletedTwice counts correlation IDs of which more than one generation
	// reached its last token.
	CompletedTwice int `json:"completed_twice"`
	// RepeatedTokens counts tokens generated again for the same request.
	RepeatedTokens int `json:"repeated_tokens"`
	PromptComputed int `json:"prompt_computed"`
	// PromptWasted counts computed prompt tokens thrown away: all that was
	// computed for a request but for the one run of which the most was used.
	// So it includes prompts computed again after a failure.
	PromptWasted int `json:"prompt_wasted"`
	// PromptAbandoned counts the used prompt tokens of requests that never
	// completed; PromptWasted doesn't include them.
	PromptAbandoned int `json:"prompt_abandoned"`
	Generated       int `json:"generated"`
	// HeldAttempts and HeldPieces are held now.
	HeldAttempts int `json:"held_attempts"`
	HeldPieces   int `json:"held_pieces"`
	// Unrecorded counts attempts that the engines kept no record of; if it
	// isn't 0, the counts above are too low.
	Unrecorded int `json:"unrecorded"`
}

// combined is what all engines did for one correlation ID.
type combined struct {
	completed int
	computed  int
	used      int
	ranges    []Range
}

// Merge joins the reports of several engines, by correlation ID.
func Merge(reports []Engine) Summary {
	var s Summary
	byID := make(map[string]*combined)
	for _, e := range reports {
		s.HeldAttempts += e.Held.Attempts
		s.HeldPieces += e.Held.Pieces
		s.Unrecorded += e.Dropped
		for _, r := range e.Requests {
			c := byID[r.CorrelationID]
			if c == nil {
				c = &combined{}
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

// add takes in what one engine did.
func (c *combined) add(r Request) {
	c.completed += r.Completed
	c.computed += r.PromptComputed
	c.used = max(c.used, r.LargestUsed)
	c.ranges = append(c.ranges, r.Ranges...)
}

// add takes in one request.
func (s *Summary) add(c *combined) {
	generated, distinct := c.tokens()
	s.Generated += generated
	s.RepeatedTokens += generated - distinct
	s.PromptComputed += c.computed
	// Without the report of the engine that prefilled, less is known to have
	// been computed than was used.
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

// tokens counts the tokens generated, and the distinct ones of them.
func (c *combined) tokens() (generated, distinct int) {
	sort.Slice(c.ranges, func(i, j int) bool { return c.ranges[i].From < c.ranges[j].From })
	covered := 0 // tokens before this offset are counted
	for _, r := range c.ranges {
		generated += r.To - r.From
		distinct += max(r.To-max(r.From, covered), 0)
		covered = max(covered, r.To)
	}
	return generated, distinct
}
