package fleet

import (
	"context"
	"sync"

	"github.com/wardspool/wardspool/gateway/limit"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/peer"
)

// dryKey identifies a workspace's account in a zone.
type dryKey struct {
	zone      ident.Zone
	workspace string
}

// onTokens answers a peer's request for tokens as the keeper of a workspace's account. If the
// account holds too few, it first borrows from the keepers in other zones.
func (n *Node) onTokens(ctx context.Context, _ peer.Identity, q TokenRequest) (TokenAnswer, error) {
	accounts := n.tokens.accounts
	out := TokenAnswer{Incarnation: n.o.Self.Incarnation}
	if q.Lend {
		out.Lent = accounts.Lend(clock.Now(), q.ask(), q.Level)
		return out, nil
	}
	a := accounts.Take(clock.Now(), q.ask())
	if q.Cost <= 0 {
		// The request only returns tokens.
		out.Granted, out.Level = true, a.Level
		return out, nil
	}
	if a.Granted && a.Level < q.Part.Burst/2 {
		// Refill the account in the background. Accounts of other zones that are full would not
		// accumulate further tokens in the meantime.
		go n.borrow(context.WithoutCancel(ctx), q, a)
	}
	if !a.Granted {
		n.borrow(ctx, q, a)
		again := q.ask()
		again.Back, again.Told = 0, nil
		a = accounts.Take(clock.Now(), again)
	}
	out.Granted, out.Level = a.Granted, a.Level
	if !a.Granted {
		out.WaitMS = accounts.Refuse(clock.Now(), q.Workspace, q.Cost).Milliseconds()
	}
	return out, nil
}

// borrow asks the other zones for the tokens that an account lacks, or for half of what they hold
// in excess of it. Concurrent requests that lack tokens of the same account wait for the same
// loans.
func (n *Node) borrow(ctx context.Context, q TokenRequest, short limit.Answer) {
	// The function always returns a nil error.
	_, _, _ = n.tokens.borrows.Do(q.Workspace, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), borrowTimeout)
		defer cancel()
		n.borrowAll(ctx, q, short)
		return nil, nil
	})
}

// borrowAll asks all lenders concurrently and adds the lent tokens to the account.
func (n *Node) borrowAll(ctx context.Context, q TokenRequest, short limit.Answer) {
	lenders := n.lenders(q.Workspace)
	question := TokenRequest{
		Workspace: q.Workspace, Part: q.Part, Version: q.Version,
		Lend: true, Cost: short.Short / float64(max(1, len(lenders))), Level: short.Level,
	}
	var asked sync.WaitGroup
	for zone, k := range lenders {
		asked.Go(func() {
			answer, err := n.callKeeper(ctx, k, question)
			if err != nil || answer.Lent <= 0 || answer.Lent < question.Cost {
				n.dry(zone, q.Workspace)
			}
			n.tokens.accounts.Borrowed(q.Workspace, answer.Lent)
		})
	}
	asked.Wait()
}

// dry records that a zone has nothing to lend to a workspace for borrowAgain.
func (n *Node) dry(zone ident.Zone, workspace string) {
	t := n.tokens
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dry[dryKey{zone, workspace}] = clock.Now().Add(borrowAgain)
}

// lenders returns the keepers of a workspace's accounts in the other zones, without the zones
// that recently had nothing to lend.
func (n *Node) lenders(workspace string) map[ident.Zone]duty {
	n.mu.Lock()
	zones := n.roster.OtherZones(clock.Now())
	n.mu.Unlock()
	out := map[ident.Zone]duty{}
	for _, zone := range zones {
		n.tokens.mu.Lock()
		dry := clock.Now().Before(n.tokens.dry[dryKey{zone, workspace}])
		n.tokens.mu.Unlock()
		if dry {
			continue
		}
		if k, ok := n.keeper(workspace, zone); ok {
			out[zone] = k
		}
	}
	return out
}

// flushTokens returns unused tokens to the keepers until ctx ends. It does not poll before the
// first use of a workspace's limit, so that an instance without limits has no wakeups.
func (n *Node) flushTokens(ctx context.Context) {
	for n.tokens.client.AwaitFirstUse(ctx) && pause.For(ctx, flushInterval) {
		for workspace, back := range n.tokens.client.Idle(clock.Now()) {
			n.giveBack(ctx, workspace, back)
		}
	}
}

// giveBack returns tokens to the keeper of a workspace's account. Tokens are lost to the
// workspace if the call fails.
func (n *Node) giveBack(ctx context.Context, workspace string, tokens float64) {
	s := n.Snapshot()
	if s.Table == nil {
		return
	}
	w := s.Table.Named(workspace)
	k, ok := n.keeper(workspace, n.o.Self.Zone)
	if w == nil || !ok {
		return
	}
	q := TokenRequest{Workspace: workspace, Part: limit.PartOf(w.Limit, n.zoneCount()), Version: s.Version(), Back: tokens}
	if _, err := n.callKeeper(ctx, k, q); err != nil {
		n.o.Log.Info("tokens not given back", "workspace", workspace, "tokens", tokens, "peer", k.id, "error", err)
	}
}
