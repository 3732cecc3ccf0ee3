package main

import (
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/lease"
	"github.com/wardspool/wardspool/plugins/slots/none"
	"github.com/wardspool/wardspool/plugins/slots/probe"
	"github.com/wardspool/wardspool/plugins/slots/shares"
)

// policy is a slot policy with its settings and the name shown in the tables.
type policy struct {
	name string
	make func() kernel.SlotPolicy
}

func leaseWith(name string, s lease.Settings) policy {
	return policy{name: name, make: func() kernel.SlotPolicy { return &lease.Policy{Settings: s} }}
}

func probeWith(name string, s probe.Settings) policy {
	return policy{name: name, make: func() kernel.SlotPolicy { return &probe.Policy{Settings: s} }}
}

var (
	leaseDefault  = leaseWith("lease", lease.Settings{})
	sharesDefault = policy{name: "shares", make: func() kernel.SlotPolicy { return &shares.Policy{} }}
	probeDefault  = probeWith("probe", probe.Settings{})
	noneDefault   = policy{name: "none", make: func() kernel.SlotPolicy { return &none.Policy{} }}
)

var allPolicies = []policy{leaseDefault, sharesDefault, probeDefault, noneDefault}
