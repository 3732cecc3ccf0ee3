package configservice

import (
	"slices"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/rendezvous"
)

// Elect selects the k instances of a zone that read a key from the platform; the
// other instances get the key from those. live lists the zone's live instances.
// Instances with equal lists select the same readers. While their lists differ,
// somewhat more or fewer instances read, which costs calls or delay but does not
// affect correctness.
func Elect(key string, zone ident.Zone, live []ident.InstanceID, k int) []ident.InstanceID {
	return rendezvous.Top(key+"\x00"+string(zone), live, k)
}

// IsElected reports whether self is one of the instances that Elect selects.
func IsElected(self ident.InstanceID, key string, zone ident.Zone, live []ident.InstanceID, k int) bool {
	return slices.Contains(Elect(key, zone, live, k), self)
}
