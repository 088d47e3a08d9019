package clrevision_test

import (
	"context"
	"fmt"

	"github.com/chestnutlead/chestnutlead/clrevision"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

func ExampleProposer() {
	p := &clrevision.Proposer{Store: &clstore.Memory{}}
	var applied clrevision.Holder[*clstate.ConfigSnapshot]
	s, err := p.Propose(context.Background(), clrevision.Change{
		ProposalID: "op-1",
		Apply: func(s *clstate.ConfigSnapshot) error {
			s.DataCentres = append(s.DataCentres, &clstate.DataCentre{Name: "surat", State: clstate.DataCentreState_DATA_CENTRE_STATE_IN})
			return nil
		},
	})
	fmt.Println(s.GetRevision(), err, applied.Apply(s), applied.Apply(s))
	// Output: 1 <nil> true false
}
