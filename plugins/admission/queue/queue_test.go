package queue

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

func TestAdmit(t *testing.T) {
	tests := []struct {
		name           string
		limit, waiting int
		admitted       bool
	}{
		{"empty", 10, 0, true},
		{"last place", 10, 9, true},
		{"full", 10, 10, false},
		{"fuller after a bundle lowered the limit", 10, 200, false},
		{"default limit", 0, defaultLimit - 1, true},
		{"default limit reached", 0, defaultLimit, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			host := plugintest.NewHost(&kernel.View{})
			host.Queue = tt.waiting
			c := &Check{}
			c.Attach(host)
			c.Configure(&config.Content{Policy: config.Policy{QueueLimit: tt.limit}})
			refusal := c.Admit(plugintest.Request("r"))
			assert.Equal(t, refusal == nil, tt.admitted)
			if refusal != nil {
				assert.Equal(t, refusal.Reason, kernel.ReasonQueueFull)
				assert.Assert(t, refusal.RetryAfter >= minRetryAfter)
			}
		})
	}
}
