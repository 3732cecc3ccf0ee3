package metrics

import (
	"github.com/uber-go/tally/v4"
)

// Render returns the metrics that fill reports, in the Prometheus text format. It
// is for programs that store their counts elsewhere: fill is called once and must
// add each counter's total. Errors from tally are ignored: they come from the
// reporter, which returns none.
func Render(prefix string, fill func(tally.Scope)) string {
	r := NewReporter()
	scope, closer := newScope(r, prefix, onlyOnClose)
	fill(scope)
	// Closing a scope makes it report its values.
	_ = closer.Close()
	return r.Text()
}

// onlyOnClose is the reporting interval of a scope that reports only when it is
// closed.
const onlyOnClose = 0
