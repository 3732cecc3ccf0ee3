package membership

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/ident"
)

func TestPackedSizes(t *testing.T) {
	assert.Equal(t, len(appendMember(nil, keyedRecord{})), MemberBytes)
	assert.Equal(t, len(UpstreamDigest{}.Append(nil)), UpstreamBytes)
}

func TestMemberRecordsSurvivePacking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRecord(t)
		got, err := decodeMembers(appendMember(nil, r))
		assert.NilError(t, err)
		assert.Equal(t, got[0], r)
	})
}

func TestDigestsSurvivePacking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDigest(t)
		got, err := decodeUpstreams(d.Append(nil))
		assert.NilError(t, err)
		assert.Equal(t, got[0], d)
	})
}

func TestLargeValuesSaturate(t *testing.T) {
	d := UpstreamDigest{
		Incarnation: 1<<48 - 1, Running: 300, Slots: -1, Waiting: 256, PiecesUsed: 1 << 20,
		QueuedTokens: 1 << 30, Age: time.Hour,
	}
	got, err := decodeUpstreams(d.Append(nil))
	assert.NilError(t, err)
	assert.Equal(t, got[0], UpstreamDigest{
		Incarnation: 1<<48 - 1, Running: 255, Slots: 0, Waiting: 255, PiecesUsed: 65535,
		QueuedTokens: 65535 * queuedUnit, Age: 65535 * upstreamAgeUnit,
	})
}

// FuzzBlocks passes arbitrary blocks to a machine: it must accept them or
// return a typed error, add no unknown process, and encode the decoded digests
// to the same bytes again.
func FuzzBlocks(f *testing.F) {
	f.Add([]byte{}, []byte{})
	f.Add(make([]byte, MemberBytes), make([]byte, UpstreamBytes))
	f.Add(make([]byte, MemberBytes+1), make([]byte, 3))
	f.Add(make([]byte, (maxRecords+1)*MemberBytes), []byte{})
	known := appendMember(nil, keyedRecord{key: keyOf("entry-a1"), memberRecord: memberRecord{incarnation: 3, hasStamp: true, stamp: 9, leaving: true}})
	f.Add(known, UpstreamDigest{Key: uint64(keyOf("dc-1")), Incarnation: 4, HasReport: true, Sequence: 2}.Append(nil))
	f.Fuzz(func(t *testing.T, members, upstreams []byte) {
		m := newMachineWithSender()
		_, err := m.Receive(start.Add(time.Second), sender, Heartbeat{Incarnation: 1, Stamp: 1, Members: members, Upstreams: upstreams})
		if err != nil {
			if !errors.As(err, new(*BlockError)) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if len(m.members) != 4 || len(m.upstreams) != 2 {
			t.Fatalf("unknown processes were added: %d members, %d upstreams", len(m.members), len(m.upstreams))
		}
		m.View(start.Add(time.Minute))
		digests, err := decodeUpstreams(upstreams)
		if err != nil {
			t.Fatal(err)
		}
		var again []byte
		for _, d := range digests {
			again = d.Append(again)
		}
		second, err := decodeUpstreams(again)
		if err != nil || len(second) != len(digests) || !bytes.Equal(again, repack(second)) {
			t.Fatalf("digests differ after a second encoding: %v", err)
		}
	})
}

// repack packs digests.
func repack(digests []UpstreamDigest) []byte {
	var out []byte
	for _, d := range digests {
		out = d.Append(out)
	}
	return out
}

// TestUnknownSenderIsRefused checks that heartbeats of unlisted instances are
// rejected.
func TestUnknownSenderIsRefused(t *testing.T) {
	m := newMachineWithSender()
	_, err := m.Receive(start, "entry-x1", Heartbeat{Incarnation: 1, Stamp: 1})
	var unknown *UnknownError
	assert.Assert(t, errors.As(err, &unknown))
	assert.Equal(t, unknown.Instance, ident.InstanceID("entry-x1"))
	assert.Assert(t, !m.Known("entry-x1") && m.Known(sender) && m.Known("entry-a0"))
}
