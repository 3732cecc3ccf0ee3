package fleet

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/peer"
)

// MethodTrial asks a peer to allow a trial of a suspect content or part of prompts, or reports that
// one is over. In a trial, a single request with the subject is sent to an upstream to find out
// whether it crashes.
const MethodTrial = "gateway.trial"

const (
	// dutyTrial is the prefix of the name of the duty to allow trials of a subject. The subject
	// follows.
	dutyTrial = "trial/"
	// maxTrialOwners is the number of candidates for that duty that are asked one after the other.
	// When many instances have died at once, those ranked first still count as alive for some
	// seconds. All instances skip the same ones, since those refuse connections.
	maxTrialOwners = 8
	// trialTimeout bounds one call, which peers answer in a few milliseconds. trialTotalTimeout
	// bounds all of them together, since each call to an instance behind a network partition runs
	// into trialTimeout.
	trialTimeout      = 250 * time.Millisecond
	trialTotalTimeout = 500 * time.Millisecond
	// maxTrialEndReports is how often the end of a trial is reported at most. If no report arrives,
	// the trial expires.
	maxTrialEndReports = 2
)

// TrialRequest asks for a trial or ends one.
type TrialRequest struct {
	From ident.InstanceID `json:"from"`
	// Subject is what is on trial.
	Subject quarantine.Subject `json:"c"`
	// LastsMS is the longest duration of the trial in milliseconds.
	LastsMS int64 `json:"t,omitempty"`
	// Over is set if the trial is over.
	Over bool `json:"o,omitempty"`
	// Crashes is the sender's crash records of the subject, encoded by packCrashes, and Parts what
	// they show of parts, encoded by packParts. The result of a trial must be known before the next
	// one is allowed.
	Crashes []byte `json:"k,omitempty"`
	Parts   []byte `json:"p,omitempty"`
}

// TrialAnswer is the answer to a TrialRequest.
type TrialAnswer struct {
	Allowed bool `json:"a,omitempty"`
	// Crashes and Parts are the answering instance's crash records of the subject, encoded as in
	// TrialRequest. A trial that is allowed must not begin if they show that the subject is
	// quarantined.
	Crashes []byte `json:"k,omitempty"`
	Parts   []byte `json:"p,omitempty"`
}

// Begin implements carry.Trials. A single instance allows the trials of a subject, so that the
// fleet runs one at a time. If that instance cannot be asked, no trial begins and nothing is
// sent. Instances that differ on which peers are alive may ask different instances: during a
// network partition, each side runs its own trials.
func (n *Node) Begin(ctx context.Context, s quarantine.Subject, maxDuration time.Duration) (end func(), ok bool) {
	ctx, cancel := context.WithTimeout(ctx, trialTotalTimeout)
	defer cancel()
	request := n.trialRequest(s)
	request.LastsMS = maxDuration.Milliseconds()
	for _, owner := range n.trialOwners(s) {
		answer, err := n.askTrial(ctx, owner, request)
		if err != nil {
			n.opts.Log.Info("asking peer for a trial failed", "peer", owner, "subject", s.String(), "error", err)
			if ctx.Err() != nil {
				return nil, false
			}
			continue
		}
		n.receiveCrashes(answer.Crashes, answer.Parts)
		if !answer.Allowed {
			return nil, false
		}
		return func() { go n.endTrial(owner, s) }, true
	}
	return nil, false
}

// trialRequest returns a request about the trial of a subject, with this instance's crash records.
func (n *Node) trialRequest(s quarantine.Subject) TrialRequest {
	records := n.opts.Register.ShareRecords(clock.Now(), s)
	return TrialRequest{From: n.opts.Self.ID, Subject: s, Crashes: packCrashes(records), Parts: packParts(records)}
}

// trialOwners returns the addresses of the instances that may allow trials of a subject; see
// Roster.TrialOwners.
func (n *Node) trialOwners(s quarantine.Subject) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.TrialOwners(clock.Now(), s)
}

// TrialOwners returns the addresses of the instances that may allow trials of a subject, starting
// with the one that the duty is assigned to.
func (r *Roster) TrialOwners(now time.Time, s quarantine.Subject) []string {
	return r.holders(now, dutyTrial+s.String(), maxTrialOwners)
}

// askTrial sends a trial request to an instance, which may be this one.
func (n *Node) askTrial(ctx context.Context, address string, request TrialRequest) (TrialAnswer, error) {
	if address == n.opts.Self.Address {
		return n.onTrial(ctx, peer.Identity{}, request)
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	return peer.Call[TrialAnswer](ctx, n.opts.Pool, address, MethodTrial, request)
}

// endTrial reports to the instance that allowed a trial that it is over, with the crash records
// since then.
func (n *Node) endTrial(owner string, s quarantine.Subject) {
	for range maxTrialEndReports {
		request := n.trialRequest(s)
		request.Over = true
		if _, err := n.askTrial(context.Background(), owner, request); err == nil {
			return
		}
	}
	n.opts.Log.Info("reporting the end of a trial failed, it will expire", "peer", owner, "subject", s.String())
}

// onTrial allows a trial or ends one. It allows none if the subject is a quarantined content or if
// another trial of it is running.
func (n *Node) onTrial(_ context.Context, _ peer.Identity, request TrialRequest) (TrialAnswer, error) {
	n.receiveCrashes(request.Crashes, request.Parts)
	now := clock.Now()
	if request.Over {
		n.trials.End(request.Subject, request.From)
		return TrialAnswer{}, nil
	}
	maxDuration := time.Duration(request.LastsMS) * time.Millisecond
	quarantined := n.opts.Register.Verdict(now, quarantine.Content(request.Subject)).Standing == quarantine.Quarantined
	allowed := !quarantined && n.trials.Begin(now, request.Subject, request.From, maxDuration)
	records := n.opts.Register.ShareRecords(now, request.Subject)
	return TrialAnswer{Allowed: allowed, Crashes: packCrashes(records), Parts: packParts(records)}, nil
}
