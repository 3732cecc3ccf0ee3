package gateway

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/settings"
)

const goodSettings = `instance: "one"
zone: "a"
deployment: "platform"
listen:
  callers: "127.0.0.1:1"
  ready: "127.0.0.1:2"
  peers: "127.0.0.1:3"
seeds:
  - "127.0.0.1:3"
store:
  address: "127.0.0.1:4"
retries:
  ratio: 0.2
  window_seconds: 10
  slack: 56
`

// TestSettings guards against settings that are accepted although a value is missing or invalid,
// and against errors that do not name the field.
func TestSettings(t *testing.T) {
	s, err := settings.Parse[Settings]("f.yaml", []byte(goodSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.MemoryMB, defaultMemoryMB)
	assert.Equal(t, s.Retries.budget().Slack, 56.0)
	for broken, says := range map[string]string{
		`"127.0.0.1:1"`:        "listen.callers",
		`zone: "a"`:            "zone",
		`window_seconds: 10`:   "retries.window_seconds",
		`"platform"`:           "deployment",
		`- "127.0.0.1:3"`:      "seeds",
		`peers: "127.0.0.1:3"`: "listen.peers",
	} {
		name, value, found := strings.Cut(broken, ": ")
		text := strings.Replace(goodSettings, broken, `""`, 1)
		switch {
		case strings.HasPrefix(broken, "- "):
			text = strings.Replace(goodSettings, broken, `- "x"`, 1)
		case found && value[0] == '"':
			text = strings.Replace(goodSettings, broken, name+`: ""`, 1)
		case found:
			text = strings.Replace(goodSettings, broken, name+": 0", 1)
		}
		_, err := settings.Parse[Settings]("f.yaml", []byte(text))
		var invalid *settings.InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%s", broken)
		assert.Assert(t, strings.Contains(err.Error(), says), "%s: %v", broken, err)
	}
}

// TestSettingsAreDocumented guards against settings that are missing in docs/settings.md.
func TestSettingsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), "## wardspool-gateway")
	assert.Assert(t, found)
	for _, field := range []string{
		"instance", "zone", "deployment", "listen.callers", "listen.ready", "listen.peers", "listen.metrics",
		"seeds", "store.address", "memory_mb", "retries.ratio", "orders.lease_ms", "stop.grace_seconds", "log.level",
	} {
		assert.Check(t, strings.Contains(section, "`"+field+"`"), field)
	}
}
