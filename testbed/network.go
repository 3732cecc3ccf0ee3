package testbed

import "github.com/wardspool/wardspool/ident"

// relayTo starts a relay to an address in a zone, if the fleet has relays.
func (f *Fleet) relayTo(address string, zone ident.Zone) error {
	if !f.options.Relays {
		return nil
	}
	r, err := startRelay(address, zone, f.cuts, f.zoneOf)
	if err != nil {
		return err
	}
	f.relays[address] = r
	return nil
}

// dialAddress returns the address at which the fleet's processes connect to a process:
// that of its relay, if it has one.
func (f *Fleet) dialAddress(address string) string {
	if r, ok := f.relays[address]; ok {
		return r.address()
	}
	return address
}

// recordZone records the zone of a process.
func (f *Fleet) recordZone(p *Process, zone ident.Zone) { f.zones.Store(p.PID(), zone) }

// Cut creates a network partition between two zones, PlatformZone standing for the
// platform: no byte gets through, and no connection reports an error. The fleet
// must have been started with Options.Relays. KV transfers between engines are not
// cut.
func (f *Fleet) Cut(a, b ident.Zone) { f.cuts.set(a, b, true) }

// Heal ends a partition made by Cut. Bytes held back meanwhile are then delivered.
func (f *Fleet) Heal(a, b ident.Zone) { f.cuts.set(a, b, false) }

// IsolateZone partitions a zone from all other zones and from the platform.
func (f *Fleet) IsolateZone(zone ident.Zone) { f.forOtherZones(zone, f.Cut) }

// ReconnectZone ends the partition made by IsolateZone.
func (f *Fleet) ReconnectZone(zone ident.Zone) { f.forOtherZones(zone, f.Heal) }

func (f *Fleet) forOtherZones(zone ident.Zone, do func(a, b ident.Zone)) {
	for _, other := range append([]ident.Zone{PlatformZone}, f.Deployment.Zones...) {
		if other != zone {
			do(zone, other)
		}
	}
}
