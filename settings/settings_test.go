package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testSettings is a settings type that uses every feature of the loader.
type testSettings struct {
	Name  string             `yaml:"name"`
	Wait  time.Duration      `yaml:"wait"`
	Inner inner              `yaml:"inner"`
	List  []inner            `yaml:"list"`
	Parts map[string]Section `yaml:"parts"`
}

type inner struct {
	Count int `yaml:"count"`
}

func (s *testSettings) SetDefaults() { s.Wait = time.Second }

func (s *testSettings) CheckSettings(r *Report) {
	if s.Name == "" {
		r.Add("name", "is missing", "give a name")
	}
	for i, l := range s.List {
		if l.Count < 0 {
			r.Add("list["+string(rune('0'+i))+"].count", "is negative", "give a count")
		}
	}
	var part inner
	if err := s.Parts["p"].Decode(&part); err != nil {
		r.AddError("parts.p", err)
	}
}

// TestGood checks that valid settings are decoded and defaults applied.
func TestGood(t *testing.T) {
	s, err := Parse[testSettings]("f.yaml", []byte("name: n\ninner: {count: 3}\nparts:\n  p: {count: 4}\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.Wait, time.Second)
	assert.Equal(t, s.Inner.Count, 3)
	var part inner
	assert.NilError(t, s.Parts["p"].Decode(&part))
	assert.Equal(t, part.Count, 4)
	assert.NilError(t, s.Parts["none"].Decode(&part))
}

// TestFindings checks the position, field and text of the findings for each kind of
// error.
func TestFindings(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", "f.yaml:1:1: the file is empty; see docs/settings.md"},
		{"broken", "name: [\n", `f.yaml:1:7: sequence end token ']' not found; see docs/settings.md`},
		{"unknown field", "name: n\ninner:\n  cuont: 3\n", `f.yaml:3:3: inner.cuont: unknown field "cuont"; see docs/settings.md`},
		{"wrong type", "name: n\ninner:\n  count: many\n", `f.yaml:3:10: inner.count: "many" is not a whole number; see docs/settings.md`},
		{"given twice", "name: n\nname: m\n", `f.yaml:2:1: mapping key "name" already defined at [1:1]; see docs/settings.md`},
		{"bad duration", "name: n\nwait: soon\n", `f.yaml:2:1: wait: "soon" is not a time; give a number and a unit, for example 500ms, 2s or 5m`},
		{"duration without unit", "name: n\nwait: 5\n", `f.yaml:2:1: wait: "5" is not a time; give a number and a unit, for example 500ms, 2s or 5m`},
		{"two checks", "list:\n  - count: 1\n  - count: -1\n", "f.yaml:1:1: name: is missing; give a name\nf.yaml:3:5: list[1].count: is negative; give a count"},
		{"anchor", "name: &a n\nwait: 2s\n", `f.yaml:1:7: "&": settings use no tags, anchors and aliases; see docs/settings.md`},
		{"part", "name: n\nparts:\n  p:\n    cuont: 1\n", `f.yaml:4:5: parts.p.cuont: unknown field "cuont"; see docs/settings.md`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse[testSettings]("f.yaml", []byte(c.text))
			var invalid *InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			assert.Equal(t, err.Error(), c.want)
		})
	}
}

// TestLoad loads a file, and checks the errors for missing and too large ones.
func TestLoad(t *testing.T) {
	_, err := Load[testSettings](filepath.Join(t.TempDir(), "none.yaml"))
	var unread *ReadError
	assert.Assert(t, errors.As(err, &unread))
	assert.ErrorIs(t, err, os.ErrNotExist)

	file := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("name: n\n"), 0o600))
	s, err := Load[testSettings](file)
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "n")

	assert.NilError(t, os.WriteFile(file, make([]byte, maxFileBytes+1), 0o600))
	_, err = Load[testSettings](file)
	var large *TooLargeError
	assert.Assert(t, errors.As(err, &large))
}

// FuzzParse checks that Parse neither panics nor returns an error other than
// *InvalidError, whatever the file contains.
func FuzzParse(f *testing.F) {
	f.Add([]byte("name: n\nwait: 2s\nlist: [{count: 1}]\nparts: {p: {count: 2}}\n"))
	f.Add([]byte("&a [*a, *a]"))
	f.Add([]byte("wall: red\nrooms: [{floor: blue}]\nby_name: {a: blue}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 1<<10 {
			return
		}
		_, err := Parse[testSettings]("f.yaml", data)
		var invalid *InvalidError
		if err != nil && !errors.As(err, &invalid) {
			t.Fatalf("%T", err)
		}
		_, err = Parse[colourSettings]("f.yaml", data)
		if err != nil && !errors.As(err, &invalid) {
			t.Fatalf("%T", err)
		}
	})
}
