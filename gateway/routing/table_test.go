package routing

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/target"
)

// sampleTable returns a table with routes of two hosts, one of which is written in different cases.
func sampleTable() *Table {
	return NewTable(&Config{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/x/"},
			{Name: "deep", Host: "A.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/x/"},
		},
		Services: map[string]Service{"s": {Name: "s"}},
	})
}

func TestFindTakesTheLongestPrefixOfTheHost(t *testing.T) {
	table := sampleTable()
	for path, want := range map[string]string{"/x/1": "all", "/x/y/1": "deep", "/x/y": "all", "/x/": "all", "/x/y%2F1": "all", "/x/%79/1": "all", "/x/./y/": "all", "/x//y/": "all", "/x/y/../1": "deep", "/x/?/y/": "all"} {
		assert.Equal(t, table.Find("a.example:80", target.Target(path)).Name, want, path)
	}
	assert.Equal(t, table.Find("B.EXAMPLE", "/x/y/1").Name, "other")
	assert.Assert(t, table.Find("a.example", "/x") == nil)
	assert.Assert(t, table.Find("c.example", "/x/1") == nil)
	assert.Assert(t, table.Find("a.example", "/x%2Fy/1") == nil)
	assert.Assert(t, table.Find("a.example", "//x/y/1") == nil)
}

// TestHostOfARequest guards against a port or the brackets of an IPv6 address that hide a route. A final
// dot belongs to the host.
func TestHostOfARequest(t *testing.T) {
	table := NewTable(&Config{Routes: []Route{{Name: "name", Host: "A.example", Prefix: "/"}, {Name: "v6", Host: "[FE80::1]", Prefix: "/"}}})
	for host, want := range map[string]string{
		"a.example": "name", "A.EXAMPLE:80": "name", "a.example:": "name", "[fe80::1]": "v6", "[FE80::1]:80": "v6",
		"a.example.": "", "a.example.:80": "", "b.example": "", "": "", "[fe80::2]": "", "fe80::1:80": "",
	} {
		got := ""
		if r := table.Find(host, "/x"); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, want, host)
	}
}

func TestChooseFollowsTheWeights(t *testing.T) {
	r := Route{Services: []WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c"}}}
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range 10000 {
		counts[r.Choose(random.IntN)]++
	}
	assert.Equal(t, counts["c"], 0)
	assert.Assert(t, counts["b"] > 800 && counts["b"] < 1200, "%d", counts["b"])
	assert.Equal(t, (&Route{}).Choose(random.IntN), "")
}

func TestOnlyIdempotentAndResumableMayRunAgain(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Idempotent}, true},
		{Route{Kind: AtMostOnce, Resumable: true}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	} {
		assert.Equal(t, c.route.Repeatable(), c.want, "%+v", c.route)
	}
}

// TestMostUrgent guards against an order among requests of a service that all have one priority, and
// against a workspace's own priority that is not considered.
func TestMostUrgent(t *testing.T) {
	urgent := 0
	c := &Config{Routes: []Route{
		{Name: "a", Priority: 2, Services: []WeightedService{{Service: "x", Weight: 1}}},
		{Name: "b", Priority: 1, Services: []WeightedService{{Service: "x", Weight: 1}, {Service: "y", Weight: 1}}},
		{Name: "c", Priority: 3, Services: []WeightedService{{Service: "y", Weight: 1}}},
	}}
	mostUrgent := func(service string) int {
		p, ok := NewTable(c).MostUrgent(service)
		assert.Equal(t, ok, service != "unknown")
		return p
	}
	assert.Equal(t, mostUrgent("x"), 1)
	assert.Equal(t, mostUrgent("y"), 1)
	mostUrgent("unknown")
	c.Workspaces = []Workspace{{Name: "w", Priority: &urgent}}
	assert.Equal(t, mostUrgent("x"), 0)
}
