package testbed

import (
	"context"
	"encoding/json"

	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
)

// startPlatform starts the stand-in platform, publishes the lists of instances and
// upstreams and the first bundle to it, and rolls the bundle out to all instances.
func (f *Fleet) startPlatform(ctx context.Context) error {
	if f.options.Static {
		return nil
	}
	address, err := f.ports.Next()
	if err != nil {
		return err
	}
	if err := f.relayTo(address, PlatformZone); err != nil {
		return err
	}
	f.ports.Release()
	f.Platform, err = start("platform", address, f.logDir, f.programs.Standin, "platform", "--listen", address)
	if err != nil {
		return err
	}
	if err := f.waitHTTP(ctx, f.Platform, "http://"+address+"/v1/keys?prefix=none"); err != nil {
		return err
	}
	f.Operators = NewBundlePublisher(address, "testbed "+f.Deployment.Name)
	if err := f.PublishLists(ctx); err != nil {
		return err
	}
	if err := f.Operators.Publish(ctx, f.Deployment.Content); err != nil {
		return err
	}
	return f.Operators.RollAll(ctx)
}

// PublishLists publishes the platform's lists of instances and upstreams. Those
// whose IDs are in leaving are listed in state "leaving".
func (f *Fleet) PublishLists(ctx context.Context, leaving ...string) error {
	leavingIDs := map[string]bool{}
	for _, id := range leaving {
		leavingIDs[id] = true
	}
	if err := f.putJSON(ctx, configservice.KeyInstances, f.instanceList(leavingIDs)); err != nil {
		return err
	}
	return f.putJSON(ctx, configservice.KeyUpstreams, f.upstreamList(leavingIDs))
}

func (f *Fleet) putJSON(ctx context.Context, key string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return f.Operators.Platform.PutKey(ctx, key, b)
}

func (f *Fleet) instanceList(leaving map[string]bool) configservice.Instances {
	var list configservice.Instances
	for _, in := range f.Instances {
		list.Instances = append(list.Instances, configservice.Instance{
			ID:            in.ID,
			Zone:          in.Zone,
			Region:        f.Deployment.Region,
			PeerAddress:   f.dialAddress(in.Peer),
			AgentAddress:  f.dialAddress(in.AgentPeer),
			CallerAddress: in.Callers,
			State:         stateOf(leaving[string(in.ID)]),
		})
	}
	return list
}

func (f *Fleet) upstreamList(leaving map[string]bool) configservice.Upstreams {
	var list configservice.Upstreams
	for _, u := range f.Deployment.Content.Upstreams {
		list.Upstreams = append(list.Upstreams, configservice.Upstream{
			ID:      u.ID,
			Zone:    f.Deployment.ZoneOf(u.ID),
			Address: f.dialAddress(f.Addresses[u.ID]),
			Role:    u.Role,
			Models:  u.Models,
			Service: u.Service,
			State:   stateOf(leaving[string(u.ID)]),

			SoftwareVersion: f.options.SoftwareVersions[u.ID],
		})
	}
	return list
}

func stateOf(leaving bool) configservice.State {
	if leaving {
		return configservice.StateLeaving
	}
	return configservice.StateLive
}

// StartAgent starts or restarts an instance's agent.
func (f *Fleet) StartAgent(in *Instance) error {
	text, err := f.agentSettings(in)
	if err != nil {
		return err
	}
	path, err := f.writeSettings(string(in.ID)+"-agent.yaml", text)
	if err != nil {
		return err
	}
	in.Agent, err = start(string(in.ID)+"-agent", in.AgentPeer, f.logDir, f.programs.Agent, "--settings", path)
	if err != nil {
		return err
	}
	f.recordZone(in.Agent, in.Zone)
	return nil
}

// Instance returns the instance with the given ID, nil if there is none.
func (f *Fleet) Instance(id ident.InstanceID) *Instance {
	for _, in := range f.Instances {
		if in.ID == id {
			return in
		}
	}
	return nil
}
