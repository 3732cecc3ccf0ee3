package bundle

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

func TestRegions(t *testing.T) {
	north := config.Region{Name: "north", Zones: []ident.Zone{"a", "b"}}
	for name, c := range map[string]struct {
		regions []config.Region
		want    []string
	}{
		"none":                 {},
		"one":                  {regions: []config.Region{north}},
		"zone in two regions":  {[]config.Region{north, {Name: "south", Zones: []ident.Zone{"b"}}}, []string{"policy.regions[1].zones[0] duplicate"}},
		"region twice":         {[]config.Region{north, {Name: "north", Zones: []ident.Zone{"c"}}}, []string{"policy.regions[1].name duplicate"}},
		"no zones":             {[]config.Region{{Name: "north"}}, []string{"policy.regions[0].zones missing"}},
		"zone that is no name": {[]config.Region{{Name: "north", Zones: []ident.Zone{"A!"}}}, []string{"policy.regions[0].zones[0] name"}},
	} {
		t.Run(name, func(t *testing.T) {
			k := &checker{content: &config.Content{Policy: config.Policy{Regions: c.regions}}}
			k.checkRegions()
			var got []string
			for _, f := range k.findings {
				got = append(got, f.Path+" "+string(f.Rule))
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}
