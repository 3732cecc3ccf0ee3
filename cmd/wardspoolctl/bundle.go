package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/wardspool/wardspool/bundle"
)

// bundleLintCmd is "bundle lint".
type bundleLintCmd struct {
	Sources []string `arg:"" help:"YAML sources; - for the standard input."`
}

// Help returns the text that "bundle lint --help" adds.
func (bundleLintCmd) Help() string {
	return `Checks sources as a whole and prints every fault with its place, its field, what
is wrong and what would be right:

  wardspoolctl bundle lint bundle.yaml

Exit codes: 0 no fault, 1 faults, 2 wrong usage.`
}

// Run checks the sources and prints the findings.
func (c *bundleLintCmd) Run(s streams) error {
	var all bundle.Findings
	for _, name := range c.Sources {
		b, err := readInput(s, name)
		if err != nil {
			return err
		}
		_, findings := bundle.ParseSource(name, b)
		all = append(all, findings...)
	}
	return printFindings(s, all.Err())
}

// bundleDiffCmd is "bundle diff".
type bundleDiffCmd struct {
	Before string `arg:"" help:"Source, draft or packed folder."`
	After  string `arg:"" help:"Source, draft or packed folder."`
}

// Help returns the text that "bundle diff --help" adds.
func (bundleDiffCmd) Help() string {
	return `Shows what changes from one bundle to another, field by field. Entries are
matched by name. An approver compares what is in force with what is to be signed:

  wardspoolctl bundle diff publish draft

Exit codes: 0 both were read, 1 one has faults, 2 wrong usage.`
}

// Run prints the differences between the two bundles.
func (c *bundleDiffCmd) Run(s streams) error {
	before, err := readContent(s, c.Before)
	if err != nil {
		return printFindings(s, err)
	}
	after, err := readContent(s, c.After)
	if err != nil {
		return printFindings(s, err)
	}
	changes := bundle.Diff(before, after)
	for _, change := range changes {
		fmt.Fprintln(s.Out, change)
	}
	if len(changes) == 0 {
		fmt.Fprintln(s.Out, "no difference")
	}
	return nil
}

// bundleNewCmd is "bundle new".
type bundleNewCmd struct {
	Previous   string   `help:"The bundle before: its draft, packed folder or head. None for the first." placeholder:"PATH"`
	Supersedes []string `help:"Digest of a further signed bundle of the version before, from the split-version alarm." placeholder:"DIGEST"`
	Approvers  string   `help:"Approvers that sign the next version; those of the bundle before if not given." placeholder:"FILE"`
	Note       string   `help:"What the version changes, for people."`
	Source     string   `arg:"" help:"YAML source; - for the standard input."`
	Draft      string   `arg:"" help:"Folder to write; it must not exist."`
}

// Help returns the text that "bundle new --help" adds.
func (bundleNewCmd) Help() string {
	return `Builds the next version and writes its draft: head.json, to be signed, and the
parts.

  wardspoolctl bundle new --approvers approvers.yaml bundle.yaml draft-1
  wardspoolctl bundle new --previous draft-1 --note "more of hall-a" bundle.yaml draft-2

Give --approvers in a later version to replace the approvers. A quorum of the old
set and one of the new must then sign it; the new set signs its roll.

Exit codes: 0 built, 1 faults or refused, 2 wrong usage.`
}

// Run builds the next version and writes its draft.
func (c *bundleNewCmd) Run(s streams) error {
	draft, err := c.draft(s)
	if err != nil {
		return printFindings(s, err)
	}
	if _, err := os.Stat(c.Draft); err == nil {
		return refusef("%s exists already", c.Draft)
	}
	h, parts, err := bundle.Build(draft)
	if err != nil {
		return err
	}
	f := bundlePaths{head: c.Draft + "/" + draftHead, parts: c.Draft + "/" + draftParts}
	if err := f.write(s, h, parts); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "version %d, digest %s, %d parts, %d bytes\n", h.Manifest.Version, h.Manifest.Digest(), parts.Len(), parts.Bytes())
	if h.Manifest.Rotates() {
		fmt.Fprintf(s.Out, "replaces the approvers: a quorum of the old set and %d of the new must sign\n", h.Manifest.Approvers.Quorum)
	}
	return nil
}

// draft reads the source, the previous head and the approvers that the bundle is
// built from.
func (c *bundleNewCmd) draft(s streams) (bundle.Draft, error) {
	d := bundle.Draft{Note: c.Note}
	var err error
	if d.Content, err = readContent(s, c.Source); err != nil {
		return d, err
	}
	if c.Previous != "" {
		if d.Previous, err = readSignedHead(s, c.Previous); err != nil {
			return d, err
		}
		d.Approvers = d.Previous.Manifest.Approvers
	}
	for _, text := range c.Supersedes {
		digest, err := bundle.ParseDigest(text)
		if err != nil {
			return d, err
		}
		d.Supersedes = append(d.Supersedes, digest)
	}
	if c.Approvers != "" {
		d.Approvers, err = readApprovers(s, c.Approvers)
	}
	if err == nil && len(d.Approvers.Keys) == 0 {
		err = refusef("the first version needs --approvers")
	}
	return d, err
}

// bundleSignCmd is "bundle sign".
type bundleSignCmd struct {
	signFlags
	Draft string `arg:"" help:"The draft's folder."`
}

// Help returns the text that "bundle sign --help" adds.
func (bundleSignCmd) Help() string {
	return `Adds a signature to a draft's head.json. Look at what you sign first:

  wardspoolctl bundle diff publish draft
  wardspoolctl bundle sign --key ada.key draft

The draft must be whole and free of faults. A key signs one bundle of a version:
a second, different one is refused, by the record beside the key file.

Exit codes: 0 signed, 1 refused, 2 wrong usage.`
}

// Run checks the draft and adds a signature to it.
func (c *bundleSignCmd) Run(s streams) error {
	h, parts, err := readBundle(s, c.Draft)
	if err != nil {
		return err
	}
	if _, err := bundle.Assemble(&h.Manifest, parts); err != nil {
		return printFindings(s, err)
	}
	k, private, err := c.signingKey(s, "bundle", h.Manifest.Version, h.Manifest.Digest())
	if err != nil {
		return err
	}
	h.AddSignature(bundle.Sign(private, &h.Manifest))
	if err := writeOutput(s, findBundlePaths(c.Draft).head, h.Encode()); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "version %d signed by %s, %d signatures now\n", h.Manifest.Version, k.Name, len(h.Signatures))
	return nil
}

// bundleVerifyCmd is "bundle verify".
type bundleVerifyCmd struct {
	Approvers string `required:"" help:"Approvers to trust, as in the instances' settings." placeholder:"FILE"`
	Previous  string `help:"The bundle before, to check that this one follows it." placeholder:"PATH"`
	Bundle    string `arg:"" help:"Draft or packed folder."`
}

// Help returns the text that "bundle verify --help" adds.
func (bundleVerifyCmd) Help() string {
	return `Verifies a bundle as an instance does that trusts the given approvers: signatures
of a quorum, through every replacement of approvers; every part; the content.

  wardspoolctl bundle verify --approvers approvers.yaml draft

Exit codes: 0 an instance would accept it, 1 it would not, 2 wrong usage.`
}

// Run verifies the bundle, and that it follows the previous one if given.
func (c *bundleVerifyCmd) Run(s streams) error {
	h, _, err := verifiedBundle(s, c.Bundle, c.Approvers)
	if err != nil {
		return printFindings(s, err)
	}
	if c.Previous != "" {
		previous, err := readHead(s, c.Previous)
		if err != nil {
			return err
		}
		if ref := previous.Ref(); ref.Version >= h.Manifest.Version || !h.Manifest.Follows(ref) {
			return refusef("version %d does not follow %s", h.Manifest.Version, ref)
		}
	}
	signed := h.Tally(h.Manifest.Approvers).Signed
	fmt.Fprintf(s.Out, "version %d, digest %s: verified; signed by %s\n", h.Manifest.Version, h.Manifest.Digest(), strings.Join(signed, ", "))
	return nil
}

// verifiedBundle reads a bundle and verifies its signatures, parts and content. It
// returns all errors found, joined.
func verifiedBundle(s streams, dir, approvers string) (*bundle.Head, *bundle.PartSet, error) {
	trusted, err := readApprovers(s, approvers)
	if err != nil {
		return nil, nil, err
	}
	h, parts, err := readBundle(s, dir)
	if err != nil {
		return nil, nil, err
	}
	_, incomplete := bundle.Assemble(&h.Manifest, parts)
	return h, parts, errors.Join(bundle.Verify(h, trusted), incomplete)
}

// bundlePackCmd is "bundle pack".
type bundlePackCmd struct {
	Approvers string `required:"" help:"Approvers to trust, as in the instances' settings." placeholder:"FILE"`
	Draft     string `arg:"" help:"The draft's folder."`
	Out       string `arg:"" help:"Folder to write; its files are named as the platform's keys."`
}

// Help returns the text that "bundle pack --help" adds.
func (bundlePackCmd) Help() string {
	return `Verifies a draft and writes the values to publish, one file for each key of the
platform:

  wardspoolctl bundle pack --approvers approvers.yaml draft publish

  publish/bundle/parts/<sha256>   first; those already published need not be again
  publish/bundle/head             then

Publish them with the platform's own tools, the parts before the head. Instances
then fetch the version; it comes into force by a roll only. Keep the parts of
versions that may be in force anywhere.

Exit codes: 0 written, 1 refused, 2 wrong usage.`
}

// Run verifies the draft and writes the values to publish.
func (c *bundlePackCmd) Run(s streams) error {
	h, parts, err := verifiedBundle(s, c.Draft, c.Approvers)
	if err != nil {
		return printFindings(s, err)
	}
	f := packedBundlePaths(c.Out)
	before, err := f.readParts()
	if err != nil {
		before = &bundle.PartSet{}
	}
	added := 0
	for _, d := range parts.Digests() {
		if _, there := before.Part(d); !there {
			added++
		}
	}
	if err := f.write(s, h, parts); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "version %d packed: %d parts, %d of them new to %s; publish the parts, then bundle/head\n", h.Manifest.Version, parts.Len(), added, c.Out)
	return nil
}
