// This file exchanges the costs of the accounts' requests by digests.

package clnode

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/limits/clshare"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

// maxWireCost is the highest cost in a digest. The allocator's totals start anew there.
const maxWireCost = 1 << 53

// newShareAllocator returns the allocator of the gateway.
func (n *Node) newShareAllocator(seed uint64) *clshare.Allocator {
	return &clshare.Allocator{Rand: rand.New(rand.NewPCG(seed, rand.Uint64())), OnChange: n.logShortage}
}

// applyShareConfig passes the accounts' weights and the services to the allocator, if the
// settings ask for shares.
func (n *Node) applyShareConfig(c *clcatalog.Catalog) {
	if !n.Settings.FairShares {
		return
	}
	n.gateway.Shares.SetWeights(c.ShareWeights())
	n.gateway.Shares.SetServices(lo.Map(c.Services, func(s clcatalog.Service, _ int) string { return s.Name }))
}

// fillServiceCosts adds the costs of the services in shortage to a digest.
func (n *Node) fillServiceCosts(d *clgossip.Digest, now time.Time) {
	for _, t := range n.gateway.Shares.Totals(now) {
		d.ServiceCosts = append(d.ServiceCosts, &clgossip.ServiceCost{
			Service: t.Service, Offered: wireCost(t.Offered), Admitted: wireCost(t.Admitted), Refused: wireCost(t.Refused),
			Accounts: lo.Map(t.Accounts, func(a clshare.AccountTotals, _ int) *clgossip.AccountCost {
				c := &clgossip.AccountCost{Account: a.Account, Served: wireCost(a.Served)}
				for class, cost := range a.Offered {
					if cost > 0 {
						c.Offered = append(c.Offered, make([]uint64, class-len(c.Offered))...)
						c.Offered = append(c.Offered, wireCost(cost))
					}
				}
				return c
			}),
		})
	}
}

// wireCost returns the cost as an integer, and 0 for what is no number.
func wireCost(cost float64) uint64 {
	if !(cost > 0) {
		return 0
	}
	return uint64(math.Round(min(cost, maxWireCost)))
}

// applyServiceCosts passes the costs in a digest from another gateway to the allocator.
func (n *Node) applyServiceCosts(d *clgossip.Digest, now time.Time) {
	if d.GetLeaving() {
		n.gateway.Shares.ForgetPeer(d.GetName())
		return
	}
	n.gateway.Shares.RecordPeer(d.GetName(), d.GetBoot(), lo.Map(d.GetServiceCosts(), func(s *clgossip.ServiceCost, _ int) clshare.Totals {
		return clshare.Totals{
			Service: s.GetService(), Offered: float64(s.GetOffered()), Admitted: float64(s.GetAdmitted()), Refused: float64(s.GetRefused()),
			Accounts: lo.Map(s.GetAccounts(), func(c *clgossip.AccountCost, _ int) clshare.AccountTotals {
				a := clshare.AccountTotals{Account: c.GetAccount(), Served: float64(c.GetServed())}
				for class, cost := range c.GetOffered()[:min(len(c.GetOffered()), clshare.Classes)] {
					a.Offered[class] = float64(cost)
				}
				return a
			}),
		}
	}), now)
}

// logShortage logs that the shortage of a service has begun or ended.
func (n *Node) logShortage(c clshare.Change) {
	message := "shortage of a service has ended"
	if c.Short {
		message = "shortage of a service has begun"
	}
	n.Logger.Info(message, zap.String("service", c.Service), zap.Float64("refused_fraction", c.RefusedFraction), zap.Float64("offered", c.Offered),
		zap.Float64("capacity", c.Capacity), zap.Any("shares", c.Shares))
}
