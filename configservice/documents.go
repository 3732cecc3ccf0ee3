// Package configservice is the system's interface to the platform's configuration
// service, which can only be read and watched, and the documents found there.
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

// State says whether the platform keeps a process running.
type State string

// The states.
const (
	// StateLive marks a process that the platform keeps running.
	StateLive State = "live"
	// StateLeaving marks a process that the platform will stop soon.
	StateLeaving State = "leaving"
)

// Instances is the platform's list of entry instances, under KeyInstances. It
// lags behind the truth.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// Instance is one entry instance as the platform lists it.
type Instance struct {
	ID     ident.InstanceID `json:"id"`
	Zone   ident.Zone       `json:"zone"`
	Region ident.Region     `json:"region"`
	// PeerAddress is where other instances reach it, as IP:port.
	PeerAddress string `json:"peer_address"`
	// AgentAddress is where other instances reach its agent, as IP:port.
	AgentAddress string `json:"agent_address,omitempty"`
	// CallerAddress is where callers reach it, as IP:port.
	CallerAddress string `json:"caller_address"`
	State         State  `json:"state"`
}

// Upstreams is the platform's list of upstreams, under KeyUpstreams. It lags
// behind the truth.
type Upstreams struct {
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one back end as the platform lists it.
type Upstream struct {
	ID   ident.UpstreamID `json:"id"`
	Zone ident.Zone       `json:"zone"`
	// Address is where the upstream serves HTTP, as IP:port.
	Address string      `json:"address"`
	Role    config.Role `json:"role"`
	// Models lists the models of an engine.
	Models []string `json:"models,omitempty"`
	// Service names the plain service, for config.RoleService.
	Service string `json:"service,omitempty"`
	State   State  `json:"state"`
	// Incarnation numbers the upstream's life, 0 if the platform doesn't know.
	Incarnation ident.Incarnation `json:"incarnation,omitempty"`
}
