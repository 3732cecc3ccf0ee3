package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Parameters of the text form.
const (
	// formatVersion is the first part of every ticket.
	formatVersion = "1"
	// numberBase is the base of the numbers in a ticket.
	numberBase = 36
	// payloadParts is the number of parts before the authentication code.
	payloadParts = 8
	// macSize is the size of the truncated HMAC-SHA256, in bytes.
	macSize = 16
	// maxLength bounds a ticket's text, in bytes.
	maxLength = 256
	// minSecret is the size of the shortest accepted secret, in bytes.
	minSecret = 32
)

// macContext is prepended to the payload for domain separation: a code made with
// the same secret for another purpose is not valid for a ticket.
const macContext = "wardspool ticket\x00"

// Key is a secret shared by all instances.
type Key struct {
	// ID is a valid name (ident.ValidName). It is part of the ticket's text.
	ID string
	// Secret is at least 32 bytes.
	Secret []byte
}

// Codec converts tickets to and from their authenticated text form. It is
// immutable and safe for concurrent use.
type Codec struct {
	keys []Key
}

// NewCodec returns a codec that seals with the first key and accepts all of them.
// To rotate keys, add the new key at the end on every instance, then move it to
// the front, and remove the old key once its last ticket has expired. It returns
// a *KeyError if the keys are unusable.
func NewCodec(keys ...Key) (*Codec, error) {
	if len(keys) == 0 {
		return nil, &KeyError{Fault: KeyFaultNone}
	}
	c := &Codec{}
	for _, k := range keys {
		if fault := c.faultOf(k); fault != "" {
			return nil, &KeyError{ID: k.ID, Fault: fault}
		}
		c.keys = append(c.keys, k)
	}
	return c, nil
}

// faultOf returns why the key can't be added, or "" if it can.
func (c *Codec) faultOf(k Key) KeyFault {
	switch {
	case !ident.ValidName(k.ID):
		return KeyFaultID
	case c.find(k.ID) != nil:
		return KeyFaultDuplicate
	case len(k.Secret) < minSecret:
		return KeyFaultShort
	default:
		return ""
	}
}

// find returns the key with the ID, or nil if there is none.
func (c *Codec) find(id string) *Key {
	for i := range c.keys {
		if c.keys[i].ID == id {
			return &c.keys[i]
		}
	}
	return nil
}

// Seal returns the text form of the ticket: parts joined by dots, which are safe
// in URLs and header fields. The last part is an HMAC over the others.
func (c *Codec) Seal(t Ticket) string {
	key := &c.keys[0]
	payload := strings.Join([]string{
		formatVersion,
		key.ID,
		string(t.Executor.Instance),
		strconv.FormatUint(uint64(t.Executor.Incarnation), numberBase),
		strconv.FormatUint(t.Executor.Nonce, numberBase),
		strconv.FormatUint(t.Sequence, numberBase),
		strconv.FormatInt(t.Issued.UnixMilli(), numberBase),
		strconv.FormatInt(t.Expires.UnixMilli(), numberBase),
	}, ".")
	return payload + "." + key.mac(payload)
}

// mac returns the encoded authentication code of the payload.
func (k *Key) mac(payload string) string {
	mac := hmac.New(sha256.New, k.Secret)
	mac.Write([]byte(macContext))
	mac.Write([]byte(payload))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macSize])
}

// Open parses and authenticates a text that Seal returned. Errors are
// *SyntaxError, *UnknownKeyError and *ForgedError.
func (c *Codec) Open(text string) (Ticket, error) {
	payload, err := c.authenticate(text)
	if err != nil {
		return Ticket{}, err
	}
	return parsePayload(payload)
}

// authenticate checks the authentication code and returns the text without it.
func (c *Codec) authenticate(text string) (string, error) {
	if len(text) > maxLength {
		return "", &SyntaxError{Part: "length"}
	}
	parts := strings.Split(text, ".")
	if len(parts) != payloadParts+1 {
		return "", &SyntaxError{Part: "shape"}
	}
	if parts[0] != formatVersion {
		return "", &SyntaxError{Part: "version"}
	}
	key := c.find(parts[1])
	if key == nil {
		return "", &UnknownKeyError{ID: parts[1]}
	}
	payload, code := text[:strings.LastIndexByte(text, '.')], parts[payloadParts]
	// The text forms are compared because the decoder accepts several texts for
	// the same code.
	if !hmac.Equal([]byte(code), []byte(key.mac(payload))) {
		return "", &ForgedError{KeyID: key.ID}
	}
	return payload, nil
}

// parsePayload parses an authenticated payload.
func parsePayload(payload string) (Ticket, error) {
	parts := strings.Split(payload, ".")
	if !ident.ValidName(parts[2]) {
		return Ticket{}, &SyntaxError{Part: "instance"}
	}
	r := numberReader{}
	t := Ticket{
		Executor: Process{
			Instance:    ident.InstanceID(parts[2]),
			Incarnation: ident.Incarnation(r.unsigned("incarnation", parts[3])),
			Nonce:       r.unsigned("nonce", parts[4]),
		},
		Sequence: r.unsigned("sequence", parts[5]),
		Issued:   r.milliseconds("issue time", parts[6]),
		Expires:  r.milliseconds("expiry", parts[7]),
	}
	if r.err != nil {
		return Ticket{}, r.err
	}
	return t, nil
}

// numberReader parses numbers and keeps the first error.
type numberReader struct{ err error }

// unsigned parses an unsigned number.
func (r *numberReader) unsigned(part, text string) uint64 {
	n, err := strconv.ParseUint(text, numberBase, 64)
	if err != nil && r.err == nil {
		r.err = &SyntaxError{Part: part}
	}
	return n
}

// milliseconds parses a time in Unix milliseconds.
func (r *numberReader) milliseconds(part, text string) time.Time {
	n, err := strconv.ParseInt(text, numberBase, 64)
	if err != nil && r.err == nil {
		r.err = &SyntaxError{Part: part}
	}
	return time.UnixMilli(n)
}
