// This file defines the shapes of deployments.

package clharness

import (
	"crypto/sha256"
	"time"

	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Profile is the shape of one deployment.
type Profile struct {
	Name        string
	Region      string
	DataCentres []string
	// EngineService and PlainService are the services' names.
	EngineService, PlainService string
	Engines, Plains             int
	// Accounts names the accounts; KeyOf gives their keys.
	Accounts []string
	// Deduplicates says that the plain service removes duplicates itself.
	Deduplicates bool
	// ChecksFencing says that the engines refuse orders with an old fencing number.
	ChecksFencing bool
	// Pairs is the number of entry and control pairs.
	Pairs int
	// TokensPerSecond is the engines' rate.
	TokensPerSecond float64
	// EngineArgs, PlainArgs and PlatformArgs are further arguments of the stand-ins.
	EngineArgs, PlainArgs, PlatformArgs []string
	// Offers are what the cloud API sells, for services with a Placement.
	Offers []clplatform.Offer
	// Placement is the capacity of the engine service; nil leaves its
	// instances to the harness.
	Placement *clstate.PlacementTarget
	// ColdSlots and MaxSlots bound the engines' requests at once.
	ColdSlots, MaxSlots uint32
	// Settings are lines by section that the daemons' settings get in addition;
	// "section@role" and "section@name" limit them to one role or one process.
	Settings map[string]string
}

// Versions of the engine service; the first is active.
const (
	OldVersion = "v1"
	NewVersion = "v2"
)

// Kesar returns the shape of the staffing agency.
func Kesar() Profile {
	return Profile{
		Name: "kesar", Region: "gujarat", DataCentres: []string{"ahmedabad", "surat", "vadodara"},
		EngineService: "roster-llm", PlainService: "bookings", Engines: 10, Plains: 3,
		Accounts: []string{"owners", "dispatch", "baristas", "cafes", "office"}, Pairs: 3,
		TokensPerSecond: 200, ColdSlots: 8, MaxSlots: 64,
	}
}

// Kartli returns the shape of the fitters' co-operative.
func Kartli() Profile {
	return Profile{
		Name: "kartli", Region: "tbilisi", DataCentres: []string{"tbilisi-a", "tbilisi-b", "tbilisi-c"},
		EngineService: "fitting-llm", PlainService: "orders", Engines: 12, Plains: 3,
		Accounts: []string{"foremen", "members", "stores", "office", "board"}, Pairs: 3, Deduplicates: true,
		TokensPerSecond: 200, ColdSlots: 2, MaxSlots: 32,
	}
}

// KeyOf returns the API key of a demonstration account.
func KeyOf(account string) string { return "demo-key-" + account }

// Config returns the deployment's configuration.
func (p Profile) Config() *clwire.ApplyRequest {
	return &clwire.ApplyRequest{
		DataCentres: lo.Map(p.DataCentres, func(name string, _ int) *clstate.DataCentre {
			return &clstate.DataCentre{Name: name, Region: p.Region, State: clstate.DataCentreState_DATA_CENTRE_STATE_IN}
		}),
		Accounts: lo.Map(p.Accounts, func(name string, i int) *clstate.Account {
			digest := sha256.Sum256([]byte(KeyOf(name)))
			// The first two accounts are large.
			return &clstate.Account{Name: name, KeySha256: [][]byte{digest[:]}, Weight: lo.Ternary[uint32](i < 2, 4, 1)}
		}),
		Services: []*clstate.Service{p.engineService(), p.plainService()},
	}
}

func (p Profile) engineService() *clstate.Service {
	return &clstate.Service{
		Name: p.EngineService, Kind: clstate.ServiceKind_SERVICE_KIND_ENGINE,
		Versions: []*clstate.Version{
			{Name: OldVersion, Model: p.EngineService + "-" + OldVersion},
			{Name: NewVersion, Model: p.EngineService + "-" + NewVersion},
		},
		ActiveVersion: OldVersion, DataCentres: p.DataCentres,
		ColdSlots: p.ColdSlots, MaxSlots: p.MaxSlots, WarmAfter: 4, RequestTimeout: durationpb.New(time.Minute),
		Placement: p.Placement, ChecksFencing: p.ChecksFencing,
	}
}

func (p Profile) plainService() *clstate.Service {
	return &clstate.Service{
		Name: p.PlainService, Kind: clstate.ServiceKind_SERVICE_KIND_PLAIN,
		Versions: []*clstate.Version{{Name: OldVersion}}, ActiveVersion: OldVersion, DataCentres: p.DataCentres,
		NonRepeatable: []*clstate.CallRule{{Method: "POST", PathPrefix: "/bookings"}},
		Deduplicates:  p.Deduplicates,
		OnOutage:      lo.Ternary(p.Deduplicates, clstate.OnOutage_ON_OUTAGE_PASS, clstate.OnOutage_ON_OUTAGE_REFUSE),
		ResendWindow:  durationpb.New(24 * time.Hour),
		ColdSlots:     16, MaxSlots: 64, WarmAfter: 8, RequestTimeout: durationpb.New(20 * time.Second),
	}
}
