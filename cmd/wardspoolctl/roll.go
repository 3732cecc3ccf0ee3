package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
)

// rollNewCmd is "roll new".
type rollNewCmd struct {
	Previous string   `help:"The roll published last. None for the first." placeholder:"FILE"`
	Target   string   `help:"The bundle to roll: its draft, packed folder or head; that of the roll before if not given." placeholder:"PATH"`
	Stage    string   `required:"" enum:"canary,all,abandoned" help:"How far: canary, all or abandoned."`
	Zones    []string `help:"Zones of a canary; every zone if not given." placeholder:"ZONE"`
	Share    int      `help:"Share of the instances in a canary's zones, in thousandths." default:"1000"`
	Out      string   `short:"o" help:"File to write." default:"-" placeholder:"FILE"`
}

// Help returns the text that "roll new --help" adds.
func (rollNewCmd) Help() string {
	return `Makes the next roll, to be signed. A version is best tried on a few instances,
then on a zone, then everywhere:

  wardspoolctl roll new --target draft-1 --stage all -o roll-1.json
  wardspoolctl roll new --previous roll-1.json --target draft-2 --stage canary --zones hall-a --share 100 -o roll-2.json
  wardspoolctl roll new --previous roll-2.json --stage canary --zones hall-a -o roll-3.json
  wardspoolctl roll new --previous roll-3.json --stage all -o roll-4.json

or, if the canary does harm, no further instance takes it:

  wardspoolctl roll new --previous roll-3.json --stage abandoned -o roll-4.json

Where it is in force it stays until a higher version: undo by rolling a new
version with the old content. The roll carries the heads of its target and of its
base, the last version rolled to all, so that instances need nothing else but the
parts.

Exit codes: 0 made, 1 refused, 2 wrong usage.`
}

// Run creates the roll and writes it.
func (c *rollNewCmd) Run(s streams) error {
	r, err := c.roll(s)
	if err != nil {
		return err
	}
	// Decoding applies the checks of structure that instances apply.
	b := r.Encode()
	if _, err := bundle.DecodeRoll(b); err != nil {
		return err
	}
	return writeOutput(s, c.Out, b)
}

// roll builds the roll that the flags describe.
func (c *rollNewCmd) roll(s streams) (*bundle.SignedRoll, error) {
	r := &bundle.SignedRoll{Roll: bundle.Roll{Format: bundle.Format, Sequence: 1, Stage: bundle.Stage(c.Stage)}}
	var previous *bundle.SignedRoll
	if c.Previous != "" {
		var err error
		if previous, err = readRoll(s, c.Previous); err != nil {
			return nil, err
		}
		r.Roll.Sequence = previous.Roll.Sequence + 1
		r.Roll.Base = previous.Roll.Baseline()
		r.Base, _ = previous.Head(r.Roll.Base)
		r.Target = previous.Target
	}
	if err := c.setTarget(s, r, previous == nil); err != nil {
		return nil, err
	}
	if r.Roll.Stage == bundle.StageCanary {
		r.Roll.Share = c.Share
		r.Roll.Zones = sortedZones(c.Zones)
	} else if len(c.Zones) > 0 || c.Share != bundle.FullShare {
		return nil, refusef("--zones and --share are for a canary")
	}
	if previous == nil {
		return r, nil
	}
	return r, previous.Roll.CheckOrder(&r.Roll)
}

// setTarget sets the target of a roll to the bundle of --target, or keeps that of
// the previous roll.
func (c *rollNewCmd) setTarget(s streams, r *bundle.SignedRoll, first bool) error {
	if c.Target == "" && first {
		return refusef("the first roll needs --target")
	}
	if c.Target != "" {
		h, err := readSignedHead(s, c.Target)
		if err != nil {
			return err
		}
		r.Target = *h
	}
	r.Roll.Target = r.Target.Ref()
	return nil
}

// sortedZones returns the zones sorted and without duplicates.
func sortedZones(names []string) []ident.Zone {
	zones := make([]ident.Zone, len(names))
	for i, name := range names {
		zones[i] = ident.Zone(name)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// readRoll reads a roll from a file, or from standard input for "-".
func readRoll(s streams, name string) (*bundle.SignedRoll, error) {
	b, err := readInput(s, name)
	if err != nil {
		return nil, err
	}
	return bundle.DecodeRoll(b)
}

// rollSignCmd is "roll sign".
type rollSignCmd struct {
	signFlags
	Roll string `arg:"" help:"The roll's file."`
}

// Help returns the text that "roll sign --help" adds.
func (rollSignCmd) Help() string {
	return `Adds a signature to a roll. The approvers that the target names sign it:

  wardspoolctl roll sign --key ada.key roll-2.json

A key signs one roll of a sequence number: a second, different one is refused, by
the record beside the key file.

Exit codes: 0 signed, 1 refused, 2 wrong usage.`
}

// Run adds a signature to the roll.
func (c *rollSignCmd) Run(s streams) error {
	r, err := readRoll(s, c.Roll)
	if err != nil {
		return err
	}
	k, private, err := c.signingKey(s, "roll", r.Roll.Sequence, r.Roll.Digest())
	if err != nil {
		return err
	}
	r.AddSignature(bundle.SignRoll(private, &r.Roll))
	if err := writeOutput(s, c.Roll, r.Encode()); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "roll %d signed by %s, %d signatures now\n%s\n", r.Roll.Sequence, k.Name, len(r.Signatures), describeRoll(&r.Roll))
	return nil
}

// rollVerifyCmd is "roll verify".
type rollVerifyCmd struct {
	Approvers string `required:"" help:"Approvers to trust, as in the instances' settings." placeholder:"FILE"`
	Previous  string `help:"The roll published last, to check that this one may follow it." placeholder:"FILE"`
	Roll      string `arg:"" help:"The roll's file; - for the standard input."`
}

// Help returns the text that "roll verify --help" adds.
func (rollVerifyCmd) Help() string {
	return `Verifies a roll as an instance does that trusts the given approvers, and says on
which instances what will be in force:

  wardspoolctl roll verify --approvers approvers.yaml --previous roll-1.json roll-2.json

Exit codes: 0 an instance would accept it, 1 it would not, 2 wrong usage.`
}

// Run verifies the roll, and that it may follow the previous one if given.
func (c *rollVerifyCmd) Run(s streams) error {
	r, err := verifiedRoll(s, c.Roll, c.Approvers)
	if err != nil {
		return err
	}
	if c.Previous != "" {
		previous, err := readRoll(s, c.Previous)
		if err != nil {
			return err
		}
		if err := previous.Roll.CheckOrder(&r.Roll); err != nil {
			return err
		}
	}
	signed := r.Tally(r.Target.Manifest.Approvers).Signed
	fmt.Fprintf(s.Out, "roll %d: verified; signed by %s\n%s\n", r.Roll.Sequence, strings.Join(signed, ", "), describeRoll(&r.Roll))
	return nil
}

// describeRoll describes which version each instance will have in force.
func describeRoll(r *bundle.Roll) string {
	switch r.Stage {
	case bundle.StageAll:
		return fmt.Sprintf("version %s on every instance", r.Target)
	case bundle.StageAbandoned:
		return fmt.Sprintf("version %s on no further instance; new ones take %s; where it is in force it stays until a higher version", r.Target, r.Base)
	}
	where := "every zone"
	if len(r.Zones) > 0 {
		names := make([]string, len(r.Zones))
		for i, z := range r.Zones {
			names[i] = string(z)
		}
		where = strings.Join(names, ", ")
	}
	return fmt.Sprintf("version %s on %d of 1000 instances of %s; new ones elsewhere take %s", r.Target, r.Share, where, r.Base)
}

// verifiedRoll reads a roll and verifies it against the trusted approvers.
func verifiedRoll(s streams, name, approvers string) (*bundle.SignedRoll, error) {
	trusted, err := readApprovers(s, approvers)
	if err != nil {
		return nil, err
	}
	r, err := readRoll(s, name)
	if err != nil {
		return nil, err
	}
	return r, bundle.VerifyRoll(r, trusted)
}

// rollPackCmd is "roll pack".
type rollPackCmd struct {
	Approvers string `required:"" help:"Approvers to trust, as in the instances' settings." placeholder:"FILE"`
	Roll      string `arg:"" help:"The roll's file."`
	Out       string `arg:"" help:"Folder to write; its files are named as the platform's keys."`
}

// Help returns the text that "roll pack --help" adds.
func (rollPackCmd) Help() string {
	return `Verifies a roll and writes the value to publish:

  wardspoolctl roll pack --approvers approvers.yaml roll-2.json publish

  publish/roll/current

Where the folder holds a roll already, the new one must be allowed to follow it.
Publish it after the parts of its target and base.

Exit codes: 0 written, 1 refused, 2 wrong usage.`
}

// Run verifies the roll and writes the value to publish.
func (c *rollPackCmd) Run(s streams) error {
	r, err := verifiedRoll(s, c.Roll, c.Approvers)
	if err != nil {
		return err
	}
	file := filepath.Join(c.Out, filepath.FromSlash(configservice.KeyRoll))
	if previous, err := readRoll(s, file); err == nil && previous.Roll.Digest() != r.Roll.Digest() {
		if err := previous.Roll.CheckOrder(&r.Roll); err != nil {
			return err
		}
	}
	if err := c.checkParts(s, r); err != nil {
		return err
	}
	if err := writeOutput(s, file, r.Encode()); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "roll %d packed; publish roll/current after the parts\n", r.Roll.Sequence)
	return nil
}

// checkParts refuses a roll if parts of its target are missing from the directory,
// as instances could not fetch the bundle.
func (c *rollPackCmd) checkParts(s streams, r *bundle.SignedRoll) error {
	parts, err := packedBundlePaths(c.Out).readParts()
	if err != nil {
		return refusef("%s has no parts: pack the bundle into it first", c.Out)
	}
	missing, err := bundle.MissingParts(&r.Target.Manifest, parts)
	if err != nil {
		return err
	}
	if len(missing) > 0 {
		return refusef("%s lacks %d parts of version %s: pack the bundle into it first", c.Out, len(missing), r.Roll.Target)
	}
	return nil
}
