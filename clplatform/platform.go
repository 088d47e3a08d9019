// This file defines the interfaces to the platform and the values they carry.

package clplatform

import (
	"context"
	"net/netip"
	"time"
)

type (
	// Object is one value of the object API at one version.
	Object struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		// Version is positive and rises with each change of the object.
		Version uint64 `json:"version"`
	}

	// Objects is the platform's object API. Every call counts against its
	// rates, a waiting Watch as one.
	Objects interface {
		// Get returns the object, or an error of KindNotFound.
		Get(ctx context.Context, key string) (Object, error)
		// List returns all objects whose keys have the prefix, in the order of their keys.
		List(ctx context.Context, prefix string) ([]Object, error)
		// Update stores value if the current version is ifVersion (0: the key
		// does not exist) and returns the new version. KindConflict says that
		// the version differs; KindUnknown that the update may have taken effect.
		Update(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
		// Delete removes the object if its current version is ifVersion.
		Delete(ctx context.Context, key string, ifVersion uint64) error
		// Watch waits until the object's version differs from afterVersion and
		// returns the object, or an error of KindTimeout when wait has passed.
		Watch(ctx context.Context, key string, afterVersion uint64, wait time.Duration) (Object, error)
	}

	// InstanceState is the life stage of an instance in the list of instances.
	InstanceState string

	// Instance is an entry of the list of instances, which lags.
	Instance struct {
		ID         string `json:"id"`
		DataCentre string `json:"data_centre"`
		Class      string `json:"class"`
		// Reclaimable instances can be taken back by the platform.
		Reclaimable bool          `json:"reclaimable"`
		State       InstanceState `json:"state"`
		// Endpoint fields are empty until the instance serves.
		Service  string         `json:"service"`
		Version  string         `json:"version"`
		Endpoint netip.AddrPort `json:"endpoint"`
		// LeavingAt is when the platform takes the instance away; zero if unknown.
		LeavingAt time.Time `json:"leaving_at,omitzero"`
	}

	// Instances is the platform's list of live and leaving instances.
	Instances interface {
		ListInstances(ctx context.Context) ([]Instance, error)
	}

	// InstanceRequest asks for one new instance.
	InstanceRequest struct {
		DataCentre  string `json:"data_centre"`
		Class       string `json:"class"`
		Reclaimable bool   `json:"reclaimable"`
		Service     string `json:"service"`
		Version     string `json:"version"`
	}

	// Notice announces that an instance will be taken away.
	Notice struct {
		Sequence   uint64    `json:"sequence"`
		InstanceID string    `json:"instance_id"`
		DataCentre string    `json:"data_centre"`
		LeavingAt  time.Time `json:"leaving_at"`
	}

	// Offer is the price of an instance class in a data centre.
	Offer struct {
		DataCentre  string `json:"data_centre"`
		Class       string `json:"class"`
		Reclaimable bool   `json:"reclaimable"`
		// PricePerHour is in the platform's currency.
		PricePerHour float64 `json:"price_per_hour"`
	}

	// Cloud starts and stops instances and announces reclaims.
	Cloud interface {
		// StartInstance fails with KindRefused when the platform has no capacity.
		StartInstance(ctx context.Context, r InstanceRequest) (Instance, error)
		StopInstance(ctx context.Context, id string) error
		Offers(ctx context.Context) ([]Offer, error)
		// Notices waits up to wait for notices with a sequence above after.
		Notices(ctx context.Context, after uint64, wait time.Duration) ([]Notice, error)
	}

	// Weights is the platform's rate-limited weight store.
	Weights interface {
		// ReserveFetch returns how long a fetch of the model would have to wait.
		ReserveFetch(ctx context.Context, model string) (time.Duration, error)
	}
)

// Life stages of an instance.
const (
	InstanceStarting InstanceState = "starting"
	InstanceLive     InstanceState = "live"
	InstanceLeaving  InstanceState = "leaving"
	InstanceGone     InstanceState = "gone"
)
