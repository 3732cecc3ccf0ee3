// Package configservice is a client of the platform's configuration service, which
// can only be read and watched. It also defines the keys and documents found there.
package configservice

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Keys of the configuration service.
const (
	// KeyBundleHead holds the head of the newest published bundle.
	KeyBundleHead = "bundle/head"
	// KeyBundleParts prefixes the content-addressed parts of bundles; the
	// lower-case hexadecimal SHA-256 of the part follows.
	KeyBundleParts = "bundle/parts/"
	// KeyRoll holds the current signed roll document.
	KeyRoll = "roll/current"
	// KeyInstances holds an Instances document.
	KeyInstances = "instances"
	// KeyUpstreams holds an Upstreams document.
	KeyUpstreams = "upstreams"
)

// State is the platform's intent for a process.
type State string

// The states.
const (
	// StateLive marks a process that the platform keeps running.
	StateLive State = "live"
	// StateLeaving marks a process that the platform will stop soon.
	StateLeaving State = "leaving"
)

// Instances is the platform's list of entry instances, under KeyInstances. It may
// lag behind the actual state.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// Instance is one entry instance in the platform's list.
type Instance struct {
	ID     ident.InstanceID `json:"id"`
	Zone   ident.Zone       `json:"zone"`
	Region ident.Region     `json:"region"`
	// PeerAddress is the address for other instances, as IP:port.
	PeerAddress string `json:"peer_address"`
	// AgentAddress is the address of its agent for other instances, as IP:port.
	AgentAddress string `json:"agent_address,omitempty"`
	// CallerAddress is the address for callers, as IP:port.
	CallerAddress string `json:"caller_address"`
	State         State  `json:"state"`
}

// Upstreams is the platform's list of upstreams, under KeyUpstreams. It may lag
// behind the actual state.
type Upstreams struct {
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one back end in the platform's list.
type Upstream struct {
	ID   ident.UpstreamID `json:"id"`
	Zone ident.Zone       `json:"zone"`
	// Address is the upstream's HTTP address, as IP:port.
	Address string      `json:"address"`
	Role    config.Role `json:"role"`
	// Models lists the models of an engine.
	Models []string `json:"models,omitempty"`
	// Service is the name of the plain service, for config.RoleService.
	Service string `json:"service,omitempty"`
	State   State  `json:"state"`
	// Incarnation distinguishes successive runs of the upstream, 0 if the
	// platform does not know.
	Incarnation ident.Incarnation `json:"incarnation,omitempty"`
	// SoftwareVersion is the version of the software that the incarnation runs,
	// "" if the platform does not state it.
	SoftwareVersion string `json:"software_version,omitempty"`
}
