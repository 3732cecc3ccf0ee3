package membership

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
)

// recordKey identifies an instance or an upstream in packed records: the low 48
// bits of the xxhash64 of its ID. With 1,000 IDs, two share a key with a
// probability of 2 in 10^9; the one listed later is then left out of packed
// records.
type recordKey uint64

// keyBits is the width of a recordKey and of a packed incarnation.
const keyBits = 48

// keyOf returns the key of an ID.
func keyOf(id string) recordKey { return recordKey(xxhash.Sum64String(id) & (1<<keyBits - 1)) }

// Sizes of packed records, in bytes.
const (
	// MemberBytes is the size of one instance's record: key 6, incarnation 6,
	// flags 1, age 1 (units of 250 ms), stamp 4.
	MemberBytes = 18
	// UpstreamBytes is the size of an UpstreamDigest: key 6, incarnation 6,
	// sequence 4, running 1, slots 1, waiting 1, pieces used 2, queued tokens 2
	// (units of 64), age 2 (units of 10 ms), flags 1.
	UpstreamBytes = 26
)

// Units of packed values.
const (
	memberAgeUnit   = 250 * time.Millisecond
	upstreamAgeUnit = 10 * time.Millisecond
	queuedUnit      = 64
)

// maxRecords limits the records of one block.
const maxRecords = 64

// Flags of packed records.
const (
	flagLeaving = 1 << iota
	flagEnded
	flagMissing
	flagStamp
	flagReport
	flagDown
)

// BlockError reports a malformed block of packed records.
type BlockError struct {
	// Block is "members" or "upstreams".
	Block string
	Bytes int
}

// Error implements error.
func (e *BlockError) Error() string {
	return fmt.Sprintf("heartbeat: %d bytes are no block of %s", e.Bytes, e.Block)
}

// keyedRecord is a record with the key of the instance that it describes.
type keyedRecord struct {
	key recordKey
	memberRecord
}

// appendMember appends a packed record to dst.
func appendMember(dst []byte, r keyedRecord) []byte {
	var flags byte
	setFlag(&flags, flagLeaving, r.leaving)
	setFlag(&flags, flagEnded, r.ended)
	setFlag(&flags, flagMissing, r.missing)
	setFlag(&flags, flagStamp, r.hasStamp)
	dst = append48(dst, uint64(r.key))
	dst = append48(dst, uint64(r.incarnation))
	dst = append(dst, flags, saturate[uint8](r.age/memberAgeUnit))
	return binary.BigEndian.AppendUint32(dst, uint32(r.stamp))
}

// decodeMembers unpacks a block of member records. The error is a *BlockError.
func decodeMembers(block []byte) ([]keyedRecord, error) {
	if len(block)%MemberBytes != 0 || len(block) > maxRecords*MemberBytes {
		return nil, &BlockError{Block: "members", Bytes: len(block)}
	}
	records := make([]keyedRecord, 0, len(block)/MemberBytes)
	for ; len(block) > 0; block = block[MemberBytes:] {
		flags := block[12]
		records = append(records, keyedRecord{key: recordKey(read48(block)), memberRecord: memberRecord{
			incarnation: ident.Incarnation(read48(block[6:])),
			leaving:     flags&flagLeaving != 0,
			ended:       flags&flagEnded != 0,
			missing:     flags&flagMissing != 0,
			hasStamp:    flags&flagStamp != 0,
			age:         time.Duration(block[13]) * memberAgeUnit,
			stamp:       Stamp(binary.BigEndian.Uint32(block[14:])),
		}})
	}
	return records, nil
}

// UpstreamDigest is the compact form in which an upstream's state is sent.
type UpstreamDigest struct {
	Key         uint64
	Incarnation ident.Incarnation
	// HasReport is false if only the flags are known.
	HasReport    bool
	Sequence     uint32
	Running      int
	Slots        int
	Waiting      int
	PiecesUsed   int
	QueuedTokens int
	// Age is the time since the report was made.
	Age     time.Duration
	Leaving bool
	// Down is true if a connection was refused after the report.
	Down bool
	// Missing is true if an instance of the upstream's zone got no answer after
	// the report.
	Missing bool
}

// Append appends the packed digest to dst. Counts that do not fit saturate;
// queued tokens are rounded down to a multiple of 64.
func (d UpstreamDigest) Append(dst []byte) []byte {
	dst = append48(dst, d.Key)
	dst = append48(dst, uint64(d.Incarnation))
	dst = binary.BigEndian.AppendUint32(dst, d.Sequence)
	dst = append(dst, saturate[uint8](d.Running), saturate[uint8](d.Slots), saturate[uint8](d.Waiting))
	dst = binary.BigEndian.AppendUint16(dst, saturate[uint16](d.PiecesUsed))
	dst = binary.BigEndian.AppendUint16(dst, saturate[uint16](d.QueuedTokens/queuedUnit))
	dst = binary.BigEndian.AppendUint16(dst, saturate[uint16](d.Age/upstreamAgeUnit))
	return append(dst, d.flags())
}

// flags packs the boolean fields.
func (d UpstreamDigest) flags() byte {
	var flags byte
	setFlag(&flags, flagLeaving, d.Leaving)
	setFlag(&flags, flagReport, d.HasReport)
	setFlag(&flags, flagDown, d.Down)
	setFlag(&flags, flagMissing, d.Missing)
	return flags
}

// decodeUpstreams unpacks a block of upstream digests. The error is a
// *BlockError.
func decodeUpstreams(block []byte) ([]UpstreamDigest, error) {
	if len(block)%UpstreamBytes != 0 || len(block) > maxRecords*UpstreamBytes {
		return nil, &BlockError{Block: "upstreams", Bytes: len(block)}
	}
	digests := make([]UpstreamDigest, 0, len(block)/UpstreamBytes)
	for ; len(block) > 0; block = block[UpstreamBytes:] {
		digests = append(digests, decodeUpstream(block))
	}
	return digests, nil
}

// decodeUpstream unpacks one digest.
func decodeUpstream(b []byte) UpstreamDigest {
	flags := b[25]
	return UpstreamDigest{
		Key:          read48(b),
		Incarnation:  ident.Incarnation(read48(b[6:])),
		Sequence:     binary.BigEndian.Uint32(b[12:]),
		Running:      int(b[16]),
		Slots:        int(b[17]),
		Waiting:      int(b[18]),
		PiecesUsed:   int(binary.BigEndian.Uint16(b[19:])),
		QueuedTokens: int(binary.BigEndian.Uint16(b[21:])) * queuedUnit,
		Age:          time.Duration(binary.BigEndian.Uint16(b[23:])) * upstreamAgeUnit,
		Leaving:      flags&flagLeaving != 0,
		HasReport:    flags&flagReport != 0,
		Down:         flags&flagDown != 0,
		Missing:      flags&flagMissing != 0,
	}
}

// setFlag sets a flag if on is true.
func setFlag(flags *byte, flag byte, on bool) {
	if on {
		*flags |= flag
	}
}

// append48 appends the low 48 bits of v.
func append48(dst []byte, v uint64) []byte {
	return append(dst, byte(v>>40), byte(v>>32), byte(v>>24), byte(v>>16), byte(v>>8), byte(v))
}

// read48 reads what append48 wrote.
func read48(b []byte) uint64 {
	return uint64(b[0])<<40 | uint64(b[1])<<32 | uint64(binary.BigEndian.Uint32(b[2:]))
}

// saturate converts v to U, or to the nearest value that fits.
func saturate[U uint8 | uint16, V ~int | ~int64](v V) U {
	top := ^U(0)
	switch {
	case v < 0:
		return 0
	case uint64(v) > uint64(top):
		return top
	default:
		return U(v)
	}
}
