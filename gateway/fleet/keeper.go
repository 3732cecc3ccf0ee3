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

// lenderKey identifies a workspace's account in a zone.
type lenderKey struct {
	zone      ident.Zone
	workspace string
}

// onTokens answers a peer's request for tokens as the owner of a workspace's account. If the
// account holds too few, it first borrows from the owners in other zones.
func (n *Node) onTokens(ctx context.Context, _ peer.Identity, request TokenRequest) (TokenAnswer, error) {
	accounts := n.tokens.accounts
	result := TokenAnswer{Incarnation: n.opts.Self.Incarnation}
	share := n.share()
	if share <= 0 {
		result.WaitMS = addJitter(noOwnerRetry).Milliseconds()
		return result, nil
	}
	own := request.limitRequest(share)
	if request.Lend {
		result.Lent = accounts.Lend(clock.Now(), own, request.Balance)
		return result, nil
	}
	response := accounts.Take(clock.Now(), own)
	if request.Cost <= 0 {
		// The request only returns tokens.
		result.Granted, result.Balance = true, response.Balance
		return result, nil
	}
	if response.Granted && response.Balance < own.Share.Burst/2 {
		// Borrow in the background before the account is empty. Full accounts of other zones
		// accumulate no further tokens, so what they could have gained in the meantime would be
		// lost.
		go n.borrow(context.WithoutCancel(ctx), request, response)
	}
	if !response.Granted {
		n.borrow(ctx, request, response)
		own.Returned, own.LastReport = 0, nil
		response = accounts.Take(clock.Now(), own)
	}
	result.Granted, result.Balance = response.Granted, response.Balance
	if !response.Granted {
		result.WaitMS = accounts.RetryAfter(clock.Now(), request.Workspace, request.Cost).Milliseconds()
	}
	return result, nil
}

// borrow asks the other zones for the tokens that an account lacks, or for half of what they hold
// in excess of it. Concurrent requests that lack tokens of the same account wait for the same
// loans.
func (n *Node) borrow(ctx context.Context, request TokenRequest, refusal limit.Response) {
	// The function always returns a nil error.
	_, _, _ = n.tokens.borrows.Do(request.Workspace, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), borrowTimeout)
		defer cancel()
		n.borrowAll(ctx, request, refusal)
		return nil, nil
	})
}

// borrowAll asks all lenders concurrently and adds the lent tokens to the account.
func (n *Node) borrowAll(ctx context.Context, request TokenRequest, refusal limit.Response) {
	lenders := n.lenders(request.Workspace)
	loan := TokenRequest{
		Workspace: request.Workspace, Share: request.Share, Version: request.Version,
		Lend: true, Cost: refusal.Missing / float64(max(1, len(lenders))), Balance: refusal.Balance,
	}
	var wg sync.WaitGroup
	for zone, holder := range lenders {
		wg.Go(func() {
			answer, err := n.callOwner(ctx, holder, loan)
			if err != nil || answer.Lent <= 0 || answer.Lent < loan.Cost {
				n.recordEmptyLender(zone, request.Workspace)
			}
			n.tokens.accounts.AddBorrowed(request.Workspace, answer.Lent)
		})
	}
	wg.Wait()
}

// recordEmptyLender records that a zone has nothing to lend to a workspace for lenderRetryInterval.
func (n *Node) recordEmptyLender(zone ident.Zone, workspace string) {
	t := n.tokens
	t.mu.Lock()
	defer t.mu.Unlock()
	t.emptyUntil[lenderKey{zone, workspace}] = clock.Now().Add(lenderRetryInterval)
}

// lenders returns the owners of a workspace's accounts in the other zones, without the zones
// that recently had nothing to lend.
func (n *Node) lenders(workspace string) map[ident.Zone]dutyHolder {
	n.mu.Lock()
	zones := n.roster.OtherZones(clock.Now())
	n.mu.Unlock()
	out := map[ident.Zone]dutyHolder{}
	for _, zone := range zones {
		n.tokens.mu.Lock()
		empty := clock.Now().Before(n.tokens.emptyUntil[lenderKey{zone, workspace}])
		n.tokens.mu.Unlock()
		if empty {
			continue
		}
		if holder, ok := n.accountOwner(workspace, zone); ok {
			out[zone] = holder
		}
	}
	return out
}

// flushTokens returns unused tokens to the owners until ctx ends. It does not poll before the
// first use of a workspace's limit, so that an instance without limits has no wakeups.
func (n *Node) flushTokens(ctx context.Context) {
	for n.tokens.client.AwaitFirstUse(ctx) && pause.For(ctx, flushInterval) {
		for workspace, unused := range n.tokens.client.TakeIdle(clock.Now()) {
			n.returnToOwner(ctx, workspace, unused)
		}
	}
}

// returnToOwner returns tokens to the owner of a workspace's account. Tokens are lost to the
// workspace if the call fails.
func (n *Node) returnToOwner(ctx context.Context, workspace string, tokens float64) {
	s := n.Snapshot()
	if s.Table == nil {
		return
	}
	w := s.Table.WorkspaceByName(workspace)
	holder, ok := n.accountOwner(workspace, n.opts.Self.Zone)
	if w == nil || !ok {
		return
	}
	request := TokenRequest{Workspace: workspace, Share: limit.ShareOf(w.Limit, n.zoneCount()), Version: s.Version(), Returned: tokens}
	if _, err := n.callOwner(ctx, holder, request); err != nil {
		n.opts.Log.Info("tokens not given back", "workspace", workspace, "tokens", tokens, "peer", holder.id, "error", err)
	}
}
