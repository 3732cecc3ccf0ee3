package bundle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
)

func TestDiff(t *testing.T) {
	tests := []struct {
		name   string
		change func(*config.Content)
		want   []string
	}{
		{"nothing", func(*config.Content) {}, nil},
		{"one value", func(c *config.Content) { c.Workspaces[1].Weight = 3 },
			[]string{"~ workspaces[head-office].weight: 2 -> 3"}},
		{"a duration", func(c *config.Content) { c.Policy.ViewStale = 500 * time.Millisecond },
			[]string{"~ policy.view_stale: 2s -> 500ms"}},
		{"a list of names", func(c *config.Content) { c.Policy.Filters = c.Policy.Filters[:2] },
			[]string{"~ policy.filters: filter.role, filter.model, filter.leaving, filter.stale, filter.ejected -> filter.role, filter.model"}},
		{"an entry less", func(c *config.Content) { c.Workspaces = append(c.Workspaces[:1], c.Workspaces[2:]...) },
			[]string{"- workspaces[head-office].name: head-office", "- workspaces[head-office].weight: 2"}},
		{"an entry more", func(c *config.Content) {
			c.Workspaces = append(c.Workspaces, config.Workspace{Name: "new", Weight: 1})
		}, []string{"+ workspaces[new].name: new", "+ workspaces[new].weight: 1"}},
		{"entries in another order", func(c *config.Content) {
			c.Workspaces[0], c.Workspaces[1] = c.Workspaces[1], c.Workspaces[0]
		}, nil},
		{"another default kind", func(c *config.Content) { c.Kinds[0], c.Kinds[1] = c.Kinds[1], c.Kinds[0] },
			[]string{"~ order of kinds: review, place, amend, confirm -> place, review, amend, confirm"}},
		{"a value removed", func(c *config.Content) { c.Upstreams[0].ChecksFencing = false },
			[]string{"- upstreams[hall-a-prefill-1].checks_fencing: true"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			before, after := readExample(t, "coastline"), readExample(t, "coastline")
			tc.change(after)
			var got []string
			for _, c := range Diff(before, after) {
				got = append(got, c.String())
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}
