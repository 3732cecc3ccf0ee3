package tsf

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

// TestShare checks which resource determines the share, for engines with a total
// of 40 slots, 240 pieces of KV memory and 20,000 prompt tokens per second.
func TestShare(t *testing.T) {
	host := plugintest.NewHost(&kernel.View{})
	var content config.Content
	for i := range 3 {
		u := plugintest.Decode(i)
		if i == 0 {
			u = plugintest.Prefill(i)
		}
		content.Upstreams = append(content.Upstreams, u.Spec)
	}
	tests := []struct {
		name           string
		prompt, output int
		// held is the time for which an earlier request held its slot; 0 means
		// that there was none.
		held time.Duration
		want float64
	}{
		{"slots", 2000, 400, 0, 1.0 / 40},
		{"memory", 26_000, 400, 0, 14.0 / 240},
		{"prompt rate", 10_000, 100, time.Second, 0.5},
		{"prompt rate, held long", 10_000, 100, 100 * time.Second, 6.0 / 240},
		{"all of the prompt rate", 30_000, 100, time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := &Order{}
			o.Attach(host)
			o.Configure(&content)
			r := plugintest.Request("r")
			r.PromptTokens, r.MaxOutputTokens = tt.prompt, tt.output
			if tt.held > 0 {
				o.Observe(r, kernel.Record{Step: kernel.StepPlaced})
				host.Time = host.Time.Add(tt.held)
				o.Observe(r, kernel.Record{Step: kernel.StepCompleted})
			}
			assert.Equal(t, o.share(r), tt.want)
		})
	}
}

// TestWithoutBundle checks that the share is 0, and nothing is divided by 0, before
// the first bundle is in force.
func TestWithoutBundle(t *testing.T) {
	o := &Order{}
	o.Attach(plugintest.NewHost(&kernel.View{}))
	r := plugintest.Request("r")
	r.Model = "unknown"
	assert.Equal(t, o.share(r), 0.0)
}
