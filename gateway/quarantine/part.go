package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
)

// Part identifies a part of prompts that requests may share: a hash of the part's ID, the first 8
// bytes of a SHA-256.
type Part uint64

// String returns the part in hexadecimal, as used in logs, "" for 0.
func (p Part) String() string {
	if p == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(p))
}

// PartsOf returns the parts with the given IDs of a prompt to a service, each once, preceded by
// ServicePart.
func PartsOf(service string, ids []string) []Part {
	parts := []Part{ServicePart(service)}
	for _, id := range ids {
		if p := PartOf(id); !slices.Contains(parts, p) {
			parts = append(parts, p)
		}
	}
	return parts
}

// PartOf returns the part with the given ID.
func PartOf(id string) Part { return hashPart("part", id) }

// ServicePart returns the part that all prompts to a service have. If even that is not acquitted of
// a crash, the service answers no prompt at all.
func ServicePart(service string) Part { return hashPart("service", service) }

// hashPart returns the part with the given name among those of a kind.
func hashPart(kind, name string) Part {
	h := sha256.New()
	writeString(h, kind)
	writeString(h, name)
	return Part(binary.BigEndian.Uint64(h.Sum(nil)))
}

// servicePart is a part of the prompts to a service.
type servicePart struct{ service, part Part }

// PartEvidence is a part of a prompt that was at an upstream when it crashed.
type PartEvidence struct {
	Part Part
	// Acquitted means that the service began an answer to a prompt with the part shortly before the
	// crash or after it.
	Acquitted bool
}

// evidenceOf returns the evidence on the given parts, none of which is acquitted.
func evidenceOf(parts []Part) []PartEvidence {
	var out []PartEvidence
	for _, p := range parts {
		out = append(out, PartEvidence{Part: p})
	}
	return out
}
