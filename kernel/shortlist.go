package kernel

// shortlistSize is how many upstreams per role are considered in pairs.
const shortlistSize = 4

// ranked is an upstream, by its index in the view, and its cost.
type ranked struct {
	index int
	cost  float64
}

// shortlist keeps the upstreams of least cost, cheapest first.
type shortlist struct {
	size  int
	items [shortlistSize]ranked
}

func (s *shortlist) reset() { s.size = 0 }

// offer inserts an upstream if it is among the cheapest so far.
func (s *shortlist) offer(index int, cost float64) {
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
