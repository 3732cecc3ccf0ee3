package main

import (
	"bufio"
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
