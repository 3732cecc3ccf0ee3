package e2e

import (
	"encoding/json"
	"errors"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/agent/console"
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/ledger"
)

// exitAlarm is the exit code of "wardspoolctl fleet" while an alarm is raised.
const exitAlarm = 1

// fleetCommand runs "wardspoolctl fleet --json" and returns its output and its
// exit code.
func (b *bed) fleetCommand() (*console.Fleet, int) {
	b.t.Helper()
	var addresses []string
	for _, in := range b.Instances {
		addresses = append(addresses, in.AgentOperator)
	}
	cmd := exec.CommandContext(b.ctx, programs.Ctl, "fleet", "--json", "--agents", strings.Join(addresses, ","))
	out, err := cmd.Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		b.t.Fatal(err)
	}
	var f console.Fleet
	assert.NilError(b.t, json.Unmarshal(out, &f), "%s", out)
	return &f, cmd.ProcessState.ExitCode()
}

// TestFleetCommandShowsTheAlarm verifies that "wardspoolctl fleet" reports two
// bundles with the same version as an alarm that names the step to take, and that
// the alarm is cleared once that step is taken.
func TestFleetCommandShowsTheAlarm(t *testing.T) {
	b := newBed(t)
	f, code := b.fleetCommand()
	assert.Equal(t, code, 0)
	assert.Equal(t, len(f.Agents), len(b.Instances))

	s := b.signer()
	content := b.Deployment.Content
	base := s.sign(bundle.Draft{Content: content})
	one := s.sign(bundle.Draft{Previous: base.head, Content: content})
	two := s.sign(bundle.Draft{Previous: base.head, Content: differingContent(content)})
	s.publish(one, base.head, 2)
	b.awaitVersion(2, b.Instances...)
	s.publish(two, base.head, 3)
	b.eventually("the alarm", func() (bool, string) {
		f, code := b.fleetCommand()
		for i := range f.Agents {
			if !splitAlarm(f, i) {
				return false, string(f.Agents[i].Instance) + " does not raise it"
			}
		}
		return code == exitAlarm, "wrong exit code"
	})

	next := s.sign(bundle.Draft{
		Previous: one.head, Content: content, Supersedes: []bundle.Digest{two.head.Ref().Digest},
	})
	s.publish(next, one.head, 4)
	b.awaitVersion(3, b.Instances...)
	b.eventually("the end of the alarm", func() (bool, string) {
		f, code := b.fleetCommand()
		return code == 0, f.At.String()
	})
}

// splitAlarm reports whether an agent raises the alarm for two bundles with the
// same version, and the alarm names the step to take.
func splitAlarm(f *console.Fleet, agent int) bool {
	for _, a := range f.Agents[agent].Alarms {
		if a.Type == ledger.AlarmSplitVersion && a.Step != "" {
			return true
		}
	}
	return false
}
