package testbed

import (
	"encoding/base64"
	"fmt"
	"strings"
)

// ticketSecret is the ticket secret shared by all instances of a testbed.
var ticketSecret = base64.StdEncoding.EncodeToString([]byte("wardspool testbed ticket secret, 32+ bytes"))

// OperatorName is the identity that operators' tools use on a testbed.
const OperatorName = "ops-1"

// entrySettings returns the text of an entry's settings file.
func (f *Fleet) entrySettings(in *Instance) string {
	var b strings.Builder
	fmt.Fprintf(&b, "instance: %s\nzone: %s\nregion: %s\n", in.ID, in.Zone, f.Deployment.Region)
	f.writeCallers(&b, in)
	f.writeTLS(&b, in)
	fmt.Fprintf(&b, "feed: {listen: %q}\n", in.Feed)
	fmt.Fprintf(&b, "operators: {listen: %q, names: [%s]}\n", in.Operator, OperatorName)
	f.writeLog(&b)
	fmt.Fprintf(&b, "stop: {grace: 500ms, timeout: 60s}\n")
	fmt.Fprintf(&b, "tickets: {keys: [{id: k1, secret: %q}]}\n", ticketSecret)
	fmt.Fprintf(&b, "peers:\n  listen: %q\n  known:\n", in.Peer)
	for _, other := range f.Instances {
		if other != in {
			fmt.Fprintf(&b, "    - {instance: %s, address: %q}\n", other.ID, f.dialAddress(other.Peer))
		}
	}
	if f.options.Static {
		f.writeStatic(&b)
	}
	return b.String()
}

// writeLog writes the log level, if the options set one.
func (f *Fleet) writeLog(b *strings.Builder) {
	if f.options.LogLevel != "" {
		fmt.Fprintf(b, "log: {level: %s}\n", f.options.LogLevel)
	}
}

// writeStatic writes the settings that replace the agent in a static fleet.
func (f *Fleet) writeStatic(b *strings.Builder) {
	fmt.Fprintf(b, "static:\n  bundle: %q\n  upstreams:\n", f.Deployment.Source)
	for _, u := range f.Deployment.Content.Upstreams {
		fmt.Fprintf(b, "    - {id: %s, zone: %s, address: %q}\n", u.ID, f.Deployment.ZoneOf(u.ID), f.Addresses[u.ID])
	}
}

// agentSettings returns the text of an agent's settings file.
func (f *Fleet) agentSettings(in *Instance) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "instance: %s\nzone: %s\nregion: %s\n", in.ID, in.Zone, f.Deployment.Region)
	f.writeLog(&b)
	f.writeTLS(&b, in)
	fmt.Fprintf(&b, "entry: {feed: %q}\n", in.Feed)
	fmt.Fprintf(&b, "operators: {listen: %q, names: [%s]}\n", in.AgentOperator, OperatorName)
	fmt.Fprintf(&b, "platform: {urls: [%q]}\n", "http://"+f.dialAddress(f.Platform.Address))
	fmt.Fprintf(&b, "peers:\n  listen: %q\n  seeds:\n", in.AgentPeer)
	for _, other := range f.Instances {
		if other != in {
			fmt.Fprintf(&b, "    - {instance: %s, zone: %s, address: %q, entry: %q}\n", other.ID, other.Zone, f.dialAddress(other.AgentPeer), f.dialAddress(other.Peer))
		}
	}
	approvers := f.Operators.Approvers()
	fmt.Fprintf(&b, "approvers:\n  epoch: %d\n  quorum: %d\n  keys:\n", approvers.Epoch, approvers.Quorum)
	for _, k := range approvers.Keys {
		text, err := k.Key.MarshalText()
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "    - {name: %s, key: %q}\n", k.Name, text)
	}
	return b.String(), nil
}
