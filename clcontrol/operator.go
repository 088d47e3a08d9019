// This file defines the operators' API.

package clcontrol

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clrevision"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/samber/lo"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
)

const (
	leasePrefix      = "lease/"
	maxOperatorBytes = 1 << 20
	operatorScheme   = "Bearer "
	planFactLifetime = 30 * time.Second
)

// operatorServer implements the operators' twirp service.
type operatorServer struct {
	plans     *planStore
	leases    *store[*clstate.Lease]
	configs   *store[*clstate.ConfigSnapshot]
	editor    *editor
	node      *clpeer.Node
	instances clplatform.Instances
	pace      pace
}

var _ clwire.Operator = (*operatorServer)(nil)

// guardOperators refuses calls without a valid operator's token.
func guardOperators(tokens []string, next http.Handler) http.Handler {
	digests := lo.Map(tokens, func(t string, _ int) [sha256.Size]byte { return sha256.Sum256([]byte(operatorScheme + t)) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
		ok := false
		for _, d := range digests {
			ok = subtle.ConstantTimeCompare(got[:], d[:]) == 1 || ok
		}
		if !ok {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated,
				"the operator token is missing or wrong; pass one of the tokens in the control process's settings"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxOperatorBytes)
		next.ServeHTTP(w, r)
	})
}

// Apply adds or replaces services, data centres and accounts.
func (s *operatorServer) Apply(ctx context.Context, r *clwire.ApplyRequest) (*clwire.ApplyResponse, error) {
	cfg, err := s.editor.changeAt(ctx, r.GetIfRevision(), "apply", func(c *clstate.ConfigSnapshot) (bool, error) {
		before := clone(c)
		c.Services = removeByName(replaceByName(c.Services, r.GetServices()), r.GetRemoveServices())
		c.DataCentres = replaceByName(c.DataCentres, r.GetDataCentres())
		c.Accounts = removeByName(replaceByName(c.Accounts, r.GetAccounts()), r.GetRemoveAccounts())
		return !proto.Equal(before, c), nil
	})
	if err != nil {
		return nil, twirpError(err)
	}
	return &clwire.ApplyResponse{Revision: cfg.GetRevision()}, nil
}

// GetConfig returns the accepted configuration.
func (s *operatorServer) GetConfig(ctx context.Context, _ *clwire.GetConfigRequest) (*clwire.GetConfigResponse, error) {
	cur, err := s.configs.get(ctx, clpeer.ConfigKey)
	if err != nil {
		return nil, twirpError(err)
	}
	return &clwire.GetConfigResponse{Config: cur.value}, nil
}

// StateIntent answers an intent with a proposed plan.
func (s *operatorServer) StateIntent(ctx context.Context, r *clwire.StateIntentRequest) (*clwire.StateIntentResponse, error) {
	cur, err := s.configs.get(ctx, clpeer.ConfigKey)
	if err != nil {
		return nil, twirpError(err)
	}
	p, err := planFor(cur.value, r.GetIntent(), s.pace, time.Now())
	if err != nil {
		return nil, twirpError(err)
	}
	p.Id = uuid.Must(uuid.NewV7()).String()
	p.ProposedBy = r.GetOperator()
	p.UpdateId = uuid.NewString()
	if err := s.plans.put(ctx, planPrefix+p.GetId(), p, 0); err != nil {
		return nil, twirpError(err)
	}
	return &clwire.StateIntentResponse{Plan: p}, nil
}

// GetPlan returns one plan.
func (s *operatorServer) GetPlan(ctx context.Context, r *clwire.GetPlanRequest) (*clwire.GetPlanResponse, error) {
	p, ok, err := s.plans.find(ctx, r.GetId())
	if err != nil {
		return nil, twirpError(err)
	}
	if !ok {
		return nil, noPlan(r.GetId())
	}
	return &clwire.GetPlanResponse{Plan: p}, nil
}

// ListPlans returns all plans, open and finished, in the order of their creation.
func (s *operatorServer) ListPlans(ctx context.Context, _ *clwire.ListPlansRequest) (*clwire.ListPlansResponse, error) {
	plans, err := s.plans.all(ctx)
	if err != nil {
		return nil, twirpError(err)
	}
	return &clwire.ListPlansResponse{Plans: plans}, nil
}

// DecidePlan confirms or rejects a proposed plan.
func (s *operatorServer) DecidePlan(ctx context.Context, r *clwire.DecidePlanRequest) (*clwire.DecidePlanResponse, error) {
	to := lo.Ternary(r.GetConfirm(), clstate.PlanState_PLAN_STATE_CONFIRMED, clstate.PlanState_PLAN_STATE_REJECTED)
	updateID := uuid.NewString()
	p, err := s.plans.change(ctx, r.GetId(), to, func(p *clstate.Plan) (bool, error) {
		if err := transition(p, to, updateID, time.Now()); err != nil {
			return false, err
		}
		p.DecidedBy = r.GetOperator()
		p.Reason = r.GetReason()
		return true, nil
	})
	if err != nil {
		return nil, twirpError(err)
	}
	// The holder of the control lease may be another process.
	s.node.AddFact(clmember.Fact{
		ID: "plan/" + p.GetId(), Kind: clpeer.PlanDecided, Lifetime: planFactLifetime, Subject: p.GetId(), Urgent: true,
	})
	return &clwire.DecidePlanResponse{Plan: p}, nil
}

// GetStatus returns endpoints, leases, processes and plans.
func (s *operatorServer) GetStatus(ctx context.Context, _ *clwire.GetStatusRequest) (*clwire.GetStatusResponse, error) {
	resp := &clwire.GetStatusResponse{At: timestamppb.Now(), ObjectApi: "up"}
	cfg := s.node.Configs.Current()
	resp.Revision = cfg.GetRevision()
	resp.Processes = s.processes(ctx)
	list, err := s.instances.ListInstances(ctx)
	if err != nil {
		return nil, twirpError(err)
	}
	resp.Endpoints = endpointStatuses(cfg, list)
	if plans, err := s.plans.all(ctx); err == nil {
		resp.Plans = plans
	} else {
		resp.ObjectApi = err.Error()
	}
	if leases, err := s.leases.listKeyed(ctx, leasePrefix); err == nil {
		for _, l := range leases {
			resp.Leases = append(resp.Leases, &clwire.LeaseStatus{Name: strings.TrimPrefix(l.key, leasePrefix), Lease: l.value})
		}
	}
	return resp, nil
}

func (s *operatorServer) processes(ctx context.Context) []*clwire.ProcessStatus {
	revisions := s.node.Revisions(ctx)
	members := append(s.node.Members(), s.node.Self())
	return lo.Map(members, func(m clmember.Member, _ int) *clwire.ProcessStatus {
		return &clwire.ProcessStatus{
			Id: m.ID, Role: m.Role, DataCentre: m.DataCentre, Address: m.Address.String(), State: m.State.String(),
			ConfigRevision: revisions[m.ID],
		}
	})
}

func endpointStatuses(cfg *clstate.ConfigSnapshot, list []clplatform.Instance) []*clwire.EndpointStatus {
	return lo.FilterMap(list, func(in clplatform.Instance, _ int) (*clwire.EndpointStatus, bool) {
		state := string(in.State)
		if dc := findDataCentre(cfg, in.DataCentre); dc.GetState() == clstate.DataCentreState_DATA_CENTRE_STATE_OUT {
			state = "out"
		}
		return &clwire.EndpointStatus{
			Id: in.ID, Service: in.Service, Version: in.Version, DataCentre: in.DataCentre,
			Address: in.Endpoint.String(), State: state,
		}, in.Endpoint.IsValid()
	})
}

func noPlan(id string) error {
	return twirp.NewError(twirp.NotFound, "plan "+id+" does not exist; list the plans")
}

// twirpError maps typed errors to twirp codes, which the command line turns
// into exit codes.
func twirpError(err error) error {
	var te twirp.Error
	if errors.As(err, &te) {
		return te
	}
	var transitionErr *TransitionError
	var intentErr *IntentError
	var invalidErr *clrevision.InvalidError
	switch {
	case errors.As(err, &transitionErr):
		return twirp.NewError(twirp.Aborted, err.Error())
	case errors.As(err, &intentErr), errors.As(err, &invalidErr):
		return twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	switch clrevision.KindOf(err) {
	case clrevision.KindConflict:
		return twirp.NewError(twirp.Aborted, err.Error())
	case clrevision.KindUnknown:
		return twirp.NewError(twirp.DeadlineExceeded, "it is unknown whether the change took effect: "+err.Error())
	case clrevision.KindUnavailable:
		return twirp.NewError(twirp.Unavailable, "nothing was changed: "+err.Error())
	}
	switch clplatform.KindOf(err) {
	case clplatform.KindConflict:
		return twirp.NewError(twirp.Aborted, err.Error())
	case clplatform.KindUnknown:
		return twirp.NewError(twirp.DeadlineExceeded, "it is unknown whether the change took effect: "+err.Error())
	case clplatform.KindUnavailable, clplatform.KindTimeout:
		return twirp.NewError(twirp.Unavailable, "nothing was changed: "+err.Error())
	}
	return twirp.InternalErrorWith(err)
}
