package metrics

import (
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// TestText checks the text format of each metric type, including escaped labels
// and cumulative buckets, and that closing a scope ends its goroutine.
func TestText(t *testing.T) {
	defer goleak.VerifyNone(t)
	r := NewReporter()
	scope, closer := NewScope(r, "p")
	scope.Counter("plain").Inc(2)
	scope.Tagged(map[string]string{"b": `q"`, "a": "1"}).Counter("tagged").Inc(1)
	scope.Gauge("level").Update(1.5)
	scope.Timer("took").Record(250 * time.Millisecond)
	h := scope.Histogram("first", tally.DurationBuckets{time.Second, 2 * time.Second})
	h.RecordDuration(500 * time.Millisecond)
	h.RecordDuration(1500 * time.Millisecond)
	h.RecordDuration(time.Hour)
	assert.NilError(t, closer.Close())
	text := r.Text()
	for _, want := range []string{
		"# TYPE p_plain counter\np_plain 2\n",
		`p_tagged{a="1",b="q\""} 1` + "\n",
		"# TYPE p_level gauge\np_level 1.5\n",
		"p_took_sum 0.25\np_took_count 1\n",
		`p_first_bucket{le="1"} 1` + "\n" + `p_first_bucket{le="2"} 2` + "\n",
		`p_first_bucket{le="+Inf"} 3` + "\n",
		"p_first_count 3\n",
	} {
		assert.Check(t, strings.Contains(text, want), "%q in\n%s", want, text)
	}
	assert.Equal(t, strings.Count(text, `p_first_bucket{le="+Inf"}`), 1)
}
