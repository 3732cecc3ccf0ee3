package leftover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

var (
	testStart = time.UnixMilli(1764684000000)
	testSelf  = kernel.Self{Instance: "self", Incarnation: 100, Zone: "hall-a"}
)

func instance(id ident.InstanceID, inc ident.Incarnation, l kernel.Liveness) kernel.Instance {
	return kernel.Instance{ID: id, Zone: "hall-a", Incarnation: inc, Liveness: l}
}

func attempt(id ident.InstanceID, inc ident.Incarnation, seq uint64) ident.AttemptID {
	return ident.AttemptID{Instance: id, Incarnation: inc, Sequence: seq, Deadline: testStart.Add(30 * time.Second)}
}

func TestJudge(t *testing.T) {
	const soon, late = 0, 32*time.Second + time.Millisecond
	inFlight := &InFlight{Incarnation: 100, Newest: 7, Sequences: []uint64{3, 5}}
	for name, c := range map[string]struct {
		attempt  ident.AttemptID
		after    time.Duration
		inFlight *InFlight
		want     Reason
	}{
		"live":                              {attempt("live", 10, 1), soon, nil, ""},
		"live, at deadline and margin":      {attempt("live", 10, 1), late - time.Millisecond, nil, ""},
		"live, past deadline and margin":    {attempt("live", 10, 1), late, nil, DeadlinePassed},
		"leaving":                           {attempt("leaving", 10, 1), soon, nil, ""},
		"unreachable, maybe frozen":         {attempt("unreachable", 10, 1), soon, nil, ""},
		"unreachable, past the deadline":    {attempt("unreachable", 10, 1), late, nil, DeadlinePassed},
		"dead":                              {attempt("dead", 10, 1), soon, nil, OwnerDead},
		"dead, later incarnation":           {attempt("dead", 11, 1), soon, nil, ""},
		"replaced":                          {attempt("live", 9, 1), soon, nil, OwnerReplaced},
		"incarnation newer than the view's": {attempt("live", 11, 1), soon, nil, ""},
		"not listed":                        {attempt("other", 10, 1), soon, nil, ""},
		"not listed, past the deadline":     {attempt("other", 10, 1), late, nil, DeadlinePassed},
		"own, no snapshot":                  {attempt("self", 100, 1), soon, nil, ""},
		"own, in flight":                    {attempt("self", 100, 5), soon, inFlight, ""},
		"own, ended":                        {attempt("self", 100, 4), soon, inFlight, Abandoned},
		"own, started after the snapshot":   {attempt("self", 100, 8), soon, inFlight, ""},
		"own, earlier incarnation":          {attempt("self", 99, 5), soon, inFlight, OwnerReplaced},
		"own, later incarnation":            {attempt("self", 101, 4), soon, inFlight, ""},
		"other instance, same sequence":     {attempt("live", 100, 4), soon, inFlight, ""},
	} {
		t.Run(name, func(t *testing.T) {
			e := Evidence{
				Now: testStart.Add(c.after), Margin: 2 * time.Second, Self: testSelf, InFlight: c.inFlight,
				View: &kernel.View{Instances: []kernel.Instance{
					instance("live", 10, kernel.Live), instance("leaving", 10, kernel.Leaving),
					instance("unreachable", 10, kernel.Unreachable), instance("dead", 10, kernel.Dead),
				}},
			}
			assert.Equal(t, e.Judge(c.attempt), c.want)
		})
	}
}

func TestParseLeavesForeignIDsAlone(t *testing.T) {
	encoded := attempt("dead", 10, 1)
	for text, want := range map[string]bool{
		encoded.String():       true,
		"":                     false,
		"cmpl-8f14e45f":        false,
		"dead.a.1":             false,
		"DEAD.a.1.miok7k00":    false,
		"dead.A.1.miok7k00":    false, // attempt IDs are encoded in lower case
		"dead.0a.1.miok7k00":   false,
		"dead.a.1.miok7k00.xx": false,
	} {
		_, got := parse(text)
		assert.Equal(t, got, want, text)
	}
}
