// This file defines the encoding of a grantor's state in its lease's payload.

package clentry

import (
	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
)

// encodeStates encodes states; complete says that they were taken after the
// grantor had stopped.
func encodeStates(states []clslot.EndpointState, complete bool) []byte {
	m := &clstate.SlotLedger{Complete: complete, Endpoints: lo.Map(states, func(s clslot.EndpointState, _ int) *clstate.SlotLedgerEndpoint {
		return &clstate.SlotLedgerEndpoint{
			EndpointId: s.Endpoint, BootId: s.BootID, Limit: uint32(s.Limit), Unattributed: uint32(s.Unattributed),
			Charges: lo.Map(s.Charges, func(c clslot.EntryCharge, _ int) *clstate.SlotLedgerCharge {
				return &clstate.SlotLedgerCharge{Entry: c.Entry, Slots: uint32(c.Slots), InUse: uint32(c.InUse), Sequence: c.Sequence}
			}),
		}
	})}
	b, err := proto.Marshal(m)
	if err != nil { // Strings from JSON and protobuf are valid UTF-8, so this cannot fail.
		return nil
	}
	return b
}

// decodeStates returns nothing for a payload that cannot be decoded, which
// costs a ramp-up from the cold limit.
func decodeStates(payload []byte) (_ []clslot.EndpointState, complete bool) {
	m := &clstate.SlotLedger{}
	if proto.Unmarshal(payload, m) != nil {
		return nil, false
	}
	return lo.Map(m.GetEndpoints(), func(e *clstate.SlotLedgerEndpoint, _ int) clslot.EndpointState {
		return clslot.EndpointState{
			Endpoint: e.GetEndpointId(), BootID: e.GetBootId(), Limit: int(e.GetLimit()), Unattributed: int(e.GetUnattributed()),
			Charges: lo.Map(e.GetCharges(), func(c *clstate.SlotLedgerCharge, _ int) clslot.EntryCharge {
				return clslot.EntryCharge{Entry: c.GetEntry(), Slots: int(c.GetSlots()), InUse: int(c.GetInUse()), Sequence: c.GetSequence()}
			}),
		}
	}), m.GetComplete()
}
