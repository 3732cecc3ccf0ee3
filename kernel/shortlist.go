package kernel

// shortlistSize is the number of upstreams per role from which pairs are formed.
const shortlistSize = 4

// ranked is an upstream, given by its index in the view, and its cost.
type ranked struct {
	index int
	cost  float64
}

// shortlist holds the cheapest of the upstreams offered to it, cheapest first.
type shortlist struct {
	size  int
	items [shortlistSize]ranked
}

func (s *shortlist) reset() { s.size = 0 }

// insert inserts an upstream if it is among the cheapest so far.
func (s *shortlist) insert(index int, cost float64) {
	at := s.size
	if at == shortlistSize {
		if cost >= s.items[at-1].cost {
			return
		}
		at--
	} else {
		s.size++
	}
	for at > 0 && s.items[at-1].cost > cost {
		s.items[at] = s.items[at-1]
		at--
	}
	s.items[at] = ranked{index: index, cost: cost}
}

func (s *shortlist) all() []ranked { return s.items[:s.size] }
