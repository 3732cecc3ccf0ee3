package main

import (
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/samber/oops"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/ident"
)

// keyFile is the content of an approver's key file. Private is empty in files that
// hold only the public key.
type keyFile struct {
	Name    string `yaml:"name"`
	Public  string `yaml:"public"`
	Private string `yaml:"private,omitempty"`
}

// keyError reports a key file that cannot be used.
type keyError struct {
	File   string
	Reason string
}

// Error implements error.
func (e *keyError) Error() string { return fmt.Sprintf("key %s: %s", e.File, e.Reason) }

// decodeStrictYAML decodes YAML and rejects unknown and duplicate keys.
func decodeStrictYAML(b []byte, v any) error {
	return yaml.NewDecoder(bytes.NewReader(b), yaml.DisallowUnknownField()).Decode(v)
}

// readKey reads a key file and checks its name and public key.
func readKey(s streams, name string) (keyFile, bundle.PublicKey, error) {
	var k keyFile
	var public bundle.PublicKey
	b, err := readInput(s, name)
	if err != nil {
		return k, public, err
	}
	if err := decodeStrictYAML(b, &k); err != nil {
		return k, public, &keyError{File: name, Reason: err.Error()}
	}
	if !ident.ValidName(k.Name) {
		return k, public, &keyError{File: name, Reason: "the name is not valid"}
	}
	if err := public.UnmarshalText([]byte(k.Public)); err != nil {
		return k, public, &keyError{File: name, Reason: err.Error()}
	}
	return k, public, nil
}

// readPrivateKey reads a key file with a private key and checks that the public key
// belongs to it.
func readPrivateKey(s streams, name string) (keyFile, ed25519.PrivateKey, error) {
	k, public, err := readKey(s, name)
	if err != nil {
		return k, nil, err
	}
	seed, err := hex.DecodeString(k.Private)
	if err != nil || len(seed) != ed25519.SeedSize {
		return k, nil, &keyError{File: name, Reason: "it has no private half"}
	}
	private := ed25519.NewKeyFromSeed(seed)
	if !bytes.Equal(private.Public().(ed25519.PublicKey), public[:]) {
		return k, nil, &keyError{File: name, Reason: "the public half belongs to another key"}
	}
	return k, private, nil
}

// keyNewCmd is "key new".
type keyNewCmd struct {
	Name string `arg:"" help:"The approver's name, of lower-case letters, digits and inner hyphens."`
}

// Help returns the text that "key new --help" adds.
func (keyNewCmd) Help() string {
	return `Writes a new key to the standard output. Keep the file to yourself; give others
what "key public" prints of it.

  (umask 077; wardspoolctl key new ada > ada.key)`
}

// Run generates a key and prints it.
func (c *keyNewCmd) Run(s streams) error {
	if !ident.ValidName(c.Name) {
		return refusef("%q is not a valid name: use lower-case letters, digits and inner hyphens", c.Name)
	}
	seed := make([]byte, ed25519.SeedSize)
	// Read never returns an error: crypto/rand terminates the process instead.
	_, _ = rand.Read(seed)
	public := ed25519.NewKeyFromSeed(seed).Public().(ed25519.PublicKey)
	return writeYAML(s, keyFile{Name: c.Name, Public: hex.EncodeToString(public), Private: hex.EncodeToString(seed)})
}

// keyPublicCmd is "key public".
type keyPublicCmd struct {
	File string `arg:"" help:"Key file; - for the standard input."`
}

// Help returns the text that "key public --help" adds.
func (keyPublicCmd) Help() string {
	return `Prints the half of a key that others may have:

  wardspoolctl key public ada.key > ada.pub`
}

// Run prints the public key.
func (c *keyPublicCmd) Run(s streams) error {
	k, _, err := readKey(s, c.File)
	if err != nil {
		return err
	}
	k.Private = ""
	return writeYAML(s, k)
}

// writeYAML prints v as YAML.
func writeYAML(s streams, v any) error {
	b, err := yaml.Marshal(v)
	if err != nil {
		return oops.Wrapf(err, "encode YAML")
	}
	return writeOutput(s, standardStream, b)
}

// keyApproversCmd is "key approvers".
type keyApproversCmd struct {
	Quorum int      `help:"How many must sign; more than half."`
	Of     string   `help:"Print the approvers that a bundle's draft, packed folder or head names instead."`
	Keys   []string `arg:"" optional:"" help:"Key files, with or without their private halves."`
}

// Help returns the text that "key approvers --help" adds.
func (keyApproversCmd) Help() string {
	return `Prints a set of approvers, as "bundle new" and the settings of instances take it:

  wardspoolctl key approvers --quorum 2 ada.pub ben.pub cyd.pub > approvers.yaml
  wardspoolctl key approvers --of draft > approvers.yaml

The epoch counts the sets of a deployment; "bundle new" sets it. After a version
that replaces the approvers is rolled to all, put what --of prints for it into
the instances' settings. The quorum must be more than half, so that no two
groups can each sign a bundle of one version.`
}

// Run prints a set of approvers.
func (c *keyApproversCmd) Run(s streams) error {
	set := bundle.Approvers{Epoch: 1, Quorum: c.Quorum}
	if c.Of != "" {
		h, err := readHead(s, c.Of)
		if err != nil {
			return err
		}
		return writeYAML(s, h.Manifest.Approvers)
	}
	for _, name := range c.Keys {
		k, public, err := readKey(s, name)
		if err != nil {
			return err
		}
		set.Keys = append(set.Keys, bundle.Approver{Name: k.Name, Key: public})
	}
	set = set.Sorted()
	if err := set.Check(); err != nil {
		return err
	}
	return writeYAML(s, set)
}

// readApprovers reads and checks a set of approvers.
func readApprovers(s streams, name string) (bundle.Approvers, error) {
	var set bundle.Approvers
	b, err := readInput(s, name)
	if err != nil {
		return set, err
	}
	if err := decodeStrictYAML(b, &set); err != nil {
		return set, oops.Wrapf(err, "approvers %s", name)
	}
	set = set.Sorted()
	return set, set.Check()
}
