package ticket

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

func testKey(id string) Key {
	return Key{ID: id, Secret: bytes.Repeat([]byte(id[:1]), minSecret)}
}

func testCodec(t testing.TB, ids ...string) *Codec {
	t.Helper()
	var keys []Key
	for _, id := range ids {
		keys = append(keys, testKey(id))
	}
	c, err := NewCodec(keys...)
	assert.NilError(t, err)
	return c
}

func sampleTicket() Ticket {
	return Ticket{
		Executor: Process{Instance: "hall-a-1", Incarnation: 1764684000000, Nonce: 1<<64 - 1},
		Sequence: 41,
		Issued:   time.UnixMilli(1764684001234),
		Expires:  time.UnixMilli(1764684121234),
	}
}

func TestCodecRoundTrip(t *testing.T) {
	c := testCodec(t, "a1")
	text := c.Seal(sampleTicket())
	assert.Equal(t, text, "1.a1.hall-a-1.mionagw0.3w5e11264sgsf.15.mionahua.miond2fm.LUBWVROlYdbVYUqNyh3d_w")
	got, err := c.Open(text)
	assert.NilError(t, err)
	assert.Equal(t, got, sampleTicket())
}

func TestCodecRejectsEveryChangedByte(t *testing.T) {
	c := testCodec(t, "a1")
	text := c.Seal(sampleTicket())
	for i := range text {
		changed := []byte(text)
		changed[i] ^= 1
		_, err := c.Open(string(changed))
		assert.Assert(t, err != nil, "the ticket opened although byte %d was changed", i)
	}
}

func TestCodecErrors(t *testing.T) {
	good := testCodec(t, "a1").Seal(sampleTicket())
	var syntax *SyntaxError
	for _, text := range []string{"", ".", strings.Repeat("x", maxLength+1), "2" + good[1:], good + ".x"} {
		_, err := testCodec(t, "a1").Open(text)
		assert.Assert(t, errors.As(err, &syntax), "%q: %v", text, err)
	}
	var unknown *UnknownKeyError
	_, err := testCodec(t, "b1").Open(good)
	assert.Assert(t, errors.As(err, &unknown))
	var forged *ForgedError
	for _, text := range []string{strings.Replace(good, ".15.", ".16.", 1), good + "!", good + "\n"} {
		_, err = testCodec(t, "a1").Open(text)
		assert.Assert(t, errors.As(err, &forged), "%q: %v", text, err)
	}
}

func TestCodecKeyRotation(t *testing.T) {
	before, during, after := testCodec(t, "a1"), testCodec(t, "b1", "a1"), testCodec(t, "b1")
	for _, text := range []string{before.Seal(sampleTicket()), during.Seal(sampleTicket())} {
		_, err := during.Open(text)
		assert.NilError(t, err)
	}
	_, err := after.Open(during.Seal(sampleTicket()))
	assert.NilError(t, err)
	_, err = after.Open(before.Seal(sampleTicket()))
	assert.ErrorContains(t, err, "not accepted")
}

func TestNewCodecRejectsBadKeys(t *testing.T) {
	for name, c := range map[string]struct {
		keys  []Key
		fault KeyFault
	}{
		"none":      {nil, KeyFaultNone},
		"bad ID":    {[]Key{{ID: "a.b", Secret: make([]byte, minSecret)}}, KeyFaultID},
		"duplicate": {[]Key{testKey("a1"), testKey("a1")}, KeyFaultDuplicate},
		"short":     {[]Key{{ID: "a1", Secret: make([]byte, minSecret-1)}}, KeyFaultShort},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewCodec(c.keys...)
			var fault *KeyError
			assert.Assert(t, errors.As(err, &fault))
			assert.Equal(t, fault.Fault, c.fault)
		})
	}
}

func TestDigestSeparatesParts(t *testing.T) {
	seen := map[Digest]Call{}
	for _, c := range []Call{
		{}, {Method: "POST"}, {Path: "POST"}, {Workspace: "POST"}, {Kind: "POST"}, {Body: []byte("POST")},
		{Method: "PO", Path: "ST"}, {Method: "P", Path: "OST"},
	} {
		d := c.Digest()
		other, taken := seen[d]
		assert.Assert(t, !taken, "%v and %v", c, other)
		seen[d] = c
	}
}

// FuzzOpen passes arbitrary text to Open. It also passes text directly to
// parsePayload, as a holder of the key could have signed it.
func FuzzOpen(f *testing.F) {
	c, err := NewCodec(testKey("a1"))
	assert.NilError(f, err)
	f.Add(c.Seal(sampleTicket()))
	f.Add("1.a1.x.0.0.0.0.0.AAAAAAAAAAAAAAAAAAAAAA")
	f.Fuzz(func(t *testing.T, text string) {
		if got, err := c.Open(text); err == nil && c.Seal(got) != text {
			t.Fatalf("%q opened as a ticket that is sealed differently", text)
		}
		if strings.Count(text, ".") != payloadParts-1 {
			return
		}
		if got, err := parsePayload(text); err == nil && !ident.ValidName(string(got.Executor.Instance)) {
			t.Fatalf("%q parsed to the invalid instance name %q", text, got.Executor.Instance)
		}
	})
}
