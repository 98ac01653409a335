package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/fleet/relay"
	"tanagercross/internal/instance/clock"
)

// lease is the promotion lease as claimed by an instance.
type lease struct {
	Claim
	until time.Duration // end of the lease by the clock of this instance
}

// claim acquires or renews the promotion lease, with a fencing token above the given one. The returned claim names another
// holder if that one's lease has not expired. The first claim of a process raises the token, because an instance that ran
// under the same name may have left an order without an answer.
func (g *failover) claim(ctx context.Context, above uint64) (lease, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, err := g.claimOnce(ctx, above)
	if err != nil || claim.Holder != g.n.settings.Name || g.hasClaimed.Load() {
		return claim, err
	}
	if claim, err = g.claimOnce(ctx, claim.Token); err == nil && claim.Holder == g.n.settings.Name {
		g.hasClaimed.Store(true)
	}
	return claim, err
}

// claimOnce makes one claim.
func (g *failover) claimOnce(ctx context.Context, above uint64) (lease, error) {
	asked := g.n.boot()
	claim, err := g.n.options.Store.Claim(ctx, promotionLeaseName, g.n.settings.Name, above, g.n.settings.PromotionLease)
	g.n.observer.dependency("store duties", err)
	if err != nil {
		return lease{}, err
	}
	g.n.log.Info("duty", "holder", claim.Holder, "token", claim.Token, "remaining_ms", claim.Remaining.Milliseconds())
	return lease{Claim: claim, until: asked + claim.Remaining}, nil
}

// renew returns the claim, renewed if it could end while an order is awaited. It fails if another instance has held the
// lease meanwhile: that one may have promoted a server or paused replicas.
func (g *failover) renew(ctx context.Context, claim lease) (lease, error) {
	if claim.until-g.n.boot() > promoteTimeout {
		return claim, nil
	}
	renewed, err := g.claim(ctx, 0)
	if err != nil {
		return claim, err
	}
	if renewed.Holder != claim.Holder || renewed.Token != claim.Token {
		return claim, eris.Errorf("the duty was taken over by %s with token %d", renewed.Holder, renewed.Token)
	}
	return renewed, nil
}

// raiseToken renews the lease with a token above the given one, so that the platform refuses orders with that one.
func (g *failover) raiseToken(ctx context.Context, claim lease, above uint64) (lease, error) {
	higher, err := g.claim(ctx, above)
	if err != nil {
		return claim, err
	}
	if higher.Holder != claim.Holder {
		return claim, eris.Errorf("the duty has passed to %s", higher.Holder)
	}
	return higher, nil
}

// forwardToHolder requests the change from the holder of the promotion lease. If the holder cannot be reached, it waits for
// the end of the lease, at most a second, and returns an error, so that the next check of the group tries again.
func (g *failover) forwardToHolder(ctx context.Context, claim lease, x relay.PrimaryChange) error {
	end := g.n.boot() + min(claim.Remaining, time.Second)
	if m, ok := g.n.table.Roster().Member(claim.Holder); ok {
		call, cancel := context.WithTimeout(ctx, claim.Remaining)
		accepted, _, err := g.n.client.ChangePrimary(call, m.Address, x)
		cancel()
		if err == nil {
			g.n.log.Info("change of primary handed over", "group", x.Group, "holder", claim.Holder, "accepted", accepted)
			clock.Sleep(ctx, time.Second)
			return nil
		}
	}
	clock.Sleep(ctx, max(0, end-g.n.boot()))
	return eris.Errorf("the duty is held by %s, which is not reached", claim.Holder)
}
