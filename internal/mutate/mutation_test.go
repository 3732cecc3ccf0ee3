package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// root is the path of the module root.
const root = "../.."

// TestListIsFresh guards against mutations that no longer apply after the code has
// changed. It checks that the text to replace occurs exactly once in its file, that the
// replacement differs, and that names are unique.
func TestListIsFresh(t *testing.T) {
	list, err := loadMutations("mutations.yaml")
	assert.NilError(t, err)
	names := map[string]bool{}
	for _, m := range list {
		assert.Check(t, !names[m.Name], "duplicate mutation name %q", m.Name)
		names[m.Name] = true
		source, err := os.ReadFile(filepath.Join(root, m.File))
		assert.NilError(t, err)
		n := strings.Count(string(source), m.Find)
		assert.Check(t, n == 1, "%v", &StaleError{Mutation: m.Name, File: m.File, Count: n})
		assert.Check(t, m.Find != m.Replace, m.Name)
		assert.Check(t, m.Run != "" && m.Promise != "", m.Name)
		_, err = os.Stat(filepath.Join(root, m.Package))
		assert.Check(t, err, m.Name)
	}
}

// TestListIsTheOnlyOne checks that no other package has a list of mutations, which
// would never be run.
func TestListIsTheOnlyOne(t *testing.T) {
	var found []string
	err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if filepath.Base(path) == "mutations.yaml" {
			found = append(found, filepath.ToSlash(path))
		}
		return err
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, found, []string{root + "/internal/mutate/mutations.yaml"})
}

// TestPartsAddUp checks that the parts of a list together have its length.
func TestPartsAddUp(t *testing.T) {
	list := []Mutation{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "e"}}
	total := 0
	for n := range 3 {
		total += len(part(list, n+1, 3))
	}
	assert.Equal(t, total, len(list))
	assert.DeepEqual(t, part(list, 1, 1), list)
}
