package agent

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/settings"
)

// fields returns the paths of a settings type's fields.
func fields(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		path := prefix + strings.Split(f.Tag.Get("yaml"), ",")[0]
		if f.Type.Kind() == reflect.Struct {
			out = append(out, fields(f.Type, path+".")...)
			continue
		}
		out = append(out, path)
	}
	return out
}

// TestSettingsPage checks that the documentation of the settings covers each
// field.
func TestSettingsPage(t *testing.T) {
	data, err := os.ReadFile("../docs/settings.md")
	assert.NilError(t, err)
	_, page, ok := strings.Cut(string(data), "## wardspool-agent")
	assert.Assert(t, ok)
	for _, f := range fields(reflect.TypeFor[Settings](), "") {
		assert.Check(t, strings.Contains(page, "`"+f+"`"), "%s is not in docs/settings.md", f)
	}
}

const goodSettings = `
instance: a-1
zone: hall-a
entry: {feed: "127.0.0.1:9200"}
peers: {listen: "10.0.0.1:9101"}
platform: {urls: ["http://10.0.0.2:7000"]}
approvers: {epoch: 1, quorum: 1, keys: [{name: ada, key: KEY}]}
`

func TestCheckSettings(t *testing.T) {
	key := approvers().Keys[0].Key.String()
	for name, c := range map[string]struct{ old, new, field string }{
		"good":                {},
		"no instance":         {"instance: a-1", "", "instance"},
		"bad zone":            {"zone: hall-a", "zone: Hall_A", "zone"},
		"feed not loopback":   {"127.0.0.1:9200", "10.0.0.1:9200", "entry.feed"},
		"no peers":            {`{listen: "10.0.0.1:9101"}`, "{}", "peers.listen"},
		"bad seed":            {`{listen: "10.0.0.1:9101"}`, `{listen: "10.0.0.1:9101", seeds: [{instance: b, zone: z, address: b}]}`, "peers.seeds[0].address"},
		"no operators":        {"instance: a-1", "instance: a-1\noperators: {listen: \"10.0.0.1:9301\"}", "operators.listen"},
		"bad operator":        {"instance: a-1", "instance: a-1\noperators: {names: [A]}", "operators.names[0]"},
		"no platform":         {`["http://10.0.0.2:7000"]`, "[]", "platform.urls"},
		"bad platform":        {"http://", "tcp://", "platform.urls[0]"},
		"unknown adapter":     {"{urls:", "{adapter: platform.none, urls:", "platform.adapter"},
		"quorum too small":    {"quorum: 1", "quorum: 0", "approvers"},
		"short key":           {key, key[:10], "approvers.keys[0].key"},
		"nothing to serve":    {"zone: hall-a", "zone: hall-a\nisolated: serve-preload", "isolated"},
		"unknown policy":      {"zone: hall-a", "zone: hall-a\nisolated: maybe", "isolated"},
		"pause too short":     {"zone: hall-a", "zone: hall-a\npause_after: 100ms", "pause_after"},
		"negative budget":     {"zone: hall-a", "zone: hall-a\nloads: {budget: -1}", "loads.budget"},
		"bad level":           {"zone: hall-a", "zone: hall-a\nlog: {level: loud}", "log"},
		"unknown field":       {"zone: hall-a", "zone: hall-a\nzones: b", "zones"},
		"number without unit": {"zone: hall-a", "zone: hall-a\npause_after: 3", "pause_after"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(strings.ReplaceAll(goodSettings, "KEY", key), c.old, c.new, 1)
			_, err := settings.Parse[Settings]("agent.yaml", []byte(text))
			if c.field == "" {
				assert.NilError(t, err)
				return
			}
			var invalid *settings.InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			found := false
			for _, f := range invalid.Findings {
				found = found || strings.HasPrefix(f.Field, c.field)
			}
			assert.Assert(t, found, "%v", err)
		})
	}
}
