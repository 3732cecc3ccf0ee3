package configservice

import (
	"slices"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/rendezvous"
)

// Elect chooses the k instances of a zone that read a key from the platform;
// the others get it from them. live lists the zone's live instances. Instances
// with the same list choose alike; while lists differ a few more or fewer read,
// which costs calls or time but never correctness.
func Elect(key string, zone ident.Zone, live []ident.InstanceID, k int) []ident.InstanceID {
	return rendezvous.Top(key+"\x00"+string(zone), live, k)
}

// Reads reports whether self is one of the instances that Elect chooses.
func Reads(self ident.InstanceID, key string, zone ident.Zone, live []ident.InstanceID, k int) bool {
	return slices.Contains(Elect(key, zone, live, k), self)
}
