package agent

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/feed"
)

// TestEntryRejects checks that an agent raises an alarm with the step for
// operators if its entry lacks a plug-in of the version in force. The version
// stays in force, and the alarm ends when the entry is upgraded to a release that
// accepts it.
func TestEntryRejects(t *testing.T) {
	inFleet(t, func(f *fleet) {
		nodes := f.startFleet(2, "hall-a")
		old := nodes[0].entry
		old.set(func(r *feed.Reply) { r.Rejected = &feed.Rejection{Version: 1, Reason: "no plug-in order.of_tomorrow"} })
		old.set(func(r *feed.Reply) { r.BundleVersion = 0 })
		f.within(2*time.Second, "alarm raised", func() bool { return len(nodes[0].status().Alarms) == 1 })
		a := nodes[0].status().Alarms[0]
		assert.Equal(t, a.Type, ledger.AlarmEntryRejects)
		assert.Assert(t, strings.Contains(a.Text, "order.of_tomorrow"), a.Text)
		assert.Equal(t, a.Step, ledger.AlarmEntryRejects.Remedy())
		assert.Equal(t, nodes[0].version(), uint64(1))
		assert.Equal(t, len(nodes[1].status().Alarms), 0)
		old.set(func(r *feed.Reply) { r.Rejected, r.BundleVersion = nil, 1 })
		f.within(2*time.Second, "alarm cleared", func() bool { return len(nodes[0].status().Alarms) == 0 })
	})
}
