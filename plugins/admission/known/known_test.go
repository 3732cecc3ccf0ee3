package known

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

func TestAdmit(t *testing.T) {
	content := &config.Content{
		Models:     []config.Model{plugintest.Model, {Name: "endless"}},
		Services:   []config.Service{{Name: plugintest.Service}},
		Workspaces: []config.Workspace{{Name: "north"}, {Name: "south", Models: []string{"endless"}}},
	}
	tests := []struct {
		name   string
		change func(r *kernel.Request)
		want   kernel.Reason
	}{
		{"known", func(*kernel.Request) {}, ""},
		{"unknown workspace", func(r *kernel.Request) { r.Workspace = "west" }, kernel.ReasonUnknownWorkspace},
		{"unknown model", func(r *kernel.Request) { r.Model = "other" }, kernel.ReasonUnknownModel},
		{"model not for the workspace", func(r *kernel.Request) { r.Workspace = "south" }, kernel.ReasonUnknownModel},
		{"model for the workspace", func(r *kernel.Request) {
			r.Workspace, r.Model = "south", "endless"
		}, ""},
		{"longest context", func(r *kernel.Request) { r.PromptTokens = 31_600 }, ""},
		{"context too long", func(r *kernel.Request) { r.PromptTokens = 31_601 }, kernel.ReasonContextTooLong},
		{"no bound on the context", func(r *kernel.Request) {
			r.Model, r.PromptTokens = "endless", 1_000_000
		}, ""},
		{"service", func(r *kernel.Request) {
			r.Route, r.Service, r.Model = config.RouteService, plugintest.Service, ""
		}, ""},
		{"unknown service", func(r *kernel.Request) {
			r.Route, r.Service = config.RouteService, "other"
		}, kernel.ReasonUnknownService},
	}
	c := &Check{}
	c.Configure(content)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := plugintest.Request("r")
			tt.change(r)
			refusal := c.Admit(r)
			if tt.want == "" {
				assert.Assert(t, refusal == nil)
				return
			}
			assert.Equal(t, refusal.Reason, tt.want)
			// No Retry-After, since a repeated request would be refused again.
			assert.Equal(t, refusal.RetryAfter.Nanoseconds(), int64(0))
			assert.Assert(t, refusal.Detail != "")
		})
	}
}
