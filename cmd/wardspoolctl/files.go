package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/configservice"
)

// standardStream stands for standard input or output in place of a file name.
const standardStream = "-"

// Permissions of files and directories that commands create. Key files are
// readable by their owner only.
const (
	fileMode   = 0o644
	secretMode = 0o600
	dirMode    = 0o755
)

// Names of a draft's files.
const (
	draftHead  = "head.json"
	draftParts = "parts"
)

// maxInputBytes limits how much is read from one file. It is one byte more than the
// maximum size of a source, so that larger ones are detected.
const maxInputBytes = bundle.MaxSourceBytes + 1

// readInput reads a file, or standard input for "-".
func readInput(s streams, name string) ([]byte, error) {
	if name == standardStream {
		b, err := io.ReadAll(io.LimitReader(s.In, maxInputBytes))
		return b, oops.Wrapf(err, "read standard input")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, oops.Wrapf(err, "read a file")
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxInputBytes))
	return b, oops.Wrapf(err, "read a file")
}

// writeOutput writes a file and creates its directory, or writes to standard output
// for "-".
func writeOutput(s streams, name string, b []byte) error {
	if name == standardStream {
		_, err := s.Out.Write(b)
		return oops.Wrapf(err, "write standard output")
	}
	if err := os.MkdirAll(filepath.Dir(name), dirMode); err != nil {
		return oops.Wrapf(err, "create a directory")
	}
	return oops.Wrapf(os.WriteFile(name, b, fileMode), "write a file")
}

// bundlePaths holds the paths of a bundle's head and parts, in a draft's or a packed
// bundle's directory.
type bundlePaths struct{ head, parts string }

// findBundlePaths returns the paths in dir: those of a draft if it has a draft's
// head, else those of a packed bundle.
func findBundlePaths(dir string) bundlePaths {
	draft := bundlePaths{head: filepath.Join(dir, draftHead), parts: filepath.Join(dir, draftParts)}
	if _, err := os.Stat(draft.head); err == nil {
		return draft
	}
	return packedBundlePaths(dir)
}

// packedBundlePaths returns the paths in the directory of a packed bundle, whose
// files are named after the platform's keys.
func packedBundlePaths(dir string) bundlePaths {
	return bundlePaths{
		head:  filepath.Join(dir, filepath.FromSlash(configservice.KeyBundleHead)),
		parts: filepath.Join(dir, filepath.FromSlash(configservice.KeyBundleParts)),
	}
}

// readHead reads a head from a file, a draft or a packed bundle.
func readHead(s streams, name string) (*bundle.Head, error) {
	if info, err := os.Stat(name); err == nil && info.IsDir() {
		name = findBundlePaths(name).head
	}
	b, err := readInput(s, name)
	if err != nil {
		return nil, err
	}
	return bundle.DecodeHead(b)
}

// readSignedHead reads a head and checks that a quorum of the approvers it names
// has signed it. Later bundles and rolls include these signatures.
func readSignedHead(s streams, name string) (*bundle.Head, error) {
	h, err := readHead(s, name)
	if err != nil {
		return nil, err
	}
	set := h.Manifest.Approvers
	if signed := len(h.Tally(set).Signed); signed < set.Quorum {
		return nil, refusef("version %d of %s has %d of the %d signatures it needs: sign it first", h.Manifest.Version, name, signed, set.Quorum)
	}
	return h, nil
}

// readParts reads all parts. It returns an error for a file whose name is not a
// digest or differs from the digest of its content.
func (f bundlePaths) readParts() (*bundle.PartSet, error) {
	entries, err := os.ReadDir(f.parts)
	if err != nil {
		return nil, oops.Wrapf(err, "read the parts")
	}
	set := &bundle.PartSet{}
	for _, e := range entries {
		d, err := bundle.ParseDigest(e.Name())
		if err != nil {
			return nil, oops.Wrapf(err, "file %s", e.Name())
		}
		b, err := os.ReadFile(filepath.Join(f.parts, e.Name()))
		if err != nil {
			return nil, oops.Wrapf(err, "read a part")
		}
		if err := set.Add(bundle.Part{Digest: d, Bytes: b}); err != nil {
			return nil, err
		}
	}
	return set, nil
}

// write writes the parts, then the head.
func (f bundlePaths) write(s streams, h *bundle.Head, parts *bundle.PartSet) error {
	for _, d := range parts.Digests() {
		b, _ := parts.Part(d)
		if err := writeOutput(s, filepath.Join(f.parts, d.String()), b); err != nil {
			return err
		}
	}
	return writeOutput(s, f.head, h.Encode())
}

// readContent reads a bundle's content from a source, a draft or a packed bundle.
func readContent(s streams, name string) (*config.Content, error) {
	if info, err := os.Stat(name); err == nil && info.IsDir() {
		h, parts, err := readBundle(s, name)
		if err != nil {
			return nil, err
		}
		return bundle.Assemble(&h.Manifest, parts)
	}
	b, err := readInput(s, name)
	if err != nil {
		return nil, err
	}
	content, findings := bundle.ParseSource(name, b)
	return content, findings.Err()
}

// readBundle reads the head and the parts of a draft or a packed bundle.
func readBundle(s streams, dir string) (*bundle.Head, *bundle.PartSet, error) {
	h, err := readHead(s, dir)
	if err != nil {
		return nil, nil, err
	}
	parts, err := findBundlePaths(dir).readParts()
	return h, parts, err
}

// refusedError reports why a command was refused.
type refusedError struct{ Reason string }

// Error implements error.
func (e *refusedError) Error() string { return e.Reason }

// refusef returns a refusedError with a formatted reason.
func refusef(format string, args ...any) error {
	return &refusedError{Reason: fmt.Sprintf(format, args...)}
}

// printFindings prints the findings in an error, one per line, and returns an error
// with their number. Other errors are returned unchanged.
func printFindings(s streams, err error) error {
	var bad *bundle.FindingsError
	if !errors.As(err, &bad) {
		return err
	}
	fmt.Fprintln(s.Out, bad.Error())
	return refusef("%d findings", len(bad.Findings))
}
