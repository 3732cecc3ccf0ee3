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

// standardStream names the standard input or output in place of a file.
const standardStream = "-"

// Modes of the files that commands write. Keys are for their owner only.
const (
	fileMode   = 0o644
	secretMode = 0o600
	folderMode = 0o755
)

// Names in a draft's folder.
const (
	draftHead  = "head.json"
	draftParts = "parts"
)

// maxInput bounds what commands read from one file.
const maxInput = bundle.MaxSourceBytes + 1

// readInput reads a file, or the standard input for "-".
func readInput(s streams, name string) ([]byte, error) {
	if name == standardStream {
		b, err := io.ReadAll(io.LimitReader(s.In, maxInput))
		return b, oops.Wrapf(err, "read the standard input")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, oops.Wrapf(err, "read a file")
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxInput))
	return b, oops.Wrapf(err, "read a file")
}

// writeOutput writes a file and its folders, or to the standard output for "-".
func writeOutput(s streams, name string, b []byte) error {
	if name == standardStream {
		_, err := s.Out.Write(b)
		return oops.Wrapf(err, "write the standard output")
	}
	if err := os.MkdirAll(filepath.Dir(name), folderMode); err != nil {
		return oops.Wrapf(err, "make a folder")
	}
	return oops.Wrapf(os.WriteFile(name, b, fileMode), "write a file")
}

// folder is a draft's or a packed bundle's folder: where its head and parts are.
type folder struct{ head, parts string }

// openFolder finds out which kind of folder dir is.
func openFolder(dir string) folder {
	draft := folder{head: filepath.Join(dir, draftHead), parts: filepath.Join(dir, draftParts)}
	if _, err := os.Stat(draft.head); err == nil {
		return draft
	}
	return packedFolder(dir)
}

// packedFolder is a folder with the platform's keys as files.
func packedFolder(dir string) folder {
	return folder{
		head:  filepath.Join(dir, filepath.FromSlash(configservice.KeyBundleHead)),
		parts: filepath.Join(dir, filepath.FromSlash(configservice.KeyBundleParts)),
	}
}

// readHead reads a head from a file, a draft or a packed folder.
func readHead(s streams, name string) (*bundle.Head, error) {
	if info, err := os.Stat(name); err == nil && info.IsDir() {
		name = openFolder(name).head
	}
	b, err := readInput(s, name)
	if err != nil {
		return nil, err
	}
	return bundle.DecodeHead(b)
}

// readSignedHead reads a head that a quorum of the approvers it names has signed.
// What is built on it or rolls it carries these signatures along.
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

// readParts reads all parts of a folder. A file that is no part, or has another
// digest than its name, is refused.
func (f folder) readParts() (*bundle.PartSet, error) {
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

// write writes a head and parts.
func (f folder) write(s streams, h *bundle.Head, parts *bundle.PartSet) error {
	for _, d := range parts.Digests() {
		b, _ := parts.Part(d)
		if err := writeOutput(s, filepath.Join(f.parts, d.String()), b); err != nil {
			return err
		}
	}
	return writeOutput(s, f.head, h.Encode())
}

// readContent reads a bundle's content from a source, a draft or a packed
// folder.
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

// readBundle reads a draft or a packed folder.
func readBundle(s streams, dir string) (*bundle.Head, *bundle.PartSet, error) {
	h, err := readHead(s, dir)
	if err != nil {
		return nil, nil, err
	}
	parts, err := openFolder(dir).readParts()
	return h, parts, err
}

// refusedError reports that a command refused to do something.
type refusedError struct{ Reason string }

// Error implements error.
func (e *refusedError) Error() string { return e.Reason }

func refusef(format string, args ...any) error {
	return &refusedError{Reason: fmt.Sprintf(format, args...)}
}

// printFindings prints the findings of an error, one a line, and returns an
// error for the exit code alone; other errors are returned as they are.
func printFindings(s streams, err error) error {
	var bad *bundle.FindingsError
	if !errors.As(err, &bad) {
		return err
	}
	fmt.Fprintln(s.Out, bad.Error())
	return refusef("%d findings", len(bad.Findings))
}
