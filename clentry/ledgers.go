// This file defines the booking records of all services, as the entry uses them.

package clentry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clbooking"
	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
)

// ledgers keeps a ledger for each service with non-repeatable calls.
type ledgers struct {
	node       *clpeer.Node
	transport  *clpeer.Transport
	store      *watchedStore
	policy     clbooking.Policy
	partitions uint32
	maxAnswer  int
	log        *zap.Logger
	ids        *clbooking.AttemptIDs

	mu        sync.Mutex
	ctx       context.Context
	byService map[string]*clbooking.Ledger
	running   sync.WaitGroup
}

var _ clpeer.Bookings = (*ledgers)(nil)

// init prepares the ledgers, which run until ctx ends.
func (l *ledgers) init(ctx context.Context) {
	l.ctx = ctx
	l.byService = make(map[string]*clbooking.Ledger)
}

// get returns the service's ledger and starts it at first use.
func (l *ledgers) get(svc *clstate.Service) *clbooking.Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	ledger := l.byService[svc.GetName()]
	if ledger == nil {
		ledger = l.newLedger(svc)
		l.byService[svc.GetName()] = ledger
		l.running.Add(1)
		go l.run(ledger)
	}
	return ledger
}

func (l *ledgers) newLedger(svc *clstate.Service) *clbooking.Ledger {
	name := svc.GetName()
	return &clbooking.Ledger{
		Config:     clbooking.PartitionConfig{Service: name, Policy: l.policy, Window: svc.GetResendWindow().AsDuration()},
		Partitions: l.partitions, Store: l.store, MaxAnswerBytes: l.maxAnswer,
		Forward: func(ctx context.Context, partition uint32, records []*clstate.BookingRecord) ([]*clstate.BookingRecord, bool, error) {
			return l.forward(ctx, name, partition, records)
		},
	}
}

func (l *ledgers) run(ledger *clbooking.Ledger) {
	defer l.running.Done()
	if err := ledger.Run(l.ctx); err != nil && l.ctx.Err() == nil {
		l.log.Error("Booking ledger stopped.", zap.Error(err))
	}
}

// forward sends records to the entry that usually writes the partition.
func (l *ledgers) forward(ctx context.Context, service string, partition uint32, records []*clstate.BookingRecord) ([]*clstate.BookingRecord, bool, error) {
	self := l.node.Self()
	owner, ok := l.node.Owner(fmt.Sprintf("booking/%s/%d", service, partition), clmember.Filter{Role: self.Role})
	if !ok || owner.ID == self.ID {
		return nil, false, nil
	}
	resp, err := l.transport.Peer(owner.Address).ClaimBookings(ctx, &clwire.ClaimBookingsRequest{
		Service: service, Partition: partition, Records: records,
	})
	if err != nil {
		return nil, true, err
	}
	if len(resp.GetRecords()) != len(records) {
		return nil, true, errors.Errorf("%d records came back for %d", len(resp.GetRecords()), len(records))
	}
	return resp.GetRecords(), true, nil
}

// ClaimBookings implements clpeer.Bookings.
func (l *ledgers) ClaimBookings(ctx context.Context, r *clwire.ClaimBookingsRequest) (*clwire.ClaimBookingsResponse, error) {
	l.mu.Lock()
	ledger := l.byService[r.GetService()]
	l.mu.Unlock()
	if ledger == nil {
		return nil, twirp.NotFoundError("the service is not known here yet; write the records yourself")
	}
	records, err := ledger.Apply(ctx, r.GetPartition(), r.GetRecords())
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &clwire.ClaimBookingsResponse{Records: records}, nil
}

// applyView starts the ledgers of services that need one.
func (l *ledgers) applyView(v *view) {
	for _, svc := range v.services {
		if len(svc.GetNonRepeatable()) > 0 {
			l.get(svc)
		}
	}
}

// flush stores all outcomes that wait.
func (l *ledgers) flush(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, ledger := range l.byService {
		if err := ledger.Flush(ctx); err != nil {
			l.log.Error("Outcomes of bookings could not be stored. Resends will get an unknown outcome.",
				zap.String("service", name), zap.Error(err))
		}
	}
}
