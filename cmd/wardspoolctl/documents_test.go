package main

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/wardspool/wardspool/bundle"
)

// session runs commands in a temporary directory and records their output.
type session struct {
	t    *testing.T
	text strings.Builder
}

// newSession changes to a temporary directory with an example's bundle source, a
// faulty source and the keys of six approvers.
func newSession(t *testing.T) *session {
	source, err := os.ReadFile("../../examples/coastline/bundle.yaml")
	assert.NilError(t, err)
	faulty, err := os.ReadFile("../../bundle/testdata/faulty.yaml")
	assert.NilError(t, err)
	t.Chdir(t.TempDir())
	write(t, "bundle.yaml", string(source))
	write(t, "faulty.yaml", string(faulty))
	for _, name := range []string{"ada", "ben", "cyd", "dan", "eve", "mal"} {
		seed := bundle.DigestOf([]byte("test key " + name))
		public := ed25519.NewKeyFromSeed(seed[:]).Public().(ed25519.PublicKey)
		write(t, name+".key", fmt.Sprintf("name: %s\npublic: %s\nprivate: %s\n", name, hex.EncodeToString(public), seed))
	}
	return &session{t: t}
}

func write(t *testing.T, name, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(name, []byte(text), secretMode))
}

// edit replaces the first occurrence of a text in a file.
func (s *session) edit(name, old, new string) {
	s.t.Helper()
	b, err := os.ReadFile(name)
	assert.NilError(s.t, err)
	assert.Assert(s.t, bytes.Contains(b, []byte(old)))
	write(s.t, name, strings.Replace(string(b), old, new, 1))
	fmt.Fprintf(&s.text, "# %s: %q becomes %q\n", name, old, new)
}

// run runs one command and records it with its output and exit code. A trailing
// " > file" redirects standard output to a file.
func (s *session) run(line string) {
	s.t.Helper()
	command, file, redirected := strings.Cut(line, " > ")
	var out, errs bytes.Buffer
	code := run(context.Background(), strings.Fields(command), streams{In: strings.NewReader(""), Out: &out, Err: &errs})
	fmt.Fprintf(&s.text, "$ wardspoolctl %s\n", line)
	if redirected {
		write(s.t, file, out.String())
	} else {
		s.text.Write(out.Bytes())
	}
	s.text.Write(errs.Bytes())
	if code != 0 {
		fmt.Fprintf(&s.text, "[exit %d]\n", code)
	}
}

// TestCommandSessions compares the output of command sequences, as operators type
// them, with the golden files in testdata.
func TestCommandSessions(t *testing.T) {
	sessions := []struct {
		name string
		run  func(*session)
	}{
		{"first-bundle", firstBundleSession},
		{"canary", canarySession},
		{"rotation", rotationSession},
		{"two-versions", twoVersionsSession},
		{"lint", lintSession},
		{"refused", refusedSession},
		{"usage", usageSession},
		{"help", helpSession},
	}
	for _, tc := range sessions {
		t.Run(tc.name, func(t *testing.T) {
			file, err := filepath.Abs(golden.Path(tc.name + ".golden"))
			assert.NilError(t, err)
			s := newSession(t)
			tc.run(s)
			golden.Assert(t, s.text.String(), file)
		})
	}
}

// createApprovers writes a set of three approvers with a quorum of two.
func (s *session) createApprovers() {
	s.run("key approvers --quorum 2 cyd.key ada.key ben.key > approvers.yaml")
}

// packSignedBundle builds a draft, signs it with the given keys and packs it.
func (s *session) packSignedBundle(build, draft string, signers ...string) {
	s.t.Helper()
	s.run("bundle new " + build + " bundle.yaml " + draft)
	for _, name := range signers {
		s.run("bundle sign --key " + name + ".key " + draft)
	}
	s.run("bundle pack --approvers approvers.yaml " + draft + " publish")
}

// packSignedRoll creates a roll, signs it with the given keys and packs it.
func (s *session) packSignedRoll(file, arguments string, signers ...string) {
	s.t.Helper()
	s.run("roll new " + arguments + " -o " + file)
	for _, name := range signers {
		s.run("roll sign --key " + name + ".key " + file)
	}
	s.run("roll pack --approvers approvers.yaml " + file + " publish")
}

// firstBundleSession goes from keys to the first bundle and roll. The values to
// publish must be smaller than the platform's limit.
func firstBundleSession(s *session) {
	s.run("key public ada.key")
	s.createApprovers()
	s.run("key approvers --quorum 2 ada.key ben.key cyd.key")
	s.run("bundle lint bundle.yaml")
	s.packSignedBundle("--approvers approvers.yaml --note first", "draft-1", "ada", "ben")
	s.run("bundle verify --approvers approvers.yaml draft-1")
	s.run("bundle verify --approvers approvers.yaml publish")
	s.packSignedRoll("roll-1.json", "--target draft-1 --stage all", "ada", "cyd")
	s.run("roll verify --approvers approvers.yaml publish/roll/current")
	for _, key := range []string{"bundle/head", "roll/current"} {
		info, err := os.Stat("publish/" + key)
		assert.NilError(s.t, err)
		assert.Assert(s.t, info.Size() < bundle.MaxValueBytes)
	}
}

// canarySession rolls a version to a canary in steps, abandons it, and rolls a
// version with the old content.
func canarySession(s *session) {
	s.createApprovers()
	s.packSignedBundle("--approvers approvers.yaml", "draft-1", "ada", "ben")
	s.packSignedRoll("roll-1.json", "--target draft-1 --stage all", "ada", "ben")
	s.edit("bundle.yaml", "queue_limit: 512", "queue_limit: 256")
	s.edit("bundle.yaml", "  - name: head-office\n    weight: 2\n", "")
	s.run("bundle diff publish bundle.yaml")
	s.packSignedBundle("--previous draft-1", "draft-2", "ben", "cyd")
	s.run("bundle verify --approvers approvers.yaml --previous draft-1 draft-2")
	s.packSignedRoll("roll-2.json", "--previous roll-1.json --target draft-2 --stage canary --zones hall-b,hall-a --share 100", "ben", "cyd")
	s.packSignedRoll("roll-3.json", "--previous roll-2.json --stage canary --zones hall-a", "ben", "cyd")
	s.run("roll verify --approvers approvers.yaml --previous roll-2.json roll-3.json")
	s.packSignedRoll("roll-4.json", "--previous roll-3.json --stage abandoned", "ben", "cyd")
	s.run("roll new --previous roll-4.json --stage all")
	s.edit("bundle.yaml", "queue_limit: 256", "queue_limit: 512")
	s.packSignedBundle("--previous draft-2", "draft-3", "ada", "cyd")
	s.packSignedRoll("roll-5.json", "--previous roll-4.json --target draft-3 --stage all", "ada", "cyd")
	s.run("roll pack --approvers approvers.yaml roll-3.json publish")
}

// rotationSession replaces the approvers, which needs a quorum of both sets.
func rotationSession(s *session) {
	s.createApprovers()
	s.packSignedBundle("--approvers approvers.yaml", "draft-1", "ada", "ben")
	s.run("key approvers --quorum 2 dan.key eve.key > next.yaml")
	s.run("bundle new --previous draft-1 --approvers next.yaml bundle.yaml draft-2")
	s.run("bundle sign --key ada.key draft-2")
	s.run("bundle sign --key ben.key draft-2")
	s.run("bundle verify --approvers approvers.yaml draft-2")
	s.run("bundle sign --key dan.key draft-2")
	s.run("bundle sign --key eve.key draft-2")
	s.run("bundle pack --approvers approvers.yaml draft-2 publish")
	s.packSignedRoll("roll-1.json", "--target draft-2 --stage all", "dan", "eve")
	s.run("key approvers --of draft-2")
	s.run("bundle new --previous draft-2 bundle.yaml draft-3")
	s.run("bundle sign --key dan.key draft-3")
	s.run("bundle sign --key eve.key draft-3")
	s.run("bundle verify --approvers approvers.yaml draft-3")
	s.run("key approvers --of draft-2 > next.yaml")
	s.run("bundle verify --approvers next.yaml draft-3")
	s.run("bundle verify --approvers next.yaml draft-1")
}

// twoVersionsSession resolves two different bundles of one version, as the
// split-version alarm tells operators to: the next version supersedes both.
func twoVersionsSession(s *session) {
	s.createApprovers()
	s.packSignedBundle("--approvers approvers.yaml", "draft-1", "ada", "ben")
	s.run("bundle new --previous draft-1 bundle.yaml draft-2")
	s.run("bundle sign --key ada.key draft-2")
	s.run("bundle new --previous draft-2 bundle.yaml draft-3")
	s.run("bundle sign --key ben.key draft-2")
	s.edit("bundle.yaml", "queue_limit: 512", "queue_limit: 256")
	s.run("bundle new --previous draft-1 bundle.yaml draft-2b")
	s.run("bundle sign --key ada.key draft-2b")
	s.run("bundle new --previous draft-2 bundle.yaml draft-3")
	s.run("bundle sign --key ben.key --record other.record draft-3")
	s.run("bundle sign --key cyd.key --record other.record draft-3")
	s.run("bundle verify --approvers approvers.yaml --previous draft-2b draft-3")
	other, err := readHead(streams{}, "draft-2b")
	assert.NilError(s.t, err)
	s.run("bundle new --previous draft-2 --supersedes " + other.Manifest.Digest().String() + " bundle.yaml draft-3b")
	s.run("bundle sign --key ben.key draft-3b")
	s.run("bundle sign --key cyd.key draft-3b")
	s.run("bundle verify --approvers approvers.yaml --previous draft-2b draft-3b")
}

// lintSession checks a faulty source and one that does not exist.
func lintSession(s *session) {
	s.run("bundle lint faulty.yaml bundle.yaml")
	s.run("bundle lint nowhere.yaml")
}

// refusedSession runs commands that must be refused, such as signing with an
// unknown key or packing without a quorum.
func refusedSession(s *session) {
	s.run("key new Ada")
	s.run("key approvers --quorum 1 ada.key ben.key cyd.key")
	s.run("key public ada.key > ada.pub")
	s.createApprovers()
	s.run("bundle new bundle.yaml draft-0")
	s.run("bundle new --approvers approvers.yaml bundle.yaml draft-1")
	s.run("bundle new --approvers approvers.yaml bundle.yaml draft-1")
	s.run("bundle sign --key ada.pub draft-1")
	s.run("bundle sign --key ada.key draft-1")
	s.run("bundle sign --key mal.key draft-1")
	s.run("bundle pack --approvers approvers.yaml draft-1 publish")
	s.run("roll new --target draft-1 --stage all")
	s.run("bundle sign --key ben.key draft-1")
	s.run("roll new --target draft-1 --stage all -o roll-1.json")
	s.run("roll sign --key ada.key roll-1.json")
	s.run("roll pack --approvers approvers.yaml roll-1.json publish")
	s.run("roll sign --key ben.key roll-1.json")
	s.run("roll pack --approvers approvers.yaml roll-1.json publish")
	s.run("roll new --target draft-1 --stage all --zones hall-a")
	s.run("roll new --target draft-1 --stage canary --share 2000")
	s.run("roll new --stage all")
	head, err := os.ReadFile("draft-1/head.json")
	assert.NilError(s.t, err)
	write(s.t, "draft-1/head.json", string(head[:len(head)/2]))
	s.run("bundle verify --approvers approvers.yaml draft-1")
}

// usageSession runs invalid command lines.
func usageSession(s *session) {
	s.run("")
	s.run("bundle")
	s.run("bundle lint")
	s.run("bundle new bundle.yaml")
	s.run("roll new --stage some")
	s.run("roll now")
}

// helpSession prints the help texts.
func helpSession(s *session) {
	for _, command := range []string{
		"", "key", "key new", "key public", "key approvers", "bundle", "bundle lint", "bundle diff", "bundle new",
		"bundle sign", "bundle verify", "bundle pack", "roll", "roll new", "roll sign", "roll verify", "roll pack",
	} {
		s.run(strings.TrimSpace(command + " --help"))
	}
}

// TestKeyNewMakesAKeyThatSigns checks that a new key file is readable, that its
// halves match, and that two keys of one name differ.
func TestKeyNewMakesAKeyThatSigns(t *testing.T) {
	s := newSession(t)
	s.run("key new zoe > zoe.key")
	s.run("key new zoe > other.key")
	k, private, err := readPrivateKey(streams{}, "zoe.key")
	assert.NilError(t, err)
	assert.Equal(t, k.Name, "zoe")
	other, _, err := readKey(streams{}, "other.key")
	assert.NilError(t, err)
	assert.Assert(t, other.Public != k.Public)
	assert.Equal(t, hex.EncodeToString(private.Public().(ed25519.PublicKey)), k.Public)
}
