package metrics

import (
	"github.com/uber-go/tally/v4"
)

// Render returns metrics in the text format that fill gives when it is asked,
// for programs that keep their counts elsewhere. Counters must be given their
// totals. An error of tally's is that of a reporter and cannot occur.
func Render(prefix string, fill func(tally.Scope)) string {
	r := NewReporter()
	scope, closer := newScope(r, prefix, never)
	fill(scope)
	// Closing a scope has it report.
	_ = closer.Close()
	return r.Text()
}

// never is the interval of a scope that reports only when it is closed.
const never = 0
