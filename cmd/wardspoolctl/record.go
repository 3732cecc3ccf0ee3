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

// signingRecord is a file that lists what an approver signed, one document a
// line: kind, number and digest. An approver who signs two documents of one
// number can split the fleet, so a second one is refused.
type signingRecord struct{ file string }

// recordSuffix follows the name of the key file in the name of its record.
const recordSuffix = ".signed"

// newSigningRecord returns the record at file, or beside the key if empty.
func newSigningRecord(file, key string) (signingRecord, error) {
	if file == "" && key == standardStream {
		return signingRecord{}, refusef("a key from the standard input needs --record")
	}
	if file == "" {
		file = key + recordSuffix
	}
	return signingRecord{file: file}, nil
}

// signFlags say which key signs, and where it is noted what it signed.
type signFlags struct {
	Key    string `required:"" help:"Key file; - for the standard input." placeholder:"FILE"`
	Record string `help:"File that lists what the key signed; beside the key file if not given." placeholder:"FILE"`
}

// unlock returns the key for one document, once the document stands in the record.
func (f signFlags) unlock(s streams, kind string, number uint64, digest bundle.Digest) (keyFile, ed25519.PrivateKey, error) {
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

// add notes a document. It refuses one whose number was signed with another
// digest.
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
