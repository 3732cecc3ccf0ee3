package experiment

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTrial(t *testing.T) {
	for _, name := range []string{"coastline", "lagos"} {
		var rs []*Result
		for _, p := range []PolicyName{PolicyNaive, PolicyCurrent, PolicyIdeal} {
			for _, load := range []float64{0.5, 1.0, 1.5} {
				d := deployment(t, name)
				c := newCell(d, p, load, FaultNone, 1)
				c.Duration = 30 * time.Second
				start := time.Now()
				r, err := Run(c, d)
				assert.NilError(t, err)
				t.Logf("%v %s %.1f %v %v", time.Since(start), p, load, r.Broken, r.PeerMessages)
				for i, v := range r.Violations {
					if i < 4 {
						t.Log(v)
					}
				}
				rs = append(rs, r)
			}
		}
		tab, _ := Table(Summarize(rs))
		tab.WriteText(os.Stdout)
	}
}
