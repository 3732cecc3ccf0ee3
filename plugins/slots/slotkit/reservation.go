package slotkit

import (
	"github.com/wardspool/wardspool/ident"
)

// Key identifies a reservation within the system. Unlike ident.AttemptID it
// contains no time, so keys compare equal after a reservation was encoded in a
// message and decoded.
type Key struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	Sequence    uint64
}

// KeyOf returns the key of a reservation.
func KeyOf(id ident.AttemptID) Key {
	return Key{Instance: id.Instance, Incarnation: id.Incarnation, Sequence: id.Sequence}
}

// Before defines a total order of keys. It is used to process map entries in a
// reproducible order.
func (k Key) Before(other Key) bool {
	if k.Instance != other.Instance {
		return k.Instance < other.Instance
	}
	if k.Incarnation != other.Incarnation {
		return k.Incarnation < other.Incarnation
	}
	return k.Sequence < other.Sequence
}

// Reservation is a reservation's ID in a message. It is encoded in the text form
// of ident.AttemptID.
type Reservation ident.AttemptID

// ID returns the reservation's ID.
func (r Reservation) ID() ident.AttemptID { return ident.AttemptID(r) }

// Key returns the reservation's key.
func (r Reservation) Key() Key { return KeyOf(ident.AttemptID(r)) }

// MarshalText implements encoding.TextMarshaler.
func (r Reservation) MarshalText() ([]byte, error) {
	return []byte(ident.AttemptID(r).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. Its error is an
// *ident.AttemptSyntaxError.
func (r *Reservation) UnmarshalText(text []byte) error {
	id, err := ident.ParseAttemptID(string(text))
	if err != nil {
		return err
	}
	*r = Reservation(id)
	return nil
}
