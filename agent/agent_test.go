package agent

import (
	"testing"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// TestOneInstance: bundle, lists and loads reach the entry.
func TestOneInstance(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.addAll(1, "hall-a")
		f.list()
		f.publish(nil)
		startAll(nodes)
		f.within(8*time.Second, "version 1 in force", allAt(nodes, 1))
		f.within(2*time.Second, "loads and readiness at the entry", func() bool {
			u := nodes[0].entry.upstream("dc-1")
			_, last := nodes[0].entry.seen()
			return last.Ready && u != nil && u.Load != nil && u.Life == kernel.Live && u.Load.PiecesTotal == 2000
		})
		f.publish(nil)
		f.within(time.Second, "version 2 in force", allAt(nodes, 2))
	})
}
