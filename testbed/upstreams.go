package testbed

import (
	"strconv"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// startUpstreams allocates addresses and starts a stand-in for every upstream that
// the bundle declares.
func (f *Fleet) startUpstreams() error {
	for _, u := range f.Deployment.Content.Upstreams {
		address, err := f.ports.Next()
		if err != nil {
			return err
		}
		f.Addresses[u.ID] = address
		if err := f.relayTo(address, f.Deployment.ZoneOf(u.ID)); err != nil {
			return err
		}
	}
	f.ports.Release()
	for _, u := range f.Deployment.Content.Upstreams {
		if err := f.StartUpstream(u.ID); err != nil {
			return err
		}
	}
	return nil
}

// StartUpstream starts or restarts the stand-in of one upstream.
func (f *Fleet) StartUpstream(id ident.UpstreamID) error {
	for _, u := range f.Deployment.Content.Upstreams {
		if u.ID != id {
			continue
		}
		args := append(f.engineArgs(u), f.options.EngineArgs...)
		if u.Role == config.RoleService {
			args = serviceArgs(u)
		}
		args = append(args, "--listen", f.Addresses[id], "--id", string(id))
		p, err := start(string(id), f.Addresses[id], f.logDir, f.programs.Standin, args...)
		if err != nil {
			return err
		}
		f.Upstreams[id] = p
	}
	return nil
}

// serviceTime is the processing time of one call to a stand-in service.
const serviceTime = 20 * time.Millisecond

func serviceArgs(u config.Upstream) []string {
	return []string{"service", "--service", u.Service, "--delay", serviceTime.String()}
}

// engineArgs returns the arguments that give a stand-in engine the properties
// declared in the bundle.
func (f *Fleet) engineArgs(u config.Upstream) []string {
	args := []string{"engine", "--role", string(u.Role)}
	for _, m := range u.Models {
		args = append(args, "--model", m)
		for _, decl := range f.Deployment.Content.Models {
			if decl.Name != m {
				continue
			}
			args = append(args,
				"--piece-tokens", strconv.Itoa(decl.PieceTokens),
				"--kv-bytes-per-token", strconv.FormatInt(decl.KVBytesPerToken, 10))
		}
	}
	for _, a := range u.Adapters {
		args = append(args, "--adapter", a)
	}
	if u.Version != "" {
		args = append(args, "--weights", u.Version)
	}
	if u.ChecksFencing {
		args = append(args, "--checks-fencing")
	}
	return append(args, rateArgs(u)...)
}

// rateArgs returns the arguments for the sizes and rates that the bundle declares
// for an engine.
func rateArgs(u config.Upstream) []string {
	var args []string
	if u.Slots > 0 {
		args = append(args, "--slots", strconv.Itoa(u.Slots))
	}
	if u.Pieces > 0 {
		args = append(args, "--pieces", strconv.Itoa(u.Pieces))
	}
	if u.PrefillTokensPerSecond > 0 {
		args = append(args, "--prefill-tokens-per-second", strconv.FormatFloat(u.PrefillTokensPerSecond, 'f', -1, 64))
	}
	if u.LinkBytesPerSecond > 0 {
		args = append(args, "--link-bytes-per-second", strconv.FormatFloat(u.LinkBytesPerSecond, 'f', -1, 64))
	}
	if u.DecodeStep > 0 {
		args = append(args, "--decode-step", u.DecodeStep.String())
	}
	if u.DecodeStepPerRequest > 0 {
		args = append(args, "--decode-step-per-request", u.DecodeStepPerRequest.String())
	}
	return args
}
