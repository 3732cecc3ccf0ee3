package main

import (
	"bufio"
	"crypto/ed25519"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/bundle"
)

// signingRecord is a file that lists the documents an approver has signed, one per
// line: kind, number and digest. If an approver signed two different documents of
// one number, instances could apply different ones, so the second is refused.
type signingRecord struct{ file string }

// recordSuffix is appended to the key file's name to form the record's name.
const recordSuffix = ".signed"

// newSigningRecord returns the record in file or, if file is empty, the one beside
// the key file.
func newSigningRecord(file, key string) (signingRecord, error) {
	if file == "" && key == standardStream {
		return signingRecord{}, refusef("a key from the standard input needs --record")
	}
	if file == "" {
		file = key + recordSuffix
	}
	return signingRecord{file: file}, nil
}

// signFlags are the flags that name the signing key and its record.
type signFlags struct {
	Key    string `required:"" help:"Key file; - for the standard input." placeholder:"FILE"`
	Record string `help:"File that lists what the key signed; beside the key file if not given." placeholder:"FILE"`
}

// signingKey adds a document to the signing record and returns the key to sign it with.
// It fails if the record refuses the document.
func (f signFlags) signingKey(s streams, kind string, number uint64, digest bundle.Digest) (keyFile, ed25519.PrivateKey, error) {
	k, private, err := readPrivateKey(s, f.Key)
	if err != nil {
		return k, nil, err
	}
	record, err := newSigningRecord(f.Record, f.Key)
	if err != nil {
		return k, nil, err
	}
	if err := record.add(kind, number, digest); err != nil {
		return k, nil, err
	}
	return k, private, nil
}

// add appends a document to the record, unless it is listed already. It refuses a
// document if another digest is listed under its kind and number.
func (r signingRecord) add(kind string, number uint64, digest bundle.Digest) error {
	prefix := fmt.Sprintf("%s %d ", kind, number)
	b, err := os.ReadFile(r.file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return oops.Wrapf(err, "read the signing record")
	}
	lines := bufio.NewScanner(strings.NewReader(string(b)))
	for lines.Scan() {
		other, found := strings.CutPrefix(lines.Text(), prefix)
		switch {
		case found && other == digest.String():
			return nil
		case found:
			return refusef("this key signed %s %d as %.12s already; make a higher number instead (record: %s)", kind, number, other, r.file)
		}
	}
	f, err := os.OpenFile(r.file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, secretMode)
	if err != nil {
		return oops.Wrapf(err, "write the signing record")
	}
	_, err = fmt.Fprintf(f, "%s%s\n", prefix, digest)
	return oops.Wrapf(errors.Join(err, f.Close()), "write the signing record")
}
