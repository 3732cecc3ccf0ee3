package settings

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// colour implements encoding.TextUnmarshaler.
type colour string

// colourError reports a text that is not a colour.
type colourError struct{ text string }

func (e *colourError) Error() string { return fmt.Sprintf("%q is not a colour", e.text) }

func (c *colour) UnmarshalText(text []byte) error {
	if string(text) != "red" {
		return &colourError{string(text)}
	}
	*c = colour(text)
	return nil
}

// colourSettings uses colour in every position that settings support.
type colourSettings struct {
	Wall   colour             `yaml:"wall"`
	Door   *colour            `yaml:"door"`
	Rooms  []room             `yaml:"rooms"`
	Roofs  []colour           `yaml:"roofs"`
	ByName map[string]colour  `yaml:"by_name"`
	Parts  map[string]Section `yaml:"parts"`
}

type room struct {
	Floor colour `yaml:"floor"`
}

func (p *colourSettings) CheckSettings(r *Report) {
	var part room
	if err := p.Parts["p"].Decode(&part); err != nil {
		r.AddError("parts.p", err)
	}
}

// TestTextFault checks that a value that UnmarshalText rejects is reported with its
// position and field.
func TestTextFault(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"field", "wall: red\ndoor: blue\n", `f.yaml:2:1: door: "blue" is not a colour`},
		{"quoted", "wall: \"blue\"\n", `f.yaml:1:1: wall: "blue" is not a colour`},
		{"in a list", "wall: red\nrooms:\n  - floor: red\n  - floor: blue\n", `f.yaml:4:5: rooms[1].floor: "blue" is not a colour`},
		{"item", "roofs: [red, blue]\n", `f.yaml:1:14: roofs[1]: "blue" is not a colour`},
		{"in a map", "by_name:\n  a: red\n  b: blue\n", `f.yaml:3:3: by_name.b: "blue" is not a colour`},
		{"part", "wall: red\nparts:\n  p:\n    floor: blue\n", `f.yaml:4:5: parts.p.floor: "blue" is not a colour`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse[colourSettings]("f.yaml", []byte(c.text))
			var invalid *InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			assert.Equal(t, err.Error(), c.want+"; see docs/settings.md")
		})
	}
}
